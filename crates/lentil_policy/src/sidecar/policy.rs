//! The policy of a sidecar process.

use std::time;

use lentil_types::{
    AttemptId, BootId, ConfigVersion, FailReason, Instant, Outcome, Pieces, RunnerState, Table,
    WeightsVersion,
};

use crate::{cache, protocol, queue, sidecar};

/// Settings of a [`SidecarPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a refused caller is told to wait when nothing better is known.
    pub retry_after: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_after: time::Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
struct Run {
    link: sidecar::LinkId,
    dispatch: Option<Box<protocol::Dispatch>>,
    next_offset: u64,
}

/// Decides what a sidecar does with the requests for its backend server.
pub struct SidecarPolicy {
    settings: Settings,
    queue: Box<dyn queue::Queue>,
    cache: cache::CacheView,
    runs: Table<AttemptId, Run>,
    boot: BootId,
    weights: WeightsVersion,
    state: RunnerState,
    config: ConfigVersion,
    commands: Vec<sidecar::Command>,
}

impl SidecarPolicy {
    /// A policy whose backend server is not up yet.
    pub fn new(settings: Settings, queue: Box<dyn queue::Queue>) -> Self {
        Self {
            settings,
            queue,
            cache: cache::CacheView::default(),
            runs: Table::new(),
            boot: BootId::default(),
            weights: WeightsVersion::default(),
            state: RunnerState::Joining,
            config: ConfigVersion::default(),
            commands: Vec::new(),
        }
    }

