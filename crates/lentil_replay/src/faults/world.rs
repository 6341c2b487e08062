//! One run.

use std::{collections::BTreeMap, time};

use lentil_policy::{entry, protocol, queue, route, sidecar};
use lentil_types::{
    AttemptId, BootId, Fingerprint, Instant, Outcome, PlaceName, RequestId, RunnerName,
    RunnerState, Table, WeightsVersion,
};
use rand::{RngExt as _, SeedableRng as _};

use super::{
    FaultKind, Report, Sabotage, Settings,
    backend::{self, Backend},
    checks::Checks,
    network::{Agenda, Link, What},
    router::AskTwo,
    store::Store,
    traffic::{self, BEGIN, Kind, SPAN, Sending, UNIX_BEGIN},
};

/// Time without faults at the end, in which everything must end.
const QUIET: time::Duration = time::Duration::from_secs(90);
/// Most times that a caller sends a request.
const MAX_ROUNDS: u32 = 3;
/// Requests that run at once at a backend server.
const SLOTS: u32 = 4;

/// An entry process.
struct EntryNode {
    policy: Option<entry::EntryPolicy>,
    life: u32,
    paused_until: Instant,
    wake: Instant,
    /// How far its clock is ahead.
    skew: time::Duration,
}

/// A sidecar process and its backend server.
struct SidecarNode {
    name: RunnerName,
    policy: sidecar::SidecarPolicy,
    life: u32,
    wake: Instant,
    left: bool,
    /// Attempts that came after it left.
    came_late: Vec<AttemptId>,
    backend: Backend,
}

/// One run: the parts, what travels between them, and what is known of every
/// request.
pub(super) struct World {
    pub(super) settings: Settings,
    now: Instant,
    rng: rand_pcg::Pcg64Mcg,
    agenda: Agenda,
    entries: Vec<EntryNode>,
    sidecars: Vec<SidecarNode>,
    links: Table<u64, Link>,
    store: Store,
    store_down: bool,
    /// Fingerprints that crashed engines, as the document has them.
    crashed: Table<Fingerprint, u32>,
    checks: Checks,
    faults: BTreeMap<FaultKind, u64>,
    traced: bool,
    trace: Vec<String>,
}

impl World {
    pub(super) fn new(settings: Settings, seed: u64, traced: bool) -> Self {
        let mut world = Self {
            settings,
            now: Instant::ZERO,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            agenda: Agenda::default(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            links: Table::new(),
            store: Store::default(),
            store_down: false,
            crashed: Table::new(),
            checks: Checks::default(),
            faults: BTreeMap::new(),
            traced,
            trace: Vec::new(),
        };
        world.build();
        world.plan_traffic();
        world.plan_faults();
        world
    }

    pub(super) fn run(&mut self) {
        let end = BEGIN + SPAN + QUIET;
        while let Some((at, what)) = self.agenda.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.happen(what);
        }
        self.checks.conclude(self.now);
    }

    pub(super) fn report(&self, seed: u64, report: &mut Report) {
        report.requests += self.checks.tracked.len() as u64;
        for tracked in &self.checks.tracked {
            let ending = match tracked.ending {
                Some(entry::Ending::Whole(_)) => "whole".to_owned(),
                Some(entry::Ending::Failed {
                    outcome, reason, ..
                }) => format!("{outcome} {reason}"),
                None => "caller or entry gone".to_owned(),
            };
            *report.endings.entry(ending).or_insert(0) += 1;
        }
        for (kind, count) in &self.faults {
            *report.faults.entry(*kind).or_insert(0) += count;
        }
        for (promise, count) in &self.checks.checked {
            *report.checked.entry(*promise).or_insert(0) += count;
        }
        let violations = self.checks.violations.iter().cloned();
        report
            .violations
            .extend(violations.map(|violation| (seed, violation)));
    }

    pub(super) fn into_trace(self) -> Vec<String> {
        self.trace
    }

    // -----------------------------------------------------------------------
    // Setting up

