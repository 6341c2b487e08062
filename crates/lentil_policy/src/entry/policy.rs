//! The policy of an entry process.

use std::time;

use lentil_types::{
    AttemptId, FailReason, Fingerprint, Instant, Outcome, RequestId, RunnerName, Table,
};

use crate::{claim, entry, poison, protocol, route};

use super::{
    call::{Call, Stage},
    retry::RetryBudget,
};

/// Settings of an [`EntryPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long to wait for bids.
    pub bid_wait: time::Duration,
    /// Most attempts of one request that may have run.
    pub max_attempts: u32,
    /// Most attempts of one request that are proven not run.
    pub max_refusals: u32,
    /// How long past the deadline to wait for proof that a request never started.
    pub withdraw_wait: time::Duration,
    /// Time between two reads of a claim that another call holds, and between two
    /// queries to recover an answer.
    pub poll_interval: time::Duration,
    /// Age from which the answer to a claimed call is asked for at its runner.
    pub recover_after: time::Duration,
    /// Most bytes of a plain service's answer that are buffered so that another
    /// attempt may start over.
    pub buffer_bytes: usize,
    /// Settings of the claim ledger.
    pub claims: claim::Settings,
    /// Settings of the fingerprints that crashed engines.
    pub suspects: poison::SuspectsSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bid_wait: time::Duration::from_millis(15),
            max_attempts: 3,
            max_refusals: 8,
            withdraw_wait: time::Duration::from_millis(250),
            poll_interval: time::Duration::from_millis(100),
            recover_after: time::Duration::from_secs(1),
            buffer_bytes: 1024 * 1024,
            claims: claim::Settings::default(),
            suspects: poison::SuspectsSettings::default(),
        }
    }
}

/// Decides what an entry does with its callers' requests.
pub struct EntryPolicy {
    pub(super) settings: Settings,
    pub(super) routing: Box<dyn route::RoutePolicy>,
    pub(super) calls: Table<RequestId, Call>,
    /// Requests that get the answer of another call's attempt.
    pub(super) followers: Table<AttemptId, RequestId>,
    pub(super) ledger: claim::Ledger,
    pub(super) suspects: poison::Suspects,
    pub(super) retries: RetryBudget,
    /// Requests to advance in the next tick.
    pub(super) dirty: Vec<RequestId>,
    /// No request is due before this.
    next_due: Instant,
    pub(super) counters: entry::Counters,
    draining: bool,
    pub(super) commands: Vec<entry::Command>,
}

impl EntryPolicy {
    /// Creates a policy with no request in flight.
    pub fn new(settings: Settings, routing: Box<dyn route::RoutePolicy>) -> Self {
        Self {
            settings,
            routing,
            calls: Table::new(),
            followers: Table::new(),
            ledger: claim::Ledger::new(settings.claims),
            suspects: poison::Suspects::new(settings.suspects),
            retries: RetryBudget::default(),
            dirty: Vec::new(),
            next_due: Instant::NEVER,
            counters: entry::Counters::default(),
            draining: false,
            commands: Vec::new(),
        }
    }

