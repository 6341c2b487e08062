//! Starts and crashes of the engine.

use lentil_types::{
    AttemptId, BootId, FailReason, Fingerprint, Instant, Outcome, RunnerState, WeightsVersion,
};

use crate::{protocol, sidecar};

use super::{
    SidecarPolicy,
    active_attempt::{ActiveAttempt, Stage},
};

impl SidecarPolicy {
    /// Fails the attempts of an earlier boot, and refuses queued attempts for
    /// another boot or other weights.
    pub(super) fn on_engine_up(&mut self, now: Instant, boot: BootId, weights: WeightsVersion) {
        let is_new_boot = boot != self.boot;
        if is_new_boot {
            self.on_crash(now);
        }
        self.boot = boot;
        self.weights = weights;
        if weights == WeightsVersion(0) {
            self.cache.on_down();
        } else {
            self.cache.on_up(boot);
        }
        if self.state == RunnerState::Joining {
            self.state = RunnerState::Live;
        }
        self.refuse_stale(now);
    }

    pub(super) fn on_engine_down(&mut self, now: Instant) {
        self.on_crash(now);
        self.cache.on_down();
        if self.state == RunnerState::Live {
            self.state = RunnerState::Joining;
        }
    }

    /// Fails every attempt in the engine and reports the crash of its fingerprint.
    fn on_crash(&mut self, now: Instant) {
        let sent = |(id, attempt): (&AttemptId, &ActiveAttempt)| attempt.was_sent().then_some(*id);
        let ids: Vec<_> = self.attempts.iter().filter_map(sent).collect();
        let mut involved: Vec<(Fingerprint, bool)> = Vec::new();
        for id in &ids {
            let Some(attempt) = self.attempts.get(id) else {
                continue;
            };
            involved.push((attempt.fingerprint, attempt.isolated));
            if matches!(attempt.stage, Stage::Running(_)) {
                self.commands.push(sidecar::Command::Stop(*id));
            }
            self.queue.finish(now, *id, &protocol::Usage::default());
            self.fail(now, *id, Outcome::Unknown, FailReason::EngineDied);
        }
        let alone = involved.len() == 1;
        for (fingerprint, isolated) in involved {
            let crashes = self.suspects.on_crash(now, fingerprint, isolated && alone);
            self.commands.push(sidecar::Command::Crashed {
                fingerprint,
                crashes,
            });
        }
    }

    /// Refuses queued attempts for another boot of the engine or other weights.
    fn refuse_stale(&mut self, now: Instant) {
        let mut stale = Vec::new();
        for (id, attempt) in self.attempts.iter() {
            if let Stage::Queued(dispatch) = &attempt.stage
                && let Some(reason) = self.stale_reason(dispatch)
            {
                stale.push((*id, reason));
            }
        }
        for (id, reason) in stale {
            self.queue.remove(id);
            self.fail(now, id, Outcome::NotRun, reason);
        }
    }

    /// Why a dispatch does not fit the engine; `None` if it does.
    pub(super) fn stale_reason(&self, dispatch: &protocol::Dispatch) -> Option<FailReason> {
        let weights = dispatch.offer.work.weights;
        if dispatch.boot.is_some_and(|boot| boot != self.boot) {
            Some(FailReason::StaleBoot)
        } else if weights != WeightsVersion(0) && weights != self.weights {
            Some(FailReason::StaleWeights)
        } else {
            None
        }
    }
}
