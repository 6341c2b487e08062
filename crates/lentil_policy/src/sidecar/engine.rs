//! The life of the backend server.

use lentil_types::{
    AttemptId, BootId, FailReason, Fingerprint, Instant, Outcome, RunnerState, WeightsVersion,
};

use crate::{protocol, sidecar};

use super::{
    SidecarPolicy,
    run::{Run, Stage},
};

impl SidecarPolicy {
    /// The engine is up. In a new life, what ran in the old one is lost; with
    /// new weights, what waits for others is refused.
    pub(super) fn on_engine_up(&mut self, now: Instant, boot: BootId, weights: WeightsVersion) {
        let reborn = boot != self.boot;
        if reborn {
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

    /// The engine died: every attempt at it failed, and each is suspected.
    fn on_crash(&mut self, now: Instant) {
        let at_engine = |(id, run): (&AttemptId, &Run)| run.may_have_crashed().then_some(*id);
        let ids: Vec<_> = self.runs.iter().filter_map(at_engine).collect();
        let mut blamed: Vec<(Fingerprint, bool)> = Vec::new();
        for id in &ids {
            let Some(run) = self.runs.get(id) else {
                continue;
            };
            blamed.push((run.fingerprint, run.isolated));
            if matches!(run.stage, Stage::Running(_)) {
                self.commands.push(sidecar::Command::Stop(*id));
            }
            self.queue.finish(now, *id, &protocol::Usage::default());
            self.fail(now, *id, Outcome::Unknown, FailReason::EngineDied);
        }
        let alone = blamed.len() == 1;
        for (fingerprint, isolated) in blamed {
            let crashes = self.suspects.on_crash(now, fingerprint, isolated && alone);
            self.commands.push(sidecar::Command::Crashed {
                fingerprint,
                crashes,
            });
        }
    }

    /// Refuses what waits for another life of the engine or other weights.
    fn refuse_stale(&mut self, now: Instant) {
        let mut stale = Vec::new();
        for (id, run) in self.runs.iter() {
            if let Stage::Queued(dispatch) = &run.stage
                && let Some(reason) = self.staleness(dispatch)
            {
                stale.push((*id, reason));
            }
        }
        for (id, reason) in stale {
            self.queue.remove(id);
            self.fail(now, id, Outcome::NotRun, reason);
        }
    }

    /// Why a dispatch no longer fits the engine, if it does not.
    pub(super) fn staleness(&self, dispatch: &protocol::Dispatch) -> Option<FailReason> {
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
