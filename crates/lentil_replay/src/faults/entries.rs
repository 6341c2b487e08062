//! Simulated entry processes.

use std::time;

use lentil_policy::{entry, protocol, route};
use lentil_types::{Instant, Outcome, PlaceName, RequestId};
use rand::RngExt as _;

use super::{
    FaultKind, Mutation,
    checks::TrackedRequest,
    events::Event,
    router::AskTwo,
    traffic::{self, CallerRequest, RequestKind},
    world::{SidecarNode, World},
};

/// Most times that a caller sends a request, the first included.
const MAX_SENDS: u32 = 3;

impl World {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let mut policy =
            entry::EntryPolicy::new(entry::Settings::default(), Box::new(AskTwo::default()));
        let info = |node: &SidecarNode| route::RunnerInfo {
            name: node.name.clone(),
            service: traffic::service_name(if node.backend.is_engine {
                "chat"
            } else {
                "dock"
            }),
            place: PlaceName::new("here").expect("a name"),
        };
        let runners = self.sidecars.iter().map(info).collect();
        policy.on_event(self.now, entry::Event::Runners(runners));
        for (&fingerprint, &crashes) in self.crashed.iter() {
            let event = entry::Event::Crashed {
                fingerprint,
                crashes,
            };
            policy.on_event(self.now, event);
        }
        let node = &mut self.entries[entry];
        node.policy = Some(policy);
        node.incarnation += 1;
        node.paused_until = Instant::ZERO;
        node.wake = Instant::NEVER;
    }

    pub(super) fn crash_entry(&mut self, entry: usize, kind: FaultKind) {
        if self.entries[entry].policy.take().is_none() {
            return;
        }
        self.count_fault(kind);
        self.trace_line(|| format!("entry {entry} is gone"));
        for number in 0..self.checks.tracked.len() {
            let tracked = &self.checks.tracked[number];
            let is_here = tracked.call.entry == entry;
            if is_here && tracked.ending.is_none() && tracked.call.at <= self.now {
                self.checks.tracked[number].is_abandoned = true;
                self.maybe_resend(number);
            }
        }
        self.break_links(|link| link.entry == entry);
        let at = self.now + self.random_millis(50, 3_000);
        self.queue.push(at, Event::StartEntry(entry));
    }

    pub(super) fn drain_entry(&mut self, entry: usize) {
        if self.entries[entry].policy.is_none() {
            return;
        }
        self.count_fault(FaultKind::EntryDrained);
        let incarnation = self.entries[entry].incarnation;
        self.deliver_entry(entry, incarnation, entry::Event::Drain);
        let at = self.now + time::Duration::from_secs(1);
        self.queue.push(at, Event::ReplaceEntry(entry, incarnation));
    }

    /// Replaces a drained entry once it has nothing in flight.
    pub(super) fn replace_entry(&mut self, entry: usize, incarnation: u32) {
        let node = &self.entries[entry];
        let same = node.incarnation == incarnation;
        let Some(policy) = node.policy.as_ref().filter(|_| same) else {
            return;
        };
        if policy.in_flight() == 0 && node.paused_until <= self.now {
            self.start_entry(entry);
            return;
        }
        let at = self.now + time::Duration::from_secs(1);
        self.queue.push(at, Event::ReplaceEntry(entry, incarnation));
    }

    pub(super) fn deliver_entry(
        &mut self,
        entry: usize,
        incarnation: u32,
        mut event: entry::Event,
    ) {
        if self.settings.mutation == Some(Mutation::NoOffsets) {
            self.renumber(&mut event);
        }
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let event = Event::ToEntry(entry, incarnation, Box::new(event));
            let at = node.paused_until;
            self.queue.push(at, event);
            return;
        }
        let Some(policy) = &mut node.policy else {
            return;
        };
        if self.is_traced {
            self.trace
                .push(format!("{} entry {entry} <- {event:?}", self.now));
        }
        policy.on_event(self.now, event);
        self.tick_entry(entry, incarnation);
    }

    /// Gives every piece of a chat the expected offset, which hides gaps.
    pub(super) fn renumber(&mut self, event: &mut entry::Event) {
        let (id, offset) = match event {
            entry::Event::Piece(_, piece) => (piece.id, &mut piece.offset),
            entry::Event::Ended(_, end) => (end.id, &mut end.offset),
            _ => return,
        };
        let is_chat = |tracked: &&mut TrackedRequest| tracked.call.kind == RequestKind::Chat;
        if let Some(tracked) = self.checks.find(id.request).filter(is_chat) {
            *offset = tracked.pieces.len() as u64;
        }
    }

    pub(super) fn tick_entry(&mut self, entry: usize, incarnation: u32) {
        let now = self.now;
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        if node.paused_until > now {
            let at = node.paused_until;
            self.queue.push(at, Event::WakeEntry(entry, incarnation));
            return;
        }
        let Some(policy) = &mut node.policy else {
            return;
        };
        let commands = policy.tick(now, &mut self.rng);
        let wake = policy.next_wake().max(now + time::Duration::from_micros(1));
        if wake < node.wake {
            node.wake = wake;
            self.queue.push(wake, Event::WakeEntry(entry, incarnation));
        }
        // A pause falls between a decision and its commands, which go out late.
        let mut sent_at = now;
        if !commands.is_empty() && self.inject_fault(FaultKind::EntryPaused, 0.002) {
            let span = self.random_millis(100, 12_000);
            sent_at = now + span;
            self.entries[entry].paused_until = sent_at;
            for tracked in &mut self.checks.tracked {
                if tracked.call.entry == entry && tracked.ending.is_none() {
                    tracked.paused_for += span;
                }
            }
        }
        for command in commands {
            self.carry_out_entry(entry, sent_at, command);
        }
    }

    pub(super) fn carry_out_entry(
        &mut self,
        entry: usize,
        sent_at: Instant,
        command: entry::Command,
    ) {
        use entry::Command;
        if self.is_traced {
            self.trace
                .push(format!("{} entry {entry} -> {command:?}", self.now));
        }
        match command {
            Command::Offer(runner, offer) => self.send_offer(entry, sent_at, &runner, offer),
            Command::Dispatch(runner, dispatch) => {
                self.send_dispatch(entry, sent_at, &runner, dispatch);
            }
            Command::Cancel(runner, id) => self.send_cancel(entry, sent_at, &runner, id),
            Command::Withdraw(runner, id) => self.send_withdraw(entry, sent_at, &runner, id),
            Command::Store(call) => {
                let at = sent_at + self.random_latency();
                let incarnation = self.entries[entry].incarnation;
                self.queue
                    .push(at, Event::ToStore(entry, incarnation, Box::new(call)));
            }
            Command::Head { .. } => {}
            Command::Emit {
                request,
                offset,
                data,
            } => {
                self.checks.on_piece(self.now, request, offset, data);
            }
            Command::Finish { request, ending } => self.on_finish(request, ending),
        }
    }

    pub(super) fn on_finish(&mut self, request: RequestId, ending: entry::Ending) {
        let ending = match (self.settings.mutation, ending) {
            (
                Some(Mutation::ShortAnswers),
                entry::Ending::Failed {
                    outcome: Outcome::Unknown,
                    ..
                },
            ) => entry::Ending::Whole(protocol::Usage::default()),
            (Some(Mutation::FalseNotRun), entry::Ending::Failed { reason, retry, .. }) => {
                entry::Ending::Failed {
                    outcome: Outcome::NotRun,
                    reason,
                    retry,
                }
            }
            (_, ending) => ending,
        };
        self.checks.on_finish(self.now, request, ending);
        let is_request = |tracked: &TrackedRequest| tracked.request == request;
        if let Some(number) = self.checks.tracked.iter().position(is_request) {
            self.maybe_resend(number);
        }
    }

    /// Resends non-repeatable calls with the same key, and poison requests.
    pub(super) fn maybe_resend(&mut self, number: usize) {
        let call = self.checks.tracked[number].call;
        let will_resend = match call.kind {
            RequestKind::Once { .. } => self.rng.random_bool(0.6),
            RequestKind::Poison => true,
            RequestKind::Chat | RequestKind::Plain => false,
        };
        if !will_resend || call.resends + 1 >= MAX_SENDS {
            return;
        }
        let resend = CallerRequest {
            at: self.now + self.random_millis(1, 4_000),
            entry: self.random_entry(),
            resends: call.resends + 1,
            ..call
        };
        self.schedule_request(resend);
    }
}
