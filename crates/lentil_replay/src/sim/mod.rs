//! Discrete-event simulation that replays a trace through entries, sidecars and
//! runner models.

mod entries;
mod runners;
mod sidecars;

use std::{cmp, collections::BinaryHeap, time};

use lentil_config::{Config, Objective, ServiceKind};
use lentil_policy::{entry, queue, route, sidecar};
use lentil_trace::Record;
use lentil_types::{
    AttemptId, BootId, Class, Instant, PlaceName, RequestId, RunnerName, Table, TeamName,
};
use rand::SeedableRng as _;

use crate::{
    Fault, Model, Policy, Report,
    baseline::Sidecars,
    engine::Engine,
    keeper::Keeper,
    report::{SAMPLES_PER_SECOND, TeamSample},
};

/// Seed of a replay's random numbers.
const SEED: u64 = 20_260;
/// Longest time that a replay continues after the last arrival.
const MAX_DRAIN: time::Duration = time::Duration::from_secs(600);

/// Input of a replay.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// The configuration of the region.
    pub config: &'a Config,
    /// Objective of the routers, instead of the configuration's.
    pub objective: Objective,
    /// The traffic, in order of time.
    pub records: &'a [Record],
    /// A fault to inject and its time.
    pub fault: Option<(Instant, Fault)>,
    /// Parameters of the runners and the network.
    pub model: Model,
    /// The routing policy of the entries.
    pub policy: Policy,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    ToEntry(usize, Box<entry::Event>),
    Wake(usize),
    ToSidecar(usize, Box<sidecar::Event>),
    Step(usize),
    Report(usize),
    EngineUp(usize),
    Fault(Fault),
    Sample,
}

#[derive(Debug)]
struct Scheduled {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Entry {
    policy: entry::EntryPolicy,
    place: PlaceName,
    /// Counts restarts. Messages to an earlier one are dropped.
    incarnation: u32,
    wake: Instant,
}

/// A runner. The policy of its sidecar is in [`Sim::sidecars`].
struct Runner {
    info: route::RunnerInfo,
    engine: Engine,
    is_engine: bool,
    is_up: bool,
    is_stepping: bool,
    next_event: u64,
    /// Times at which waiting requests were started.
    start_times: Vec<Instant>,
    /// When the last cache event sent reaches the sidecar.
    last_delivery: Instant,
}

/// A connection between an entry and a sidecar.
#[derive(Clone, Copy)]
struct Link {
    entry: usize,
    incarnation: u32,
    runner: usize,
}

/// A request in a sidecar's queue.
#[derive(Clone)]
struct Waiting {
    runner: usize,
    team: TeamName,
    class: Class,
    since: Instant,
    /// Requests of its team queued there before it.
    queued_before: usize,
}

struct PendingCall {
    record: usize,
    arrived_at: Instant,
    entry: usize,
    has_token: bool,
}

struct Sim<'a> {
    setup: Setup<'a>,
    now: Instant,
    queue: BinaryHeap<Scheduled>,
    scheduled_count: u64,
    rng: rand_pcg::Pcg64Mcg,
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    by_name: Table<RunnerName, usize>,
    sidecars: Sidecars,
    links: Vec<Link>,
    calls: Table<RequestId, PendingCall>,
    waiting: Table<AttemptId, Waiting>,
    keeper: Keeper,
    report: Report,
    next_boot: u64,
    next_request: u128,
}

/// Replays a trace and returns the measurements.
pub fn run(setup: Setup<'_>) -> Report {
    let mut sim = Sim::new(setup);
    sim.start();
    sim.run();
    sim.report
}

impl<'a> Sim<'a> {
    fn new(setup: Setup<'a>) -> Self {
        let model = setup.policy.model(setup.model);
        Self {
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(SEED),
            entries: Vec::new(),
            runners: Vec::new(),
            by_name: Table::new(),
            sidecars: Sidecars::default(),
            links: Vec::new(),
            calls: Table::new(),
            waiting: Table::new(),
            keeper: Keeper::new(model.keeper_capacity),
            report: Report::default(),
            next_boot: 1,
            next_request: 1,
            setup: Setup { model, ..setup },
        }
    }

    fn start(&mut self) {
        self.add_runners();
        for i in 0..self.setup.model.entries {
            let places = &self.setup.config.places;
            let place = places[i % places.len()].name.clone();
            let entry = self.new_entry(place, 0);
            self.entries.push(entry);
        }
        for i in 0..self.setup.records.len() {
            self.schedule_at(self.setup.records[i].at, Event::Arrival(i));
        }
        if let Some((at, fault)) = self.setup.fault {
            self.schedule_at(at, Event::Fault(fault));
        }
        self.schedule_at(Instant::ZERO, Event::Sample);
    }

