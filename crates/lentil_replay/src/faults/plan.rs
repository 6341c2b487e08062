//! Builds the processes, traffic and faults of a run.

use std::time;

use lentil_types::{BootId, Instant, RequestId, RunnerName, Table};
use rand::RngExt as _;

use super::{
    FaultKind,
    backend::Backend,
    events::Event,
    traffic::{self, CallerRequest, TRAFFIC_DURATION, TRAFFIC_START},
    world::{EntryNode, SidecarNode, World, new_sidecar},
};

impl World {
    pub(super) fn add_processes(&mut self) {
        for number in 0..self.settings.engines + self.settings.plain_servers {
            let is_engine = number < self.settings.engines;
            let boot = BootId(1_000 * (number as u64 + 1));
            self.sidecars.push(SidecarNode {
                name: RunnerName::new(&format!("runner-{number}")).expect("a name"),
                policy: new_sidecar(Instant::ZERO, &Table::new()),
                incarnation: 0,
                wake: Instant::NEVER,
                leave_requested: false,
                late_dispatches: Vec::new(),
                backend: Backend::new(is_engine, boot),
            });
            self.schedule_engine_up(number, time::Duration::ZERO);
        }
        for number in 0..self.settings.entries {
            let clock_skew = time::Duration::from_millis(self.rng.random_range(0..10_000));
            self.entries.push(EntryNode {
                policy: None,
                incarnation: 0,
                paused_until: Instant::ZERO,
                wake: Instant::NEVER,
                clock_skew,
            });
            self.queue.push(Instant::ZERO, Event::StartEntry(number));
        }
    }

    pub(super) fn schedule_traffic(&mut self) {
        for call in traffic::generate(&self.settings, &mut self.rng) {
            self.schedule_request(call);
        }
    }

    pub(super) fn schedule_request(&mut self, call: CallerRequest) {
        let request = RequestId(u128::from(self.rng.random::<u64>()));
        let number = self.checks.track(call, request);
        self.queue.push(call.at, Event::Send(number));
    }

    pub(super) fn schedule_faults(&mut self) {
        let random_count = |world: &mut Self, max: u32| {
            let max = f64::from(max) * world.settings.fault_rate;
            world.rng.random_range(0..=max.round() as u32)
        };
        for _ in 0..random_count(self, 2) {
            let (at, entry) = (self.random_fault_time(), self.random_entry());
            self.queue.push(at, Event::CrashEntry(entry));
        }
        for _ in 0..random_count(self, 1) {
            let (at, entry) = (self.random_fault_time(), self.random_entry());
            self.queue.push(at, Event::DrainEntry(entry));
        }
        for _ in 0..random_count(self, 2) {
            let (at, runner) = (self.random_fault_time(), self.random_runner());
            self.queue.push(at, Event::CrashSidecar(runner));
        }
        for _ in 0..random_count(self, 1) {
            let (at, runner) = (self.random_fault_time(), self.random_runner());
            self.queue.push(at, Event::Leave(runner));
            let back = at + time::Duration::from_secs(5);
            self.queue.push(back, Event::ReplaceSidecar(runner));
        }
        for _ in 0..random_count(self, 3) {
            let (at, runner) = (self.random_fault_time(), self.random_runner());
            self.queue.push(at, Event::CrashEngine(runner));
        }
        for _ in 0..random_count(self, 2) {
            let at = self.random_fault_time();
            let span = self.random_millis(200, 4_000);
            self.queue.push(at, Event::StoreOutage(true));
            self.queue.push(at + span, Event::StoreOutage(false));
        }
    }

    pub(super) fn random_fault_time(&mut self) -> Instant {
        let span = TRAFFIC_DURATION.as_micros() as u64;
        TRAFFIC_START + time::Duration::from_micros(self.rng.random_range(0..span))
    }

    pub(super) fn random_entry(&mut self) -> usize {
        self.rng.random_range(0..self.entries.len())
    }

    pub(super) fn random_runner(&mut self) -> usize {
        self.rng.random_range(0..self.sidecars.len())
    }

    pub(super) fn random_millis(&mut self, from: u64, to: u64) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(from * 1_000..to * 1_000))
    }

    pub(super) fn random_latency(&mut self) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(200..3_000))
    }

    /// Draws and counts a fault. There are none after callers have stopped
    /// sending.
    pub(super) fn inject_fault(&mut self, kind: FaultKind, probability: f64) -> bool {
        let probability = (probability * self.settings.fault_rate).min(1.0);
        let in_traffic = self.now < TRAFFIC_START + TRAFFIC_DURATION;
        let is_injected = in_traffic && probability > 0.0 && self.rng.random_bool(probability);
        if is_injected {
            self.count_fault(kind);
        }
        is_injected
    }

    pub(super) fn count_fault(&mut self, kind: FaultKind) {
        *self.faults.entry(kind).or_insert(0) += 1;
        self.trace_line(|| format!("FAULT {kind}"));
    }

    pub(super) fn trace_line(&mut self, line: impl FnOnce() -> String) {
        if self.is_traced {
            let line = format!("{} {}", self.now, line());
            self.trace.push(line);
        }
    }
}
