//! What a run is made of: its parts, its traffic and its faults.

use std::time;

use lentil_types::{BootId, Instant, RequestId, RunnerName, Table};
use rand::RngExt as _;

use super::{
    FaultKind,
    backend::Backend,
    network::What,
    traffic::{self, BEGIN, SPAN, Sending},
    world::{EntryNode, SidecarNode, World, new_sidecar},
};

impl World {
    pub(super) fn build(&mut self) {
        for number in 0..self.settings.engines + self.settings.plains {
            let is_engine = number < self.settings.engines;
            let boot = BootId(1_000 * (number as u64 + 1));
            self.sidecars.push(SidecarNode {
                name: RunnerName::new(&format!("runner-{number}")).expect("a name"),
                policy: new_sidecar(Instant::ZERO, &Table::new()),
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

    pub(super) fn plan_traffic(&mut self) {
        for sending in traffic::sendings(&self.settings, &mut self.rng) {
            self.plan_sending(sending);
        }
    }

    pub(super) fn plan_sending(&mut self, sending: Sending) {
        let request = RequestId(u128::from(self.rng.random::<u64>()));
        let number = self.checks.track(sending, request);
        self.agenda.push(sending.at, What::Send(number));
    }

    pub(super) fn plan_faults(&mut self) {
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

    pub(super) fn fault_time(&mut self) -> Instant {
        let span = SPAN.as_micros() as u64;
        BEGIN + time::Duration::from_micros(self.rng.random_range(0..span))
    }

    pub(super) fn any_entry(&mut self) -> usize {
        self.rng.random_range(0..self.entries.len())
    }

    pub(super) fn any_runner(&mut self) -> usize {
        self.rng.random_range(0..self.sidecars.len())
    }

    pub(super) fn millis(&mut self, from: u64, to: u64) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(from * 1_000..to * 1_000))
    }

    pub(super) fn latency(&mut self) -> time::Duration {
        time::Duration::from_micros(self.rng.random_range(200..3_000))
    }

    /// Whether a fault with this chance happens now. None does once callers
    /// have stopped sending.
    pub(super) fn strikes(&mut self, kind: FaultKind, chance: f64) -> bool {
        let chance = (chance * self.settings.fault_rate).min(1.0);
        let open = self.now < BEGIN + SPAN;
        let strikes = open && chance > 0.0 && self.rng.random_bool(chance);
        if strikes {
            self.note_fault(kind);
        }
        strikes
    }

    pub(super) fn note_fault(&mut self, kind: FaultKind) {
        *self.faults.entry(kind).or_insert(0) += 1;
        self.note(|| format!("FAULT {kind}"));
    }

    pub(super) fn note(&mut self, line: impl FnOnce() -> String) {
        if self.traced {
            let line = format!("{} {}", self.now, line());
            self.trace.push(line);
        }
    }
}