    fn build(&mut self) {
        for number in 0..self.settings.engines + self.settings.plains {
            let is_engine = number < self.settings.engines;
            let boot = BootId(1_000 * (number as u64 + 1));
            self.sidecars.push(SidecarNode {
                name: RunnerName::new(&format!("runner-{number}")).expect("a name"),
                policy: new_sidecar(),
                life: 0,
                wake: Instant::NEVER,
                left: false,
                came_late: Vec::new(),
                backend: Backend::new(is_engine, boot),
            });
            self.tell_engine_up(number, time::Duration::ZERO);
        }
        for number in 0..self.settings.entries {
            let skew = time::Duration::from_millis(self.rng.random_range(0..10_000));
            self.entries.push(EntryNode {
                policy: None,
                life: 0,
                paused_until: Instant::ZERO,
                wake: Instant::NEVER,
                skew,
            });
            self.agenda.push(Instant::ZERO, What::StartEntry(number));
        }
    }

    fn plan_traffic(&mut self) {
        for sending in traffic::sendings(&self.settings, &mut self.rng) {
            self.plan_sending(sending);
        }
    }

    fn plan_sending(&mut self, sending: Sending) {
        let request = RequestId(u128::from(self.rng.random::<u64>()));
        let number = self.checks.track(sending, request);
        self.agenda.push(sending.at, What::Send(number));
    }

    fn plan_faults(&mut self) {
        let times = |world: &mut Self, most: u32| {
            let most = f64::from(most) * world.settings.fault_rate;
            world.rng.random_range(0..=most.round() as u32)
        };
        for _ in 0..times(self, 2) {
            let (at, entry) = (self.fault_time(), self.any_entry());
            self.agenda.push(at, What::CrashEntry(entry));
        }
        for _ in 0..times(self, 1) {
            let (at, entry) = (self.fault_time(), self.any_entry());
            self.agenda.push(at, What::DrainEntry(entry));
        }
        for _ in 0..times(self, 2) {
            let (at, runner) = (self.fault_time(), self.any_runner());
            self.agenda.push(at, What::CrashSidecar(runner));
        }
        for _ in 0..times(self, 1) {
            let (at, runner) = (self.fault_time(), self.any_runner());
            self.agenda.push(at, What::Leave(runner));
            let back = at + time::Duration::from_secs(5);
            self.agenda.push(back, What::Rejoin(runner));
        }
        for _ in 0..times(self, 3) {
            let (at, runner) = (self.fault_time(), self.any_runner());
            self.agenda.push(at, What::CrashEngine(runner));
        }
        for _ in 0..times(self, 2) {
            let at = self.fault_time();
            let span = self.millis(200, 4_000);
            self.agenda.push(at, What::StoreOutage(true));
            self.agenda.push(at + span, What::StoreOutage(false));
        }
    }

    fn fault_time(&mut self) -> Instant {
        let span = SPAN.as_micros() as u64;
        BEGIN + time::Duration::from_micros(self.rng.random_range(0..span))
    }

    fn any_entry(&mut self) -> usize {
        self.rng.random_range(0..self.entries.len())
    }

    fn any_runner(&mut self) -> usize {
        self.rng.random_range(0..self.sidecars.len())
    }

