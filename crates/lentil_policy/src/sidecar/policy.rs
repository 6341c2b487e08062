//! The policy of a sidecar process.

use std::time;

use lentil_types::{
    AttemptId, BootId, ConfigVersion, FailReason, Instant, Outcome, RunnerState, Table,
    WeightsVersion,
};

use crate::{cache, poison, protocol, queue, sidecar};

use super::{
    memory::{Mark, Memory, RecordSettings},
    run::{Run, Stage},
};

/// Settings of a [`SidecarPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a refused caller is told to wait when nothing better is known.
    pub retry_after: time::Duration,
    /// How long after the backend server broke off it is waited for whether it
    /// died.
    pub crash_wait: time::Duration,
    /// How attempts that are over are remembered.
    pub records: RecordSettings,
    /// How fingerprints that crashed the engine are remembered.
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
    pub(super) runs: Table<AttemptId, Run>,
    pub(super) memory: Memory,
    pub(super) suspects: poison::Suspects,
    pub(super) boot: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) state: RunnerState,
    pub(super) config: ConfigVersion,
    pub(super) commands: Vec<sidecar::Command>,
}

impl SidecarPolicy {
    /// A policy whose backend server is not up yet.
    pub fn new(settings: Settings, queue: Box<dyn queue::Queue>) -> Self {
        Self {
            settings,
            queue,
            cache: cache::CacheView::default(),
            runs: Table::new(),
            memory: Memory::new(settings.records),
            suspects: poison::Suspects::new(settings.suspects),
            boot: BootId::default(),
            weights: WeightsVersion::default(),
            state: RunnerState::Joining,
            config: ConfigVersion::default(),
            commands: Vec::new(),
        }
    }

    /// Takes in what happened. Call [`SidecarPolicy::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: sidecar::Event) {
        use sidecar::Event;
        self.memory.begin(now);
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

    /// Starts what may start, refuses what is late, and returns what to do.
    pub fn tick(&mut self, now: Instant) -> Vec<sidecar::Command> {
        self.memory.bound(now);
        self.give_up_broken(now);
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

    /// When the next tick is due without an event.
    pub fn next_wake(&self) -> Instant {
        let due = |run: &Run| match run.stage {
            Stage::Queued(_) => Some(run.deadline),
            Stage::Broken { until } => Some(until),
            Stage::Running(_) => None,
        };
        let due = self.runs.values().filter_map(due);
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

    /// Requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Starts what the queue lets start.
    fn start_queued(&mut self, now: Instant) {
        while let Some(job) = self.queue.pop(now) {
            let Some(run) = self.runs.get_mut(&job.id) else {
                self.queue.finish(now, job.id, &protocol::Usage::default());
                continue;
            };
            let running = Stage::Running(self.boot);
            if let Stage::Queued(dispatch) = std::mem::replace(&mut run.stage, running) {
                self.commands.push(sidecar::Command::Run(dispatch));
            }
        }
    }

    /// Ends an attempt without an answer and remembers it.
    pub(super) fn fail(
        &mut self,
        now: Instant,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let mark = match outcome {
            Outcome::NotRun => Mark::Tombstone,
            Outcome::Done | Outcome::Unknown => Mark::Ran(None),
        };
        self.memory.insert(now, id, mark);
        for link in run.links {
            self.tell_failed(link, id, outcome, reason);
        }
    }

    pub(super) fn tell_failed(
        &mut self,
        link: sidecar::LinkId,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let retry = self.settings.retry_after;
        self.tell_failed_until(link, id, outcome, reason, retry);
    }

    /// Tells of a failure, and when another try is worth while.
    pub(super) fn tell_failed_until(
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
