//! Entry processes of a run.

use std::time;

use lentil_policy::{entry, protocol, route};
use lentil_types::{Instant, Outcome, PlaceName, RequestId};
use rand::RngExt as _;

use super::{
    FaultKind, Sabotage,
    checks::Tracked,
    network::What,
    router::AskTwo,
    traffic::{self, Kind, Sending},
    world::{SidecarNode, World},
};

/// Most times that a caller sends a request.
const MAX_ROUNDS: u32 = 3;

impl World {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let mut policy =
            entry::EntryPolicy::new(entry::Settings::default(), Box::new(AskTwo::default()));
        let info = |node: &SidecarNode| route::RunnerInfo {
            name: node.name.clone(),
            service: traffic::name(if node.backend.is_engine {
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
        node.life += 1;
        node.paused_until = Instant::ZERO;
        node.wake = Instant::NEVER;
    }

    pub(super) fn crash_entry(&mut self, entry: usize, kind: FaultKind) {
        if self.entries[entry].policy.take().is_none() {
            return;
        }
        self.note_fault(kind);
        self.note(|| format!("entry {entry} is gone"));
        for number in 0..self.checks.tracked.len() {
            let tracked = &self.checks.tracked[number];
            let here = tracked.sending.entry == entry;
            if here && tracked.ending.is_none() && tracked.sending.at <= self.now {
                self.checks.tracked[number].excused = true;
                self.maybe_send_again(number);
            }
        }
        self.break_links(|link| link.entry == entry);
        let at = self.now + self.millis(50, 3_000);
        self.agenda.push(at, What::StartEntry(entry));
    }

    pub(super) fn drain_entry(&mut self, entry: usize) {
        if self.entries[entry].policy.is_none() {
            return;
        }
        self.note_fault(FaultKind::EntryDrained);
        let life = self.entries[entry].life;
        self.deliver_entry(entry, life, entry::Event::Drain);
        let at = self.now + time::Duration::from_secs(1);
        self.agenda.push(at, What::ReplaceEntry(entry, life));
    }

    /// A new process takes the place of one that drained and has nothing in
    /// flight.
    pub(super) fn replace_entry(&mut self, entry: usize, life: u32) {
        let node = &self.entries[entry];
        let same = node.life == life;
        let Some(policy) = node.policy.as_ref().filter(|_| same) else {
            return;
        };
        if policy.in_flight() == 0 && node.paused_until <= self.now {
            self.start_entry(entry);
            return;
        }
        let at = self.now + time::Duration::from_secs(1);
        self.agenda.push(at, What::ReplaceEntry(entry, life));
    }

    pub(super) fn deliver_entry(&mut self, entry: usize, life: u32, mut event: entry::Event) {
        if self.settings.sabotage == Some(Sabotage::NoOffsets) {
            self.renumber(&mut event);
        }
        let node = &mut self.entries[entry];
        if node.life != life {
            return;
        }
        if node.paused_until > self.now {
            let what = What::ToEntry(entry, life, Box::new(event));
            let at = node.paused_until;
            self.agenda.push(at, what);
            return;
        }
        let Some(policy) = &mut node.policy else {
            return;
        };
        if self.traced {
            self.trace
                .push(format!("{} entry {entry} <- {event:?}", self.now));
        }
        policy.on_event(self.now, event);
        self.tick_entry(entry, life);
    }

    /// Makes every piece look like the next one.
    pub(super) fn renumber(&mut self, event: &mut entry::Event) {
        let (id, offset) = match event {
            entry::Event::Piece(_, piece) => (piece.id, &mut piece.offset),
            entry::Event::Ended(_, end) => (end.id, &mut end.offset),
            _ => return,
        };
        let chat = |tracked: &&mut Tracked| tracked.sending.kind == Kind::Chat;
        if let Some(tracked) = self.checks.of(id.request).filter(chat) {
            *offset = tracked.pieces.len() as u64;
        }
    }

    pub(super) fn tick_entry(&mut self, entry: usize, life: u32) {
        let now = self.now;
        let node = &mut self.entries[entry];
        if node.life != life {
            return;
        }
        if node.paused_until > now {
            let at = node.paused_until;
            self.agenda.push(at, What::WakeEntry(entry, life));
            return;
        }
        let Some(policy) = &mut node.policy else {
            return;
        };
        let commands = policy.tick(now, &mut self.rng);
        let wake = policy.next_wake().max(now + time::Duration::from_micros(1));
        if wake < node.wake {
            node.wake = wake;
            self.agenda.push(wake, What::WakeEntry(entry, life));
        }
        // A pause falls between a decision and its commands: they go out late.
        let mut out = now;
        if !commands.is_empty() && self.strikes(FaultKind::EntryPaused, 0.002) {
            let span = self.millis(100, 12_000);
            out = now + span;
            self.entries[entry].paused_until = out;
            for tracked in &mut self.checks.tracked {
                if tracked.sending.entry == entry && tracked.ending.is_none() {
                    tracked.paused += span;
                }
            }
        }
        for command in commands {
            self.carry_out_entry(entry, out, command);
        }
    }

    pub(super) fn carry_out_entry(&mut self, entry: usize, out: Instant, command: entry::Command) {
        use entry::Command;
        if self.traced {
            self.trace
                .push(format!("{} entry {entry} -> {command:?}", self.now));
        }
        match command {
            Command::Offer(runner, offer) => self.send_offer(entry, out, &runner, offer),
            Command::Dispatch(runner, dispatch) => {
                self.send_dispatch(entry, out, &runner, dispatch);
            }
            Command::Cancel(runner, id) => self.send_cancel(entry, out, &runner, id),
            Command::Withdraw(runner, id) => self.send_withdraw(entry, out, &runner, id),
            Command::Store(call) => {
                let at = out + self.latency();
                let life = self.entries[entry].life;
                self.agenda
                    .push(at, What::ToStore(entry, life, Box::new(call)));
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
        let ending = match (self.settings.sabotage, ending) {
            (
                Some(Sabotage::ShortAnswers),
                entry::Ending::Failed {
                    outcome: Outcome::Unknown,
                    ..
                },
            ) => entry::Ending::Whole(protocol::Usage::default()),
            (Some(Sabotage::FalseNotRun), entry::Ending::Failed { reason, retry, .. }) => {
                entry::Ending::Failed {
                    outcome: Outcome::NotRun,
                    reason,
                    retry,
                }
            }
            (_, ending) => ending,
        };
        self.checks.on_finish(self.now, request, ending);
        let sent = |tracked: &Tracked| tracked.request == request;
        if let Some(number) = self.checks.tracked.iter().position(sent) {
            self.maybe_send_again(number);
        }
    }

    /// Callers of calls that may not be repeated send them again with the same
    /// key, and callers of poison insist.
    pub(super) fn maybe_send_again(&mut self, number: usize) {
        let sending = self.checks.tracked[number].sending;
        let insists = match sending.kind {
            Kind::Once { .. } => self.rng.random_bool(0.6),
            Kind::Poison => true,
            Kind::Chat | Kind::Plain => false,
        };
        if !insists || sending.round + 1 >= MAX_ROUNDS {
            return;
        }
        let again = Sending {
            at: self.now + self.millis(1, 4_000),
            entry: self.any_entry(),
            round: sending.round + 1,
            ..sending
        };
        self.plan_sending(again);
    }
}