    /// Takes in what happened. Call [`SidecarPolicy::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: sidecar::Event) {
        match event {
            sidecar::Event::Offer(link, offer) => self.on_offer(now, link, &offer),
            sidecar::Event::Dispatch(link, dispatch) => self.on_dispatch(now, link, dispatch),
            sidecar::Event::Cancel(id) => self.on_cancel(now, id),
            sidecar::Event::Withdraw(link, id) => self.on_withdraw(link, id),
            sidecar::Event::LinkLost(link) => self.on_link_lost(now, link),
            sidecar::Event::EngineUp { boot, weights } => self.on_engine_up(boot, weights),
            sidecar::Event::EngineDown => self.on_engine_down(),
            sidecar::Event::EngineLoad { running, backlog } => {
                self.queue.on_engine_load(now, running, backlog);
            }
            sidecar::Event::Cache(event) => self.cache.on_event(&event),
            sidecar::Event::Started {
                id,
                cached,
                status,
                headers,
            } => {
                self.on_started(id, cached, status, headers);
            }
            sidecar::Event::Piece {
                id,
                offset,
                text,
                data,
            } => {
                self.on_piece(id, offset, text, data);
            }
            sidecar::Event::Ended { id, usage } => self.on_ended(now, id, usage),
            sidecar::Event::EngineFailed { id, fault } => self.on_engine_failed(now, id, fault),
            sidecar::Event::Config(version) => self.config = self.config.max(version),
            sidecar::Event::Leave => self.state = RunnerState::Leaving,
        }
    }

    /// Starts what may start, refuses what is late, and returns what to do.
    pub fn tick(&mut self, now: Instant) -> Vec<sidecar::Command> {
        for job in self.queue.expire(now) {
            self.fail(job.id, Outcome::NotRun, FailReason::Deadline);
        }
        while let Some(job) = self.queue.pop(now) {
            let run = self.runs.get_mut(&job.id);
            if let Some(dispatch) = run.and_then(|run| run.dispatch.take()) {
                self.commands.push(sidecar::Command::Run(dispatch));
            }
        }
        if self.cache.poll_list(now) {
            self.commands.push(sidecar::Command::ListCache);
        }
        std::mem::take(&mut self.commands)
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

    fn on_offer(&mut self, now: Instant, link: sidecar::LinkId, offer: &protocol::Offer) {
        let cached = self.cache.cached(&offer.work.pieces);
        let wait = self.queue.expected_wait(now, &offer.work, cached);
        let bid = protocol::Bid {
            id: offer.id,
            cached,
            wait,
            load: self.load(),
        };
        self.commands.push(sidecar::Command::Bid(link, bid));
    }

    fn on_dispatch(
        &mut self,
        now: Instant,
        link: sidecar::LinkId,
        dispatch: Box<protocol::Dispatch>,
    ) {
        let id = dispatch.offer.id;
        if let Some(reason) = self.refusal(&dispatch) {
            self.refuse(link, id, reason);
            return;
        }
        let job = queue::Job {
            id,
            work: dispatch.offer.work.clone(),
            cached: self.cache.cached(&dispatch.offer.work.pieces),
            arrived: now,
            deadline: now + dispatch.offer.budget,
            isolated: dispatch.isolated,
        };
        if self.queue.push(now, job).is_err() {
            self.refuse(link, id, FailReason::Overloaded);
            return;
        }
        let next_offset = dispatch.resume.as_ref().map_or(0, |resume| resume.offset);
        self.runs.insert(
            id,
            Run {
                link,
                dispatch: Some(dispatch),
                next_offset,
            },
        );
    }

    /// Why a dispatch may not run here, if it may not.
    fn refusal(&self, dispatch: &protocol::Dispatch) -> Option<FailReason> {
        let weights = dispatch.offer.work.weights;
        match self.state {
            RunnerState::Joining => Some(FailReason::NoRunner),
            RunnerState::Leaving | RunnerState::Gone => Some(FailReason::Leaving),
            RunnerState::Live if dispatch.boot.is_some_and(|boot| boot != self.boot) => {
                Some(FailReason::StaleBoot)
            }
            RunnerState::Live if weights != WeightsVersion(0) && weights != self.weights => {
                Some(FailReason::StaleWeights)
            }
            RunnerState::Live => None,
        }
    }

    fn refuse(&mut self, link: sidecar::LinkId, id: AttemptId, reason: FailReason) {
        let failed = protocol::Failed {
            id,
            outcome: Outcome::NotRun,
            reason,
            retry: Some(self.settings.retry_after),
            load: self.load(),
        };
        self.commands.push(sidecar::Command::Fail(link, failed));
    }

    fn on_cancel(&mut self, now: Instant, id: AttemptId) {
        if self.runs.remove(&id).is_none() {
            return;
        }
        if self.queue.remove(id).is_none() {
            self.queue.finish(now, id, &protocol::Usage::default());
            self.commands.push(sidecar::Command::Stop(id));
        }
    }

    fn on_withdraw(&mut self, link: sidecar::LinkId, id: AttemptId) {
        let started = self.queue.remove(id).is_none() && self.runs.contains(&id);
        if !started {
            self.runs.remove(&id);
        }
        let withdrawn = protocol::Withdrawn { id, started };
        self.commands
            .push(sidecar::Command::Withdrawn(link, withdrawn));
    }

    fn on_link_lost(&mut self, now: Instant, link: sidecar::LinkId) {
        let of_link = |(id, run): (&AttemptId, &Run)| (run.link == link).then_some(*id);
        let ids: Vec<_> = self.runs.iter().filter_map(of_link).collect();
        for id in ids {
            self.on_cancel(now, id);
        }
    }

    fn on_engine_up(&mut self, boot: BootId, weights: WeightsVersion) {
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
    }

    fn on_engine_down(&mut self) {
        self.cache.on_down();
        if self.state == RunnerState::Live {
            self.state = RunnerState::Joining;
        }
    }

    fn on_started(
        &mut self,
        id: AttemptId,
        cached: Pieces,
        status: u16,
        headers: Vec<protocol::Header>,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let started = protocol::Started {
            id,
            cached,
            status,
            headers,
            load: self.load(),
        };
        self.commands
            .push(sidecar::Command::Started(run.link, started));
    }

    fn on_piece(&mut self, id: AttemptId, offset: u64, text: String, data: Vec<u8>) {
        let boot = self.boot;
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if offset != run.next_offset {
            return;
        }
        run.next_offset += 1;
        let piece = protocol::Piece {
            id,
            boot,
            offset,
            text,
            data,
        };
        self.commands.push(sidecar::Command::Piece(run.link, piece));
    }

    fn on_ended(&mut self, now: Instant, id: AttemptId, usage: protocol::Usage) {
        self.queue.finish(now, id, &usage);
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let (boot, offset, load) = (self.boot, run.next_offset, self.load());
        let end = protocol::End {
            id,
            boot,
            offset,
            usage,
            load,
        };
        self.commands.push(sidecar::Command::End(run.link, end));
    }

    fn on_engine_failed(&mut self, now: Instant, id: AttemptId, fault: sidecar::EngineFault) {
        self.queue.finish(now, id, &protocol::Usage::default());
        let (outcome, reason) = match fault {
            sidecar::EngineFault::Unreachable | sidecar::EngineFault::Refused => {
                (Outcome::NotRun, FailReason::Backend)
            }
            sidecar::EngineFault::BrokeOff => (Outcome::Unknown, FailReason::EngineDied),
            sidecar::EngineFault::Protocol => (Outcome::Unknown, FailReason::Backend),
        };
        self.fail(id, outcome, reason);
    }

    fn fail(&mut self, id: AttemptId, outcome: Outcome, reason: FailReason) {
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let retry = Some(self.settings.retry_after);
        let failed = protocol::Failed {
            id,
            outcome,
            reason,
            retry,
            load: self.load(),
        };
        self.commands.push(sidecar::Command::Fail(run.link, failed));
    }
}
