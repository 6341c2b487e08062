//! The policy of an entry process.

use std::time;

use lentil_types::{AttemptId, FailReason, Instant, Outcome, RequestId, RunnerName, Table};

use crate::{entry, protocol, route};

use super::call::{Call, Stage};

/// Settings of an [`EntryPolicy`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long bids are waited for.
    pub bid_wait: time::Duration,
    /// Most attempts at one request.
    pub max_attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bid_wait: time::Duration::from_millis(15),
            max_attempts: 3,
        }
    }
}

/// Decides what an entry does with its callers' requests.
pub struct EntryPolicy {
    settings: Settings,
    router: Box<dyn route::Router>,
    calls: Table<RequestId, Call>,
    dirty: Vec<RequestId>,
    draining: bool,
    commands: Vec<entry::Command>,
}

impl EntryPolicy {
    /// A policy with no request in flight.
    pub fn new(settings: Settings, router: Box<dyn route::Router>) -> Self {
        Self {
            settings,
            router,
            calls: Table::new(),
            dirty: Vec::new(),
            draining: false,
            commands: Vec::new(),
        }
    }

    /// Takes in what happened. Call [`EntryPolicy::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: entry::Event) {
        match event {
            entry::Event::Arrived(arrival) => self.on_arrived(arrival),
            entry::Event::CallerGone(request) => self.on_caller_gone(request),
            entry::Event::Bid(bid) => self.on_bid(now, bid),
            entry::Event::Started(runner, started) => self.on_started(now, &runner, started),
            entry::Event::Piece(runner, piece) => self.on_piece(&runner, piece),
            entry::Event::Ended(runner, end) => self.on_ended(now, &runner, &end),
            entry::Event::Failed(runner, failed) => self.on_failed(now, &runner, &failed),
            entry::Event::Lost { runner, id, sent } => self.on_lost(now, &runner, id, sent),
            entry::Event::Load(runner, load) => self.router.on_load(now, &runner, &load),
            entry::Event::Runners(runners) => self.router.set_runners(now, &runners),
            entry::Event::Drain => self.draining = true,
            entry::Event::Withdrawn(..) | entry::Event::Poison(_) | entry::Event::Store(_) => {}
        }
    }

    /// Runs the systems over every request that changed or whose time has come,
    /// and returns what to do.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<entry::Command> {
        self.expire(now);
        for request in std::mem::take(&mut self.dirty) {
            self.advance(now, request, rng);
        }
        std::mem::take(&mut self.commands)
    }

    /// When the next tick is due without an event.
    pub fn next_wake(&self) -> Instant {
        let due = |call: &Call| match &call.stage {
            Stage::Asking { until, .. } => (*until).min(call.arrival.deadline),
            Stage::New | Stage::Running { .. } => call.arrival.deadline,
        };
        self.calls.values().map(due).min().unwrap_or(Instant::NEVER)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    fn on_arrived(&mut self, arrival: Box<entry::Arrival>) {
        let request = arrival.request;
        self.calls.insert(request, Call::new(arrival));
        if self.draining {
            self.finish_failed(request, Outcome::NotRun, FailReason::Leaving);
            return;
        }
        self.dirty.push(request);
    }

    fn on_caller_gone(&mut self, request: RequestId) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let id = call.id();
        if let Stage::Running { runner } = call.stage {
            self.commands.push(entry::Command::Cancel(runner, id));
        }
    }

    fn on_bid(&mut self, now: Instant, bid: route::RunnerBid) {
        self.router.on_load(now, &bid.runner, &bid.bid.load);
        let request = bid.bid.id.request;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if call.id() != bid.bid.id {
            return;
        }
        if let Stage::Asking { bids, .. } = &mut call.stage {
            bids.push(bid);
            self.dirty.push(request);
        }
    }

    fn on_started(&mut self, now: Instant, runner: &RunnerName, started: protocol::Started) {
        self.router.on_load(now, runner, &started.load);
        let request = started.id.request;
        let Some(call) = self.current(runner, started.id) else {
            return;
        };
        if call.head_sent {
            return;
        }
        call.head_sent = true;
        let (status, headers) = (started.status, started.headers);
        self.commands.push(entry::Command::Head {
            request,
            status,
            headers,
        });
    }

    fn on_piece(&mut self, runner: &RunnerName, piece: protocol::Piece) {
        let request = piece.id.request;
        let Some(call) = self.current(runner, piece.id) else {
            return;
        };
        if piece.offset != call.next_offset {
            return;
        }
        call.next_offset += 1;
        call.text.push_str(&piece.text);
        let (offset, data) = (piece.offset, piece.data);
        self.commands.push(entry::Command::Emit {
            request,
            offset,
            data,
        });
    }

    fn on_ended(&mut self, now: Instant, runner: &RunnerName, end: &protocol::End) {
        self.router.on_load(now, runner, &end.load);
        let request = end.id.request;
        let Some(call) = self.current(runner, end.id) else {
            return;
        };
        if end.offset != call.next_offset {
            self.finish_failed(request, Outcome::Unknown, FailReason::BrokenStream);
            return;
        }
        let work = call.arrival.work.clone();
        self.router
            .on_verdict(now, runner, &work, route::Verdict::Good);
        self.finish(request, entry::Ending::Whole(end.usage));
    }

    fn on_failed(&mut self, now: Instant, runner: &RunnerName, failed: &protocol::Failed) {
        self.router.on_load(now, runner, &failed.load);
        self.give_up_attempt(now, runner, failed.id, failed.outcome, failed.reason);
    }

    fn on_lost(&mut self, now: Instant, runner: &RunnerName, id: AttemptId, sent: bool) {
        let outcome = if sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.give_up_attempt(now, runner, id, outcome, FailReason::Disconnected);
    }

    /// Tries again where that is allowed, otherwise ends the request.
    fn give_up_attempt(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        id: AttemptId,
        outcome: Outcome,
        reason: FailReason,
    ) {
        let max_attempts = self.settings.max_attempts;
        let Some(call) = self.current(runner, id) else {
            return;
        };
        let work = call.arrival.work.clone();
        let repeatable = !call.arrival.once || outcome == Outcome::NotRun;
        let retry = repeatable && call.attempt.0 < max_attempts && now < call.arrival.deadline;
        if retry {
            call.failed.push(runner.clone());
            call.attempt = call.attempt.next();
            call.stage = Stage::New;
            self.dirty.push(id.request);
        } else {
            self.finish_failed(id.request, outcome, reason);
        }
        self.router
            .on_verdict(now, runner, &work, route::Verdict::Bad);
    }

    fn expire(&mut self, now: Instant) {
        let late = |(request, call): (&RequestId, &Call)| {
            (call.arrival.deadline <= now).then_some((*request, call.stage.clone(), call.id()))
        };
        let expired: Vec<_> = self.calls.iter().filter_map(late).collect();
        for (request, stage, id) in expired {
            let outcome = match stage {
                Stage::Running { runner } => {
                    self.commands.push(entry::Command::Cancel(runner, id));
                    Outcome::Unknown
                }
                Stage::New | Stage::Asking { .. } => Outcome::NotRun,
            };
            self.finish_failed(request, outcome, FailReason::Deadline);
        }
        let due = |(request, call): (&RequestId, &Call)| match &call.stage {
            Stage::Asking { until, .. } if *until <= now => Some(*request),
            _ => None,
        };
        let asked: Vec<_> = self.calls.iter().filter_map(due).collect();
        self.dirty.extend(asked);
    }

    fn advance(&mut self, now: Instant, request: RequestId, rng: &mut dyn rand::Rng) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let budget = call.arrival.deadline.since(now);
        let work = call.arrival.work.clone();
        let offer = protocol::Offer {
            id: call.id(),
            work,
            budget,
        };
        match &call.stage {
            Stage::New => {
                let plan = self.router.plan(now, &offer.work, &call.failed, rng);
                self.carry_out(now, offer, plan);
            }
            Stage::Asking { asked, bids, until } if bids.len() == asked.len() || *until <= now => {
                let choice = self.router.choose(now, &offer, asked, bids);
                match choice {
                    route::Choice::Runner { name, boot } => self.dispatch(now, offer, name, boot),
                    route::Choice::Refuse { retry } => self.refuse(request, retry),
                }
            }
            Stage::Asking { .. } | Stage::Running { .. } => {}
        }
    }

    fn carry_out(&mut self, now: Instant, offer: protocol::Offer, plan: route::Plan) {
        match plan {
            route::Plan::Direct(runner) => self.dispatch(now, offer, runner, None),
            route::Plan::Ask(asked) => {
                for runner in &asked {
                    self.commands
                        .push(entry::Command::Offer(runner.clone(), offer.clone()));
                }
                let until = now + self.settings.bid_wait;
                if let Some(call) = self.calls.get_mut(&offer.id.request) {
                    call.stage = Stage::Asking {
                        asked,
                        bids: Vec::new(),
                        until,
                    };
                }
            }
            route::Plan::Refuse { retry } => self.refuse(offer.id.request, retry),
        }
    }

    fn dispatch(
        &mut self,
        now: Instant,
        offer: protocol::Offer,
        runner: RunnerName,
        boot: Option<lentil_types::BootId>,
    ) {
        self.router.on_dispatch(now, &runner, &offer.work);
        let Some(call) = self.calls.get_mut(&offer.id.request) else {
            return;
        };
        call.stage = Stage::Running {
            runner: runner.clone(),
        };
        let resume = (call.next_offset > 0).then(|| protocol::Resume {
            offset: call.next_offset,
            text: call.text.clone(),
        });
        let dispatch = protocol::Dispatch {
            offer,
            boot,
            call: call.arrival.call.clone(),
            resume,
            once: call.arrival.once,
            key: call.arrival.key.clone(),
            fingerprint: call.arrival.fingerprint,
            isolated: false,
        };
        self.commands
            .push(entry::Command::Dispatch(runner, Box::new(dispatch)));
    }

    fn refuse(&mut self, request: RequestId, retry: time::Duration) {
        let ending = entry::Ending::Failed {
            outcome: Outcome::NotRun,
            reason: FailReason::NoRunner,
            retry: Some(retry),
        };
        self.finish(request, ending);
    }

    fn finish_failed(&mut self, request: RequestId, outcome: Outcome, reason: FailReason) {
        self.finish(
            request,
            entry::Ending::Failed {
                outcome,
                reason,
                retry: None,
            },
        );
    }

    fn finish(&mut self, request: RequestId, ending: entry::Ending) {
        self.calls.remove(&request);
        self.commands
            .push(entry::Command::Finish { request, ending });
    }

    fn current(&mut self, runner: &RunnerName, id: AttemptId) -> Option<&mut Call> {
        self.calls
            .get_mut(&id.request)
            .filter(|call| call.is_current(runner, id))
    }
}
