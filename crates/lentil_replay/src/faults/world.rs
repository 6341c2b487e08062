//! One run.

use std::{collections::BTreeMap, time};

use lentil_policy::{entry, queue, sidecar};
use lentil_types::{AttemptId, Fingerprint, Instant, RunnerName, Table};
use rand::SeedableRng as _;

use super::{
    FaultKind, Report, Settings,
    backend::Backend,
    checks::Checks,
    network::{Agenda, Link, What},
    store::Store,
    traffic::{BEGIN, SPAN, UNIX_BEGIN},
};

/// Time without faults at the end, in which everything must end.
const QUIET: time::Duration = time::Duration::from_secs(90);
/// Requests that run at once at a backend server.
const SLOTS: u32 = 4;

/// An entry process.
pub(super) struct EntryNode {
    pub(super) policy: Option<entry::EntryPolicy>,
    pub(super) life: u32,
    pub(super) paused_until: Instant,
    pub(super) wake: Instant,
    /// How far its clock is ahead.
    pub(super) skew: time::Duration,
}

/// A sidecar process and its backend server.
pub(super) struct SidecarNode {
    pub(super) name: RunnerName,
    pub(super) policy: sidecar::SidecarPolicy,
    pub(super) life: u32,
    pub(super) wake: Instant,
    pub(super) left: bool,
    /// Attempts that came after it left.
    pub(super) came_late: Vec<AttemptId>,
    pub(super) backend: Backend,
}

/// One run: the parts, what travels between them, and what is known of every
/// request.
pub(super) struct World {
    pub(super) settings: Settings,
    pub(super) now: Instant,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) agenda: Agenda,
    pub(super) entries: Vec<EntryNode>,
    pub(super) sidecars: Vec<SidecarNode>,
    pub(super) links: Table<u64, Link>,
    pub(super) store: Store,
    pub(super) store_down: bool,
    /// Fingerprints that crashed engines, as the document has them.
    pub(super) crashed: Table<Fingerprint, u32>,
    pub(super) checks: Checks,
    pub(super) faults: BTreeMap<FaultKind, u64>,
    pub(super) traced: bool,
    pub(super) trace: Vec<String>,
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
    // What happens

    pub(super) fn happen(&mut self, what: What) {
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

    pub(super) fn on_send(&mut self, number: usize) {
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

    pub(super) fn on_hang_up(&mut self, number: usize) {
        let tracked = &mut self.checks.tracked[number];
        if tracked.ending.is_some() {
            return;
        }
        tracked.excused = true;
        let (entry, request) = (tracked.sending.entry, tracked.request);
        let life = self.entries[entry].life;
        self.deliver_entry(entry, life, entry::Event::CallerGone(request));
    }
}

/// A sidecar that has read which fingerprints crashed engines.
pub(super) fn new_sidecar(
    now: Instant,
    crashed: &Table<Fingerprint, u32>,
) -> sidecar::SidecarPolicy {
    let queue = queue::Fifo::new(queue::FifoSettings { slots: SLOTS });
    let mut policy = sidecar::SidecarPolicy::new(sidecar::Settings::default(), Box::new(queue));
    for (&fingerprint, &crashes) in crashed.iter() {
        let event = sidecar::Event::Crashed {
            fingerprint,
            crashes,
        };
        policy.on_event(now, event);
    }
    policy
}