    /// Handles an event. Call [`EntryPolicy::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: entry::Event) {
        match event {
            entry::Event::Arrived(arrival) => self.on_arrived(now, arrival),
            entry::Event::CallerGone(request) => self.on_caller_gone(request),
            entry::Event::Bid(bid) => self.on_bid(now, bid),
            entry::Event::Started(runner, started) => self.on_started(now, &runner, started),
            entry::Event::Piece(runner, piece) => self.on_piece(now, &runner, piece),
            entry::Event::Ended(runner, end) => self.on_ended(now, &runner, &end),
            entry::Event::Failed(runner, failed) => self.on_failed(now, &runner, &failed),
            entry::Event::Withdrawn(runner, withdrawn) => {
                self.on_withdrawn(now, &runner, withdrawn);
            }
            entry::Event::Disconnected { runner, id, sent } => {
                self.on_disconnected(now, &runner, id, sent);
            }
            entry::Event::Load(runner, load) => self.routing.on_load(now, &runner, &load),
            entry::Event::Objective(objective) => self.routing.set_objective(objective),
            entry::Event::Runners(runners) => self.routing.set_runners(now, &runners),
            entry::Event::Crashed {
                fingerprint,
                crashes,
            } => self.on_crashed(now, fingerprint, crashes),
            entry::Event::Clock(unix) => self.ledger.set_clock(now, unix),
            entry::Event::Store(reply) => self.ledger.on_reply(now, reply),
            entry::Event::Drain => self.on_drain(now),
        }
    }

    /// Advances every request that changed or is due, and returns what to do.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<entry::Command> {
        let expiring = self.next_due <= now;
        if expiring {
            self.expire(now);
        }
        loop {
            for request in std::mem::take(&mut self.dirty) {
                self.advance(now, request, rng);
                self.update_next_due(request);
            }
            self.run_claims(now);
            if self.dirty.is_empty() {
                break;
            }
        }
        if expiring {
            let due = self.calls.values().map(Call::due);
            self.next_due = due.min().unwrap_or(Instant::NEVER);
        }
        std::mem::take(&mut self.commands)
    }

    /// When the next tick is due without an event.
    pub fn next_wake(&self) -> Instant {
        self.next_due.min(self.ledger.next_wake())
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Ends of claimed calls that are not in the store yet. A process that shuts
    /// down waits for them as well.
    pub fn unsettled(&self) -> usize {
        self.ledger.unsettled()
    }

    /// Fault counts since the process started.
    pub fn counters(&self) -> entry::Counters {
        self.counters
    }

    fn on_drain(&mut self, now: Instant) {
        self.draining = true;
        self.ledger.drain(now);
    }

    fn on_arrived(&mut self, now: Instant, arrival: Box<entry::Arrival>) {
        let (request, fingerprint) = (arrival.request, arrival.fingerprint);
        let keyless = arrival.once && arrival.key.is_none();
        let mut call = Call::new(arrival);
        call.isolated = self.suspects.is_suspect(now, fingerprint);
        self.calls.insert(request, call);
        self.retries.on_request();
        if self.draining {
            self.finish_failed(request, Outcome::NotRun, FailReason::Leaving);
        } else if self.suspects.is_poison(now, fingerprint) {
            self.counters.poisoned += 1;
            self.finish_failed(request, Outcome::NotRun, FailReason::Poison);
        } else if keyless {
            self.finish_failed(request, Outcome::NotRun, FailReason::BadRequest);
        } else {
            self.dirty.push(request);
        }
    }

    /// Cancels the request of a caller that disconnected. Its sidecar still finishes
    /// an at-most-once call and keeps the answer.
    fn on_caller_gone(&mut self, request: RequestId) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let id = call.id();
        match call.stage.clone() {
            Stage::Running { runner, .. } | Stage::Withdrawing { runner, .. } => {
                self.commands.push(entry::Command::Cancel(runner, id));
            }
            Stage::Claiming { .. } => self.ledger.abandon(id),
            Stage::New { .. }
            | Stage::Asking { .. }
            | Stage::Waiting { .. }
            | Stage::Recovering { .. } => {}
        }
        self.remove(request);
    }

    /// Refuses a fingerprint once it is poison, also if it was not sent yet.
    fn on_crashed(&mut self, now: Instant, fingerprint: Fingerprint, crashes: u32) {
        self.suspects.learn(now, fingerprint, crashes);
        if !self.suspects.is_poison(now, fingerprint) {
            return;
        }
        let waits = |call: &Call| matches!(call.stage, Stage::New { .. } | Stage::Asking { .. });
        let refused = |(request, call): (&RequestId, &Call)| {
            (call.arrival.fingerprint == fingerprint && waits(call)).then_some(*request)
        };
        let requests: Vec<_> = self.calls.iter().filter_map(refused).collect();
        for request in requests {
            self.counters.poisoned += 1;
            self.finish_failed(request, Outcome::NotRun, FailReason::Poison);
        }
    }

    fn update_next_due(&mut self, request: RequestId) {
        if let Some(call) = self.calls.get(&request) {
            self.next_due = self.next_due.min(call.due());
        }
    }

    // -----------------------------------------------------------------------
    // Ends of requests

    /// Ends a request without an answer. `outcome` is that of its last attempt.
    pub(super) fn finish_failed(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let ending = entry::Ending::Failed {
            outcome: call.final_outcome(outcome),
            reason,
            retry: call.last_failure.and_then(|last| last.retry),
        };
        self.finish(request, ending);
    }

    pub(super) fn finish(&mut self, request: RequestId, ending: entry::Ending) {
        self.remove(request);
        self.commands
            .push(entry::Command::Finish { request, ending });
    }

    fn remove(&mut self, request: RequestId) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if call.follows.is_some() {
            self.followers.retain(|_, follower| *follower != request);
        }
        self.wake_waiting(&call);
    }

    /// The request that gets the attempt's answers, if the attempt is current.
    pub(super) fn current(&mut self, runner: &RunnerName, id: AttemptId) -> Option<RequestId> {
        let request = self.followers.get(&id).copied().unwrap_or(id.request);
        let call = self.calls.get(&request);
        let current = call.is_some_and(|call| call.is_current(runner, id));
        if !current {
            self.counters.late_answers += 1;
        }
        current.then_some(request)
    }

    pub(super) fn offer_of(now: Instant, call: &Call) -> protocol::Offer {
        protocol::Offer {
            id: call.id(),
            work: call.arrival.work.clone(),
            budget: call.arrival.deadline.since(now),
        }
    }
}
