//! The event loop of a sidecar, as a state machine.

use std::time;

use lentil_types::{
    AttemptId, BootId, ConfigVersion, FailReason, Instant, Outcome, RunnerState, Table,
    WeightsVersion,
};

use crate::{cache, poison, protocol, queue, sidecar};

use super::{
    active_attempt::{ActiveAttempt, Stage},
    attempt_records::{AttemptRecords, RecordSettings, RecordState},
};

/// Settings of a [`SidecarPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retry delay sent with a refusal unless the queue predicts a better one.
    pub retry_after: time::Duration,
    /// How long to wait for a crash report after a disconnect.
    pub crash_wait: time::Duration,
    /// Limits on the records of finished attempts.
    pub records: RecordSettings,
    /// Limits on the fingerprints suspected of crashing engines.
    pub suspects: poison::SuspectsSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_after: time::Duration::from_secs(1),
            crash_wait: time::Duration::from_millis(400),
            records: RecordSettings::default(),
            suspects: poison::SuspectsSettings::default(),
        }
    }
}

/// Decides what a sidecar does with the requests for its backend server.
pub struct SidecarPolicy {
    pub(super) settings: Settings,
    pub(super) queue: Box<dyn queue::Queue>,
    pub(super) cache: cache::CacheView,
    pub(super) attempts: Table<AttemptId, ActiveAttempt>,
    pub(super) records: AttemptRecords,
    pub(super) suspects: poison::Suspects,
    pub(super) boot: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) state: RunnerState,
    pub(super) config: ConfigVersion,
    pub(super) commands: Vec<sidecar::Command>,
}

impl SidecarPolicy {
    /// Starts with no engine up.
    pub fn new(settings: Settings, queue: Box<dyn queue::Queue>) -> Self {
        Self {
            settings,
            queue,
            cache: cache::CacheView::default(),
            attempts: Table::new(),
            records: AttemptRecords::new(settings.records),
            suspects: poison::Suspects::new(settings.suspects),
            boot: BootId::default(),
            weights: WeightsVersion::default(),
            state: RunnerState::Joining,
            config: ConfigVersion::default(),
            commands: Vec::new(),
        }
    }

    /// Handles an event. Call [`SidecarPolicy::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: sidecar::Event) {
        use sidecar::Event;
        self.records.start(now);
        match event {
            Event::Offer(link, offer) => self.on_offer(now, link, &offer),
            Event::Dispatch(link, dispatch) => self.on_dispatch(now, link, dispatch),
            Event::Cancel(id) => self.on_cancel(now, id),
            Event::Withdraw(link, id) => self.on_withdraw(now, link, id),
            Event::LinkLost(link) => self.on_link_lost(now, link),
            Event::EngineUp { boot, weights } => self.on_engine_up(now, boot, weights),
            Event::EngineDown => self.on_engine_down(now),
            Event::EngineLoad { running, backlog } => {
                self.queue.on_engine_load(now, running, backlog);
            }
            Event::Cache(event) => self.cache.on_event(&event),
            Event::Started {
                id,
                cached,
                status,
                headers,
            } => {
                self.queue.on_started(now, id);
                self.on_started(id, cached, status, headers);
            }
            Event::Piece {
                id,
                offset,
                text,
                data,
            } => self.on_piece(now, id, offset, text, data),
            Event::Ended { id, usage } => self.on_ended(now, id, usage),
            Event::EngineFailed { id, fault } => self.on_engine_failed(now, id, fault),
            Event::Config(version) => self.config = self.config.max(version),
            Event::Crashed {
                fingerprint,
                crashes,
            } => self.suspects.learn(now, fingerprint, crashes),
            Event::Shares(shares) => self.queue.set_shares(&shares),
            Event::Leave => self.state = RunnerState::Leaving,
        }
    }

    /// Starts queued attempts, fails expired ones, and returns the commands to carry
    /// out.
    pub fn tick(&mut self, now: Instant) -> Vec<sidecar::Command> {
        self.records.evict(now);
        self.expire_disconnected(now);
        for job in self.queue.expire(now) {
            self.fail(now, job.id, Outcome::NotRun, FailReason::Deadline);
        }
        if self.state != RunnerState::Joining {
            self.start_queued(now);
        }
        if self.cache.poll_list(now) {
            self.commands.push(sidecar::Command::ListCache);
        }
        std::mem::take(&mut self.commands)
    }

    /// When the next tick is due if no event arrives before.
    pub fn next_wake(&self) -> Instant {
        let due = |attempt: &ActiveAttempt| match attempt.stage {
            Stage::Queued(_) => Some(attempt.deadline),
            Stage::Disconnected { until } => Some(until),
            Stage::Running(_) => None,
        };
        let due = self.attempts.values().filter_map(due);
        due.min().unwrap_or(Instant::NEVER)
    }

    /// State of the backend server.
    pub fn load(&self) -> protocol::Load {
        protocol::Load {
            boot: self.boot,
            weights: self.weights,
            state: self.state,
            queued: self.queue.waiting(),
            running: self.queue.running(),
            backlog: self.queue.backlog(),
            config: self.config,
        }
    }

    /// Number of attempts that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Runs attempts as long as the queue releases them.
    fn start_queued(&mut self, now: Instant) {
        while let Some(job) = self.queue.pop(now) {
            let Some(attempt) = self.attempts.get_mut(&job.id) else {
                self.queue.finish(now, job.id, &protocol::Usage::default());
                continue;
            };
            let running = Stage::Running(self.boot);
            if let Stage::Queued(dispatch) = std::mem::replace(&mut attempt.stage, running) {
                self.commands.push(sidecar::Command::Run(dispatch));
            }
        }
    }

    /// Fails an attempt and records its outcome.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let state = match outcome {
            Outcome::NotRun => RecordState::Tombstone,
            Outcome::Done | Outcome::Unknown => RecordState::Ran(None),
        };
        self.records.insert(now, id, state);
        for link in attempt.links {
            self.send_failed(link, id, outcome, reason);
        }
    }

    pub(super) fn send_failed(
        &mut self,
        link: sidecar::LinkId,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let retry = self.settings.retry_after;
        self.send_failed_with_retry(link, id, outcome, reason, retry);
    }

    /// Sends a failure and the delay after which to retry.
    pub(super) fn send_failed_with_retry(
        &mut self,
        link: sidecar::LinkId,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
        retry: time::Duration,
    ) {
        let failed = protocol::Failed {
            id,
            outcome,
            reason,
            retry: Some(retry),
            load: self.load(),
        };
        self.commands.push(sidecar::Command::Fail(link, failed));
    }
}