    fn add_runners(&mut self) {
        let config = self.setup.config;
        let shares = config.shares();
        let served = config
            .services
            .iter()
            .filter(|service| service.kind != ServiceKind::KvKeeper);
        for service in served {
            for runner in &service.runners {
                let queue = Box::new(queue::FairQueue::new(queue::FairSettings::default()));
                let mut policy = sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue);
                let event = sidecar::Event::Shares(shares.clone());
                policy.on_event(Instant::ZERO, event);
                let index = self.runners.len();
                self.by_name.insert(runner.name.clone(), index);
                self.with_sidecars(|sidecars| sidecars.insert(runner.name.clone(), policy));
                self.runners.push(Runner {
                    info: route::RunnerInfo {
                        name: runner.name.clone(),
                        service: service.name.clone(),
                        place: runner.place.clone(),
                    },
                    engine: Engine::new(self.setup.model, BootId(0)),
                    is_engine: service.kind == ServiceKind::Engine,
                    is_up: false,
                    is_stepping: false,
                    next_event: 1,
                    start_times: Vec::new(),
                    last_delivery: Instant::ZERO,
                });
                self.engine_up(index);
                self.schedule_after(self.setup.model.load_period, Event::Report(index));
            }
        }
    }

    fn new_entry(&self, place: PlaceName, incarnation: u32) -> Entry {
        let routing =
            self.setup
                .policy
                .router(self.setup.objective, Some(place.clone()), &self.sidecars);
        let mut policy = entry::EntryPolicy::new(entry::Settings::default(), routing);
        let infos = self
            .runners
            .iter()
            .map(|runner| runner.info.clone())
            .collect();
        policy.on_event(self.now, entry::Event::Runners(infos));
        Entry {
            policy,
            place,
            incarnation,
            wake: Instant::NEVER,
        }
    }

    fn run(&mut self) {
        let last = self
            .setup
            .records
            .last()
            .map_or(Instant::ZERO, |record| record.at);
        while let Some(scheduled) = self.queue.pop() {
            self.now = scheduled.at;
            let is_idle = self.now > last && self.calls.is_empty();
            if is_idle || self.now > last + MAX_DRAIN {
                break;
            }
            self.handle(scheduled.event);
        }
        let lost: Vec<_> = self.calls.values().map(|call| call.record).collect();
        for record in lost {
            let class = self.setup.records[record].class;
            self.report.lost[class as usize] += 1;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(record) => self.on_arrival(record),
            Event::ToEntry(entry, event) => {
                self.entries[entry].policy.on_event(self.now, *event);
                self.tick_entry(entry);
            }
            Event::Wake(entry) => {
                self.entries[entry].wake = Instant::NEVER;
                self.tick_entry(entry);
            }
            Event::ToSidecar(runner, event) => self.deliver_sidecar(runner, *event),
            Event::Step(runner) => self.step(runner),
            Event::Report(runner) => self.report_load(runner),
            Event::EngineUp(runner) => self.engine_up(runner),
            Event::Fault(Fault::Crash) => self.crash_engine(),
            Event::Fault(Fault::Herd) => self.restart_entries(),
            Event::Sample => self.sample(),
        }
    }

    // ------------------------------------------------------------------------
    // Time

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.scheduled_count += 1;
        let order = self.scheduled_count;
        self.queue.push(Scheduled { at, order, event });
    }

    fn schedule_after(&mut self, delay: time::Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    // ------------------------------------------------------------------------
    // Measurement

    fn sample(&mut self) {
        let mut rows = Vec::new();
        for runner in 0..self.runners.len() {
            let served = std::mem::take(&mut self.runners[runner].engine.served);
            let row = self.setup.config.teams.iter().map(|team| {
                let waits = |wait: &Waiting| wait.runner == runner && wait.team == team.name;
                let tokens = served.get(&team.name).copied().unwrap_or_default();
                TeamSample {
                    weighted_tokens: tokens / f64::from(team.weight),
                    is_waiting: self.waiting.values().any(waits),
                }
            });
            rows.push(row.collect());
        }
        self.report.on_sample(self.now, rows);
        let period = time::Duration::from_millis(1_000 / SAMPLES_PER_SECOND);
        self.schedule_after(period, Event::Sample);
    }
}
