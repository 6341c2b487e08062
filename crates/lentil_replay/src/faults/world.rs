//! State and main loop of one simulated run.

use std::{collections::BTreeMap, time};

use lentil_policy::{entry, queue, sidecar};
use lentil_types::{AttemptId, Fingerprint, Instant, RunnerName, Table};
use rand::SeedableRng as _;

use super::{
    FaultKind, Report, Settings,
    backend::Backend,
    checks::Checks,
    events::{Event, EventQueue, Link},
    store::Store,
    traffic::{TRAFFIC_DURATION, TRAFFIC_START, UNIX_START_SECS},
};

/// Time without faults at the end, in which every request must end.
const QUIET_PERIOD: time::Duration = time::Duration::from_secs(90);
/// Concurrent requests of a backend server.
const SLOTS: u32 = 4;

/// A simulated entry process; `policy` is `None` while it is down.
pub(super) struct EntryNode {
    pub(super) policy: Option<entry::EntryPolicy>,
    pub(super) incarnation: u32,
    pub(super) paused_until: Instant,
    pub(super) wake: Instant,
    /// How far its clock is ahead of the simulated time.
    pub(super) clock_skew: time::Duration,
}

pub(super) struct SidecarNode {
    pub(super) name: RunnerName,
    pub(super) policy: sidecar::SidecarPolicy,
    pub(super) incarnation: u32,
    pub(super) wake: Instant,
    pub(super) leave_requested: bool,
    /// Attempts dispatched to it after it was asked to leave.
    pub(super) late_dispatches: Vec<AttemptId>,
    pub(super) backend: Backend,
}

/// One run: its processes, pending events and checks.
pub(super) struct World {
    pub(super) settings: Settings,
    pub(super) now: Instant,
    pub(super) rng: rand_pcg::Pcg64Mcg,
    pub(super) queue: EventQueue,
    pub(super) entries: Vec<EntryNode>,
    pub(super) sidecars: Vec<SidecarNode>,
    pub(super) links: Table<u64, Link>,
    pub(super) store: Store,
    pub(super) store_down: bool,
    /// Crashes caused by each fingerprint, as the crash document lists them.
    pub(super) crashed: Table<Fingerprint, u32>,
    pub(super) checks: Checks,
    pub(super) faults: BTreeMap<FaultKind, u64>,
    pub(super) is_traced: bool,
    pub(super) trace: Vec<String>,
}

impl World {
    pub(super) fn new(settings: Settings, seed: u64, is_traced: bool) -> Self {
        let mut world = Self {
            settings,
            now: Instant::ZERO,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            queue: EventQueue::default(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            links: Table::new(),
            store: Store::default(),
            store_down: false,
            crashed: Table::new(),
            checks: Checks::default(),
            faults: BTreeMap::new(),
            is_traced,
            trace: Vec::new(),
        };
        world.add_processes();
        world.schedule_traffic();
        world.schedule_faults();
        world
    }

    pub(super) fn run(&mut self) {
        let end = TRAFFIC_START + TRAFFIC_DURATION + QUIET_PERIOD;
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.checks.check_at_end(self.now);
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
        for (invariant, count) in &self.checks.checked {
            *report.checked.entry(*invariant).or_insert(0) += count;
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
    // Events

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Send(number) => self.on_send(number),
            Event::HangUp(number) => self.on_hang_up(number),
            Event::ToEntry(entry, incarnation, event) => {
                self.deliver_entry(entry, incarnation, *event);
            }
            Event::ToSidecar(runner, incarnation, event) => {
                self.deliver_sidecar(runner, incarnation, *event);
            }
            Event::ToStore(entry, incarnation, call) => {
                self.on_store_call(entry, incarnation, *call);
            }
            Event::LateWrite(call) => drop(self.store.call(*call)),
            Event::ToBackend(runner, incarnation, dispatch) => {
                self.on_backend(runner, incarnation, &dispatch);
            }
            Event::Step(runner, id, serial) => self.on_step(runner, id, serial),
            Event::WakeEntry(entry, incarnation) => {
                self.entries[entry].wake = Instant::NEVER;
                self.tick_entry(entry, incarnation);
            }
            Event::WakeSidecar(runner, incarnation) => {
                self.sidecars[runner].wake = Instant::NEVER;
                self.tick_sidecar(runner, incarnation);
            }
            Event::CrashEntry(entry) => self.crash_entry(entry, FaultKind::EntryCrashed),
            Event::DrainEntry(entry) => self.drain_entry(entry),
            Event::ReplaceEntry(entry, incarnation) => self.replace_entry(entry, incarnation),
            Event::StartEntry(entry) => self.start_entry(entry),
            Event::CrashSidecar(runner) => self.crash_sidecar(runner),
            Event::Leave(runner) => self.on_leave(runner),
            Event::ReplaceSidecar(runner) => self.replace_sidecar(runner),
            Event::CrashEngine(runner) => {
                self.count_fault(FaultKind::EngineCrashed);
                self.checks.injected_crashes += 1;
                self.crash_engine(runner);
            }
            Event::StartEngine(runner, boot) => self.start_engine(runner, boot),
            Event::StoreOutage(down) => self.store_down = down,
            Event::Crashed(fingerprint, crashes) => self.publish_crash_counts(fingerprint, crashes),
        }
    }

    pub(super) fn on_send(&mut self, number: usize) {
        let tracked = self.checks.tracked[number].clone();
        let entry = tracked.call.entry;
        let (request, call) = (tracked.request, tracked.call);
        if self.entries[entry].policy.is_none() {
            self.checks.tracked[number].is_abandoned = true;
            return;
        }
        let pause = self.entries[entry].paused_until.since(self.now);
        self.checks.tracked[number].paused_for += pause;
        self.trace_line(|| format!("caller sends {request} to entry {entry}: {call:?}"));
        if self.inject_fault(FaultKind::CallerGone, 0.03) {
            let at = self.now + self.random_millis(1, 500);
            self.queue.push(at, Event::HangUp(number));
        }
        let unix = time::Duration::from_secs(UNIX_START_SECS) + self.now.since(Instant::ZERO);
        let clock = entry::Event::Clock(unix + self.entries[entry].clock_skew);
        let arrival = call.arrival(request, &self.settings);
        let incarnation = self.entries[entry].incarnation;
        for event in [clock, entry::Event::Arrived(Box::new(arrival))] {
            let event = Event::ToEntry(entry, incarnation, Box::new(event));
            self.queue.push(self.now, event);
        }
    }

    pub(super) fn on_hang_up(&mut self, number: usize) {
        let tracked = &mut self.checks.tracked[number];
        if tracked.ending.is_some() {
            return;
        }
        tracked.is_abandoned = true;
        let (entry, request) = (tracked.call.entry, tracked.request);
        let incarnation = self.entries[entry].incarnation;
        self.deliver_entry(entry, incarnation, entry::Event::CallerGone(request));
    }
}

/// A new sidecar that has read which fingerprints crashed engines.
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
