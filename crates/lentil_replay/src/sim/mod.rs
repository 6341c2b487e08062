//! Replays a trace: entries, sidecars and runner models in one event loop.

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
    report::{SAMPLES_PER_SECOND, Served},
};

/// Seed of a replay's random numbers.
const SEED: u64 = 20_260;
/// How long after the last arrival a replay goes on at most.
const DRAIN: time::Duration = time::Duration::from_secs(600);

/// What is replayed.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// What exists.
    pub market: &'a Config,
    /// What the market is run for.
    pub objective: Objective,
    /// The traffic.
    pub records: &'a [Record],
    /// What happens beside it.
    pub fault: Option<(Instant, Fault)>,
    /// What runners and the network are like.
    pub model: Model,
    /// Who routes.
    pub policy: Policy,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    ToEntry(usize, Box<entry::Event>),
    Wake(usize),
    ToSidecar(usize, Box<sidecar::Event>),
    Step(usize),
    Report(usize),
    Up(usize),
    Fault(Fault),
    Sample,
}

#[derive(Debug)]
struct Due {
    at: Instant,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// An entry and where it is.
struct Entry {
    policy: entry::EntryPolicy,
    place: PlaceName,
    /// Counts restarts. Exchanges of an earlier life are dropped.
    life: u32,
    wake: Instant,
}

/// A runner and its sidecar's surroundings. The sidecar's policy is apart.
struct Runner {
    info: route::RunnerInfo,
    engine: Engine,
    is_engine: bool,
    is_up: bool,
    stepping: bool,
    next_number: u64,
    /// When requests were started.
    starts: Vec<Instant>,
    /// When the last event sent reaches the sidecar.
    last_event: Instant,
}

/// An exchange between an entry and a sidecar.
#[derive(Clone, Copy)]
struct Link {
    entry: usize,
    life: u32,
    runner: usize,
}

/// A request that waits at a sidecar.
#[derive(Clone)]
struct Waiting {
    runner: usize,
    team: TeamName,
    class: Class,
    since: Instant,
    /// Requests of its team that waited there before it.
    ahead: usize,
}

/// What a caller waits for.
struct Call {
    record: usize,
    came: Instant,
    entry: usize,
    first_token: bool,
}

struct Sim<'a> {
    setup: Setup<'a>,
    now: Instant,
    due: BinaryHeap<Due>,
    number: u64,
    rng: rand_pcg::Pcg64Mcg,
    entries: Vec<Entry>,
    runners: Vec<Runner>,
    names: Table<RunnerName, usize>,
    sidecars: Sidecars,
    links: Vec<Link>,
    calls: Table<RequestId, Call>,
    waiting: Table<AttemptId, Waiting>,
    keeper: Keeper,
    report: Report,
    next_boot: u64,
    next_request: u128,
}

/// Replays a trace and reports what was measured.
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
            due: BinaryHeap::new(),
            number: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(SEED),
            entries: Vec::new(),
            runners: Vec::new(),
            names: Table::new(),
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
            let places = &self.setup.market.places;
            let place = places[i % places.len()].name.clone();
            let entry = self.new_entry(place, 0);
            self.entries.push(entry);
        }
        for i in 0..self.setup.records.len() {
            self.at(self.setup.records[i].at, Event::Arrive(i));
        }
        if let Some((at, fault)) = self.setup.fault {
            self.at(at, Event::Fault(fault));
        }
        self.at(Instant::ZERO, Event::Sample);
    }

    fn add_runners(&mut self) {
        let market = self.setup.market;
        let shares = market.shares();
        let served = market
            .services
            .iter()
            .filter(|service| service.kind != ServiceKind::KvKeeper);
        for service in served {
            for runner in &service.runners {
                let queue = Box::new(queue::FairQueue::new(queue::FairSettings::default()));
                let mut policy = sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue);
                let event = sidecar::Event::Shares(shares.clone());
                policy.on_event(Instant::ZERO, event);
                let at = self.runners.len();
                self.names.insert(runner.name.clone(), at);
                self.lock(|sidecars| sidecars.insert(runner.name.clone(), policy));
                self.runners.push(Runner {
                    info: route::RunnerInfo {
                        name: runner.name.clone(),
                        service: service.name.clone(),
                        place: runner.place.clone(),
                    },
                    engine: Engine::new(self.setup.model, BootId(0)),
                    is_engine: service.kind == ServiceKind::Engine,
                    is_up: false,
                    stepping: false,
                    next_number: 1,
                    starts: Vec::new(),
                    last_event: Instant::ZERO,
                });
                self.engine_up(at);
                self.after(self.setup.model.load_period, Event::Report(at));
            }
        }
    }

    fn new_entry(&self, place: PlaceName, life: u32) -> Entry {
        let router =
            self.setup
                .policy
                .router(self.setup.objective, Some(place.clone()), &self.sidecars);
        let mut policy = entry::EntryPolicy::new(entry::Settings::default(), router);
        let infos = self
            .runners
            .iter()
            .map(|runner| runner.info.clone())
            .collect();
        policy.on_event(self.now, entry::Event::Runners(infos));
        Entry {
            policy,
            place,
            life,
            wake: Instant::NEVER,
        }
    }

    fn run(&mut self) {
        let last = self
            .setup
            .records
            .last()
            .map_or(Instant::ZERO, |record| record.at);
        while let Some(due) = self.due.pop() {
            self.now = due.at;
            let is_idle = self.now > last && self.calls.is_empty();
            if is_idle || self.now > last + DRAIN {
                break;
            }
            self.handle(due.event);
        }
        let lost: Vec<_> = self.calls.values().map(|call| call.record).collect();
        for record in lost {
            let class = self.setup.records[record].class;
            self.report.lost[class as usize] += 1;
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(record) => self.arrive(record),
            Event::ToEntry(entry, event) => {
                self.entries[entry].policy.on_event(self.now, *event);
                self.tick_entry(entry);
            }
            Event::Wake(entry) => {
                self.entries[entry].wake = Instant::NEVER;
                self.tick_entry(entry);
            }
            Event::ToSidecar(runner, event) => self.tell_sidecar(runner, *event),
            Event::Step(runner) => self.step(runner),
            Event::Report(runner) => self.report_load(runner),
            Event::Up(runner) => self.engine_up(runner),
            Event::Fault(Fault::Crash) => self.crash(),
            Event::Fault(Fault::Herd) => self.restart_entries(),
            Event::Sample => self.sample(),
        }
    }

    // ------------------------------------------------------------------------
    // Time

    fn at(&mut self, at: Instant, event: Event) {
        self.number += 1;
        let number = self.number;
        self.due.push(Due { at, number, event });
    }

    fn after(&mut self, delay: time::Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    // ------------------------------------------------------------------------
    // Measurement

    fn sample(&mut self) {
        let mut rows = Vec::new();
        for at in 0..self.runners.len() {
            let served = std::mem::take(&mut self.runners[at].engine.served);
            let row = self.setup.market.teams.iter().map(|team| {
                let waits = |wait: &Waiting| wait.runner == at && wait.team == team.name;
                let tokens = served.get(&team.name).copied().unwrap_or_default();
                Served {
                    tokens: tokens / f64::from(team.weight),
                    waits: self.waiting.values().any(waits),
                }
            });
            rows.push(row.collect());
        }
        self.report.on_sample(self.now, rows);
        let period = time::Duration::from_millis(1_000 / SAMPLES_PER_SECOND);
        self.after(period, Event::Sample);
    }
}