    fn millis(&mut self, from: u64, to: u64) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(from * 1_000..to * 1_000))
    }

    fn latency(&mut self) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(200..3_000))
    }

    /// Whether a fault with this chance happens now. None does once callers
    /// have stopped sending.
    fn strikes(&mut self, kind: FaultKind, chance: f64) -> bool {
        let chance = (chance * self.settings.fault_rate).min(1.0);
        let open = self.now < BEGIN + SPAN;
        let strikes = open && chance > 0.0 && self.rng.random_bool(chance);
        if strikes {
            self.note_fault(kind);
        }
        strikes
    }

    fn note_fault(&mut self, kind: FaultKind) {
        *self.faults.entry(kind).or_insert(0) += 1;
        self.note(|| format!("FAULT {kind}"));
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if self.traced {
            let line = format!("{} {}", self.now, line());
            self.trace.push(line);
        }
    }

    // -----------------------------------------------------------------------
    // What happens

    fn happen(&mut self, what: What) {
        match what {
            What::Send(number) => self.on_send(number),
            What::HangUp(number) => self.on_hang_up(number),
            What::ToEntry(entry, life, event) => self.deliver_entry(entry, life, *event),
            What::ToSidecar(runner, life, event) => self.deliver_sidecar(runner, life, *event),
            What::ToStore(entry, life, call) => self.on_store_call(entry, life, *call),
            What::LateWrite(call) => drop(self.store.call(*call)),
            What::ToBackend(runner, life, dispatch) => self.on_backend(runner, life, &dispatch),
            What::Step(runner, id, serial) => self.on_step(runner, id, serial),
            What::WakeEntry(entry, life) => {
                self.entries[entry].wake = Instant::NEVER;
                self.tick_entry(entry, life);
            }
            What::WakeSidecar(runner, life) => {
                self.sidecars[runner].wake = Instant::NEVER;
                self.tick_sidecar(runner, life);
            }
            What::CrashEntry(entry) => self.crash_entry(entry, FaultKind::EntryCrashed),
            What::DrainEntry(entry) => self.drain_entry(entry),
            What::ReplaceEntry(entry, life) => self.replace_entry(entry, life),
            What::StartEntry(entry) => self.start_entry(entry),
            What::CrashSidecar(runner) => self.crash_sidecar(runner),
            What::Leave(runner) => self.on_leave(runner),
            What::Rejoin(runner) => self.on_rejoin(runner),
            What::CrashEngine(runner) => {
                self.note_fault(FaultKind::EngineCrashed);
                self.checks.chance_crashes += 1;
                self.crash_engine(runner);
            }
            What::StartEngine(runner, boot) => self.start_engine(runner, boot),
            What::StoreOutage(down) => self.store_down = down,
            What::Crashed(fingerprint, crashes) => self.spread_crashed(fingerprint, crashes),
        }
    }

    fn on_send(&mut self, number: usize) {
        let tracked = self.checks.tracked[number].clone();
        let entry = tracked.sending.entry;
        let (request, sending) = (tracked.request, tracked.sending);
        if self.entries[entry].policy.is_none() {
            self.checks.tracked[number].excused = true;
            return;
        }
        let pause = self.entries[entry].paused_until.since(self.now);
        self.checks.tracked[number].paused += pause;
        self.note(|| format!("caller sends {request} to entry {entry}: {sending:?}"));
        if self.strikes(FaultKind::CallerGone, 0.03) {
            let at = self.now + self.millis(1, 500);
            self.agenda.push(at, What::HangUp(number));
        }
        let unix = time::Duration::from_secs(UNIX_BEGIN) + self.now.since(Instant::ZERO);
        let clock = entry::Event::Clock(unix + self.entries[entry].skew);
        let arrival = sending.arrival(request, &self.settings);
        let life = self.entries[entry].life;
        for event in [clock, entry::Event::Arrived(Box::new(arrival))] {
            let what = What::ToEntry(entry, life, Box::new(event));
            self.agenda.push(self.now, what);
        }
    }

    fn on_hang_up(&mut self, number: usize) {
        let tracked = &mut self.checks.tracked[number];
        if tracked.ending.is_some() {
            return;
        }
        tracked.excused = true;
        let (entry, request) = (tracked.sending.entry, tracked.request);
        let life = self.entries[entry].life;
        self.deliver_entry(entry, life, entry::Event::CallerGone(request));
    }

    // -----------------------------------------------------------------------
    // Entries

    fn start_entry(&mut self, entry: usize) {
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

    fn crash_entry(&mut self, entry: usize, kind: FaultKind) {
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

    fn drain_entry(&mut self, entry: usize) {
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
    fn replace_entry(&mut self, entry: usize, life: u32) {
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

    fn deliver_entry(&mut self, entry: usize, life: u32, mut event: entry::Event) {
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
    fn renumber(&mut self, event: &mut entry::Event) {
        let (id, offset) = match event {
            entry::Event::Piece(_, piece) => (piece.id, &mut piece.offset),
            entry::Event::Ended(_, end) => (end.id, &mut end.offset),
            _ => return,
        };
        let chat = |tracked: &&mut super::checks::Tracked| tracked.sending.kind == Kind::Chat;
        if let Some(tracked) = self.checks.of(id.request).filter(chat) {
            *offset = tracked.pieces.len() as u64;
        }
    }

    fn tick_entry(&mut self, entry: usize, life: u32) {
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

    fn carry_out_entry(&mut self, entry: usize, out: Instant, command: entry::Command) {
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

    fn on_finish(&mut self, request: RequestId, ending: entry::Ending) {
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
        let sent = |tracked: &super::checks::Tracked| tracked.request == request;
        if let Some(number) = self.checks.tracked.iter().position(sent) {
            self.maybe_send_again(number);
        }
    }

    /// Callers of calls that may not be repeated send them again with the same
    /// key, and callers of poison insist.
    fn maybe_send_again(&mut self, number: usize) {
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

    // -----------------------------------------------------------------------
    // From entries to sidecars

    fn runner(&self, name: &RunnerName) -> usize {
        let found = self.sidecars.iter().position(|node| node.name == *name);
        found.expect("a known runner")
    }

    fn open_link(&mut self, entry: usize, runner: usize, id: AttemptId) -> u64 {
        let number = self.links.len() as u64 + 1;
        let link = Link {
            entry,
            entry_life: self.entries[entry].life,
            runner,
            runner_life: self.sidecars[runner].life,
            id,
            open: true,
            last_up: Instant::ZERO,
            last_down: Instant::ZERO,
        };
        self.links.insert(number, link);
        number
    }

    fn send_offer(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        offer: protocol::Offer,
    ) {
        if self.strikes(FaultKind::BidLost, 0.03) {
            return;
        }
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, offer.id);
        self.down(
            number,
            out,
            sidecar::Event::Offer(sidecar::LinkId(number), offer),
        );
    }

    fn send_dispatch(
        &mut self,
        entry: usize,
        out: Instant,
        name: &RunnerName,
        dispatch: Box<protocol::Dispatch>,
    ) {
        let runner = self.runner(name);
        let id = dispatch.offer.id;
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Dispatch(sidecar::LinkId(number), dispatch);
        if self.strikes(FaultKind::MessageLost, 0.01) {
            self.break_link(number);
        } else if self.strikes(FaultKind::MessageLate, 0.02) {
            self.break_link(number);
            let at = out + self.millis(10, 20_000);
            let life = self.sidecars[runner].life;
            self.agenda
                .push(at, What::ToSidecar(runner, life, Box::new(event)));
        } else {
            if self.strikes(FaultKind::MessageDoubled, 0.01) {
                self.down(number, out, event.clone());
            }
            self.down(number, out, event);
        }
        if self.strikes(FaultKind::LinkBroken, 0.04) {
            let at = out + self.millis(1, 400);
            self.break_link_at(number, at);
        }
    }

    fn send_cancel(&mut self, entry: usize, out: Instant, name: &RunnerName, id: AttemptId) {
        let runner = self.runner(name);
        let is_its = |(number, link): (&u64, &Link)| {
            let ours = link.entry == entry && link.runner == runner && link.id == id;
            (ours && link.open).then_some(*number)
        };
        let numbers: Vec<_> = self.links.iter().filter_map(is_its).collect();
        for number in numbers {
            self.down(number, out, sidecar::Event::Cancel(id));
            let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
            self.down(number, out, lost);
        }
    }

    fn send_withdraw(&mut self, entry: usize, out: Instant, name: &RunnerName, id: AttemptId) {
        let runner = self.runner(name);
        let number = self.open_link(entry, runner, id);
        let event = sidecar::Event::Withdraw(sidecar::LinkId(number), id);
        self.down(number, out, event);
    }

    /// Sends a message down a link.
    fn down(&mut self, number: u64, out: Instant, event: sidecar::Event) {
        let at = out + self.latency();
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        let at = link.down(at);
        let (runner, life) = (link.runner, link.runner_life);
        self.agenda
            .push(at, What::ToSidecar(runner, life, Box::new(event)));
    }

    /// Sends a message up a link.
    fn up(&mut self, number: u64, event: &entry::Event) {
        if self.strikes(FaultKind::MessageLost, 0.003) {
            return;
        }
        let crossed = self.strikes(FaultKind::MessageCrossed, 0.003);
        let doubled = self.strikes(FaultKind::MessageDoubled, 0.003);
        let mut at = self.now + self.latency();
        if crossed {
            at = at + self.millis(5, 60);
        }
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        let at = if crossed { at } else { link.up(at) };
        let (entry, life) = (link.entry, link.entry_life);
        for _ in 0..=u32::from(doubled) {
            let what = What::ToEntry(entry, life, Box::new(event.clone()));
            self.agenda.push(at, what);
        }
    }

    fn break_link_at(&mut self, number: u64, at: Instant) {
        let Some(link) = self.links.get(&number).copied() else {
            return;
        };
        let name = self.sidecars[link.runner].name.clone();
        let lost = entry::Event::Lost {
            runner: name,
            id: link.id,
            sent: true,
        };
        let what = What::ToEntry(link.entry, link.entry_life, Box::new(lost));
        self.agenda.push(at, what);
        let lost = sidecar::Event::LinkLost(sidecar::LinkId(number));
        let what = What::ToSidecar(link.runner, link.runner_life, Box::new(lost));
        self.agenda.push(at, what);
    }

    /// Breaks a link: either side hears of it, each in its own time.
    fn break_link(&mut self, number: u64) {
        let Some(link) = self.links.get_mut(&number) else {
            return;
        };
        if !link.open {
            return;
        }
        link.open = false;
        let at = self.now + self.latency();
        self.break_link_at(number, at);
    }

    fn break_links(&mut self, of: impl Fn(&Link) -> bool) {
        let open = |(number, link): (&u64, &Link)| (link.open && of(link)).then_some(*number);
        let numbers: Vec<_> = self.links.iter().filter_map(open).collect();
        for number in numbers {
            self.break_link(number);
        }
    }

    // -----------------------------------------------------------------------
    // Sidecars

    fn deliver_sidecar(&mut self, runner: usize, life: u32, event: sidecar::Event) {
        if self.sidecars[runner].life != life {
            self.refuse_dead(&event);
            return;
        }
        if self.traced {
            self.trace
                .push(format!("{} sidecar {runner} <- {event:?}", self.now));
        }
        let node = &mut self.sidecars[runner];
        if let sidecar::Event::Dispatch(_, dispatch) = &event
            && node.left
        {
            node.came_late.push(dispatch.offer.id);
        }
        if event == sidecar::Event::Leave && self.settings.sabotage == Some(Sabotage::NoLeaving) {
            return;
        }
        node.policy.on_event(self.now, event);
        self.tick_sidecar(runner, life);
    }

    /// A dispatch to a sidecar that has died since: the connection tells.
    fn refuse_dead(&mut self, event: &sidecar::Event) {
        if let sidecar::Event::Dispatch(link, _) = event {
            self.break_link(link.0);
        }
    }

    fn tick_sidecar(&mut self, runner: usize, life: u32) {
        let now = self.now;
        let node = &mut self.sidecars[runner];
        if node.life != life {
            return;
        }
        let commands = node.policy.tick(now);
        let wake = node
            .policy
            .next_wake()
            .max(now + time::Duration::from_micros(1));
        if wake < node.wake {
            node.wake = wake;
            self.agenda.push(wake, What::WakeSidecar(runner, life));
        }
        for command in commands {
            self.carry_out_sidecar(runner, command);
        }
    }

    fn carry_out_sidecar(&mut self, runner: usize, command: sidecar::Command) {
        use sidecar::Command;
        if self.traced {
            self.trace
                .push(format!("{} sidecar {runner} -> {command:?}", self.now));
        }
        let name = self.sidecars[runner].name.clone();
        match command {
            Command::Bid(link, bid) => {
                let bid = route::RunnerBid { runner: name, bid };
                self.up(link.0, &entry::Event::Bid(bid));
            }
            Command::Run(dispatch) => self.send_run(runner, dispatch),
            Command::Stop(id) => drop(self.sidecars[runner].backend.jobs.remove(&id)),
            Command::Started(link, started) => {
                self.up(link.0, &entry::Event::Started(name, started));
            }
            Command::Piece(link, piece) => self.send_piece(link.0, name, piece),
            Command::End(link, end) => self.up(link.0, &entry::Event::Ended(name, end)),
            Command::Fail(link, failed) => self.up(link.0, &entry::Event::Failed(name, failed)),
            Command::Withdrawn(link, withdrawn) => {
                self.up(link.0, &entry::Event::Withdrawn(name, withdrawn));
            }
            Command::ListCache => {}
            Command::Crashed {
                fingerprint,
                crashes,
            } => {
                let at = self.now + self.millis(100, 1_500);
                self.agenda.push(at, What::Crashed(fingerprint, crashes));
            }
        }
    }

    fn send_piece(&mut self, number: u64, name: RunnerName, mut piece: protocol::Piece) {
        if self.strikes(FaultKind::PieceCrossed, 0.002) {
            piece.boot = BootId(piece.boot.0.wrapping_sub(1));
            piece.data = b"crossed".to_vec();
        }
        self.up(number, &entry::Event::Piece(name, piece));
    }

    fn send_run(&mut self, runner: usize, dispatch: Box<protocol::Dispatch>) {
        let node = &self.sidecars[runner];
        let load = node.policy.load();
        let id = dispatch.offer.id;
        let weights = dispatch.offer.work.weights;
        let right_boot = dispatch.boot.is_none_or(|boot| boot == load.boot);
        let right_weights = weights == WeightsVersion(0) || weights == load.weights;
        let late = node.came_late.contains(&id);
        let leaving = node.left && late;
        let state = load.state;
        self.checks.check(
            self.now,
            super::Promise::NoStaleEngine,
            right_boot && right_weights,
            || format!("{id} runs at another engine than it was meant for"),
        );
        self.checks.check(
            self.now,
            super::Promise::NothingNewWhenLeaving,
            !leaving,
            || format!("{id} runs at a leaving sidecar, which says {state}"),
        );
        let at = self.now + self.latency();
        let life = node_life(&self.sidecars[runner]);
        self.agenda
            .push(at, What::ToBackend(runner, life, dispatch));
    }

    fn crash_sidecar(&mut self, runner: usize) {
        self.note_fault(FaultKind::SidecarCrashed);
        self.note(|| format!("sidecar {runner} starts again"));
        let node = &mut self.sidecars[runner];
        node.life += 1;
        node.policy = new_sidecar();
        node.wake = Instant::NEVER;
        node.left = false;
        node.came_late.clear();
        // The engine stops what nobody reads; a plain service has run it.
        node.backend.jobs = Table::new();
        self.break_links(|link| link.runner == runner);
        let wait = self.millis(1, 300);
        if self.sidecars[runner].backend.up {
            self.tell_engine_up(runner, wait);
        }
    }

    fn on_leave(&mut self, runner: usize) {
        self.note_fault(FaultKind::SidecarLeft);
        self.sidecars[runner].left = true;
        let life = self.sidecars[runner].life;
        self.deliver_sidecar(runner, life, sidecar::Event::Leave);
    }

    /// A new instance takes the place of one that left, whose work has ended.
    fn on_rejoin(&mut self, runner: usize) {
        let left = self.sidecars[runner].left;
        let leaving = self.sidecars[runner].policy.load().state == RunnerState::Leaving;
        if !left && !leaving {
            return;
        }
        if self.sidecars[runner].policy.in_flight() > 0 {
            let at = self.now + time::Duration::from_secs(1);
            self.agenda.push(at, What::Rejoin(runner));
            return;
        }
        let node = &mut self.sidecars[runner];
        node.life += 1;
        node.policy = new_sidecar();
        node.wake = Instant::NEVER;
        node.left = false;
        node.came_late.clear();
        self.break_links(|link| link.runner == runner);
        if self.sidecars[runner].backend.up {
            self.tell_engine_up(runner, time::Duration::ZERO);
        }
    }

    // -----------------------------------------------------------------------
    // Backend servers

    fn tell_engine_up(&mut self, runner: usize, wait: time::Duration) {
        let node = &self.sidecars[runner];
        let up = sidecar::Event::EngineUp {
            boot: node.backend.boot,
            weights: node.backend.weights,
        };
        let what = What::ToSidecar(runner, node.life, Box::new(up));
        self.agenda.push(self.now + wait, what);
    }

    fn tell_sidecar(&mut self, runner: usize, wait: time::Duration, event: sidecar::Event) {
        let life = self.sidecars[runner].life;
        let what = What::ToSidecar(runner, life, Box::new(event));
        self.agenda.push(self.now + wait, what);
    }

    fn on_backend(&mut self, runner: usize, life: u32, dispatch: &protocol::Dispatch) {
        let id = dispatch.offer.id;
        if self.sidecars[runner].life != life {
            return;
        }
        if !self.sidecars[runner].backend.up {
            let fault = sidecar::EngineFault::Unreachable;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.tell_sidecar(runner, time::Duration::from_micros(100), event);
            return;
        }
        self.checks.on_run(self.now, dispatch);
        self.note(|| format!("backend {runner} runs {id}"));
        let serial = self.sidecars[runner].backend.begin(dispatch);
        let started = sidecar::Event::Started {
            id,
            cached: lentil_types::Pieces(0),
            status: 200,
            headers: Vec::new(),
        };
        let wait = self.millis(1, 60);
        self.tell_sidecar(runner, wait, started);
        let wait = wait + self.millis(5, 40);
        self.agenda
            .push(self.now + wait, What::Step(runner, id, serial));
    }

    /// The next piece of an answer, or its end.
    fn on_step(&mut self, runner: usize, id: AttemptId, serial: u64) {
        let Some(job) = self.sidecars[runner].backend.job(id, serial) else {
            return;
        };
        let (fingerprint, offset) = (job.fingerprint, job.next);
        job.next += 1;
        if self.is_poison(id) {
            self.poison_crash(runner, id);
            return;
        }
        let none = time::Duration::ZERO;
        if offset >= backend::answer_len(self.plain_fingerprint(id, fingerprint)) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let usage = protocol::Usage::default();
            self.tell_sidecar(runner, none, sidecar::Event::Ended { id, usage });
            return;
        }
        if self.strikes(FaultKind::AnswerBroken, 0.005) {
            self.sidecars[runner].backend.jobs.remove(&id);
            let fault = sidecar::EngineFault::BrokeOff;
            let event = sidecar::Event::EngineFailed { id, fault };
            self.tell_sidecar(runner, none, event);
            return;
        }
        let piece = backend::AnswerPiece {
            fingerprint: self.plain_fingerprint(id, fingerprint),
            offset,
            attempt: id.attempt,
        };
        let text = piece.to_string();
        let data = text.clone().into_bytes();
        let piece = sidecar::Event::Piece {
            id,
            offset,
            text,
            data,
        };
        self.tell_sidecar(runner, none, piece);
        let at = self.now + self.millis(2, 60);
        self.agenda.push(at, What::Step(runner, id, serial));
    }

    /// What the answer is made from: the content, also where fingerprints are
    /// sabotaged.
    fn plain_fingerprint(&mut self, id: AttemptId, sent: Fingerprint) -> Fingerprint {
        let tracked = self.checks.of(id.request);
        tracked.map_or(sent, |tracked| tracked.sending.fingerprint())
    }

    fn is_poison(&mut self, id: AttemptId) -> bool {
        let tracked = self.checks.of(id.request);
        tracked.is_some_and(|tracked| tracked.sending.kind == Kind::Poison)
    }

    fn poison_crash(&mut self, runner: usize, id: AttemptId) {
        self.note_fault(FaultKind::PoisonCrash);
        if let Some(tracked) = self.checks.of(id.request) {
            let fingerprint = tracked.sending.fingerprint();
            self.checks.on_poison_crash(self.now, fingerprint);
        }
        self.crash_engine(runner);
    }

    fn crash_engine(&mut self, runner: usize) {
        let backend = &mut self.sidecars[runner].backend;
        if !backend.up {
            return;
        }
        backend.up = false;
        backend.boot = BootId(backend.boot.0 + 1);
        let boot = backend.boot;
        let jobs = std::mem::take(&mut backend.jobs);
        for id in jobs.keys() {
            let fault = sidecar::EngineFault::BrokeOff;
            let event = sidecar::Event::EngineFailed { id: *id, fault };
            let wait = self.latency();
            self.tell_sidecar(runner, wait, event);
        }
        let down = self.millis(10, 150);
        // A quick restart is seen only by its boot id.
        let quick = self.rng.random_bool(0.3);
        if !quick {
            self.tell_sidecar(runner, down, sidecar::Event::EngineDown);
        }
        let back = down + self.millis(1, if quick { 100 } else { 2_000 });
        self.agenda
            .push(self.now + back, What::StartEngine(runner, boot));
    }

    fn start_engine(&mut self, runner: usize, boot: BootId) {
        if self.sidecars[runner].backend.boot != boot {
            return;
        }
        self.sidecars[runner].backend.up = true;
        let is_engine = self.sidecars[runner].backend.is_engine;
        if is_engine && self.strikes(FaultKind::WeightsChanged, 0.1) {
            self.sidecars[runner].backend.weights = WeightsVersion(2);
        }
        self.tell_engine_up(runner, time::Duration::ZERO);
    }

    fn spread_crashed(&mut self, fingerprint: Fingerprint, crashes: u32) {
        let known = self.crashed.get_or_insert_with(fingerprint, || 0);
        *known = crashes.max(*known);
        let crashes = *known;
        for entry in 0..self.entries.len() {
            let life = self.entries[entry].life;
            let event = entry::Event::Crashed {
                fingerprint,
                crashes,
            };
            self.deliver_entry(entry, life, event);
        }
    }

    // -----------------------------------------------------------------------
    // The store

    fn on_store_call(&mut self, entry: usize, life: u32, call: lentil_policy::store::StoreCall) {
        use lentil_policy::store::{StoreCall, StoreReply};
        let (StoreCall::Read { op, .. } | StoreCall::Update { op, .. }) = &call;
        let op = *op;
        let is_write = matches!(call, StoreCall::Update { .. });
        let reply = if self.store_down {
            self.note_fault(FaultKind::StoreDown);
            StoreReply::Refused { op }
        } else if is_write && self.strikes(FaultKind::StoreWriteLate, 0.02) {
            let at = self.now + self.millis(1, 8_000);
            self.agenda.push(at, What::LateWrite(Box::new(call)));
            StoreReply::Lost { op }
        } else {
            let reply = self.store.call(call);
            if self.strikes(FaultKind::StoreAnswerLost, 0.04) {
                StoreReply::Lost { op }
            } else {
                reply
            }
        };
        let at = self.now + self.latency();
        let what = What::ToEntry(entry, life, Box::new(entry::Event::Store(reply)));
        self.agenda.push(at, what);
    }
}

fn node_life(node: &SidecarNode) -> u32 {
    node.life
}

fn new_sidecar() -> sidecar::SidecarPolicy {
    let queue = queue::Fifo::new(queue::FifoSettings { slots: SLOTS });
    sidecar::SidecarPolicy::new(sidecar::Settings::default(), Box::new(queue))
}
