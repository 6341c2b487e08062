//! Replays a trace: entries, sidecars and runner models in one event loop.

use std::{cmp, collections::BinaryHeap, sync, time};

use lentil_config::{Market, Objective, ServiceKind};
use lentil_policy::{entry, protocol, queue, route, sidecar};
use lentil_trace::Record;
use lentil_types::{
    AttemptId, BootId, Class, Fingerprint, Instant, PieceHash, PlaceName, RequestId, RunnerName,
    ServiceName, Table, TeamName, WeightsVersion,
};
use rand::{RngExt as _, SeedableRng as _};

use crate::{
    Fault, Model, Policy, Report,
    baseline::Sidecars,
    engine::{Action, Engine, plain_output},
    keeper::Keeper,
    report::{SAMPLES_PER_SECOND, Served, WARM_UP},
};

/// Seed of a replay's random numbers.
const SEED: u64 = 20_260;
/// How long after the last arrival a replay goes on at most.
const DRAIN: time::Duration = time::Duration::from_secs(600);

/// What is replayed.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// What exists.
    pub market: &'a Market,
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
    // Callers

    fn arrive(&mut self, record: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let class = self.setup.records[record].class;
        self.report.requests[class as usize] += 1;
        self.call(record, entry);
    }

    fn call(&mut self, record: usize, entry: usize) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let arrival = self.arrival(request, &self.setup.records[record]);
        let call = Call {
            record,
            came: self.now,
            entry,
            first_token: false,
        };
        self.calls.insert(request, call);
        let event = entry::Event::Arrived(Box::new(arrival));
        self.entries[entry].policy.on_event(self.now, event);
        self.tick_entry(entry);
    }

    /// A recorded request as an entry's shell would report it. Calls that may
    /// not be repeated are replayed as if they might: the replay has no store.
    fn arrival(&self, request: RequestId, record: &Record) -> entry::Arrival {
        let model = record.model.as_ref();
        let weights = model.and_then(|model| self.setup.market.model(model));
        let work = protocol::Work {
            service: record.service.clone(),
            model: record.model.clone(),
            team: record.team.clone(),
            class: record.class,
            weights: weights.map_or(WeightsVersion(0), |model| model.weights),
            pieces: sync::Arc::from(record.pieces.as_slice()),
            prompt: record.prompt,
            output: record.output,
        };
        entry::Arrival {
            request,
            work,
            call: protocol::HttpCall::default(),
            deadline: self.now + self.setup.model.budget(record.class),
            once: false,
            key: None,
            fingerprint: Fingerprint(request.0 as u64),
        }
    }

    fn finish(&mut self, request: RequestId, ending: entry::Ending) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        let class = self.setup.records[call.record].class;
        if matches!(ending, entry::Ending::Failed { .. }) {
            self.report.refused[class as usize] += 1;
        }
    }

    fn on_piece(&mut self, request: RequestId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !std::mem::replace(&mut call.first_token, true) && call.came >= WARM_UP {
            let micros = now.since(call.came).as_micros() as u64;
            let class = self.setup.records[call.record].class;
            self.report.on_first_token(class, micros);
        }
    }

    // ------------------------------------------------------------------------
    // Entries

    fn tick_entry(&mut self, entry: usize) {
        let commands = self.entries[entry].policy.tick(self.now, &mut self.rng);
        for command in commands {
            self.carry_out_entry(entry, command);
        }
        let wake = self.entries[entry].policy.next_wake();
        if wake < self.entries[entry].wake {
            self.entries[entry].wake = wake;
            self.at(wake, Event::Wake(entry));
        }
    }

    fn carry_out_entry(&mut self, entry: usize, command: entry::Command) {
        match command {
            entry::Command::Offer(runner, offer) => {
                let link = self.open(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Offer(link, offer));
            }
            entry::Command::Dispatch(runner, dispatch) => {
                let link = self.open(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Dispatch(link, dispatch));
            }
            entry::Command::Cancel(runner, id) => {
                let link = self.open(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Cancel(id));
            }
            entry::Command::Withdraw(runner, id) => {
                let link = self.open(entry, &runner);
                self.send_sidecar(link, sidecar::Event::Withdraw(link, id));
            }
            entry::Command::Emit { request, .. } => self.on_piece(request),
            entry::Command::Finish { request, ending } => self.finish(request, ending),
            _ => {}
        }
    }

    fn restart_entries(&mut self) {
        for i in 0..self.entries.len() {
            let life = self.entries[i].life + 1;
            self.entries[i] = self.new_entry(self.entries[i].place.clone(), life);
        }
        for runner in 0..self.runners.len() {
            let links = self.links.iter().enumerate();
            let of_runner = links.filter(|(_, link)| link.runner == runner);
            let lost = |(i, _)| sidecar::Event::LinkLost(sidecar::LinkId(i as u64));
            let events = of_runner.map(lost).collect();
            self.tell_sidecar_all(runner, events);
        }
        self.waiting = Table::new();
        let calls: Vec<_> = self
            .calls
            .iter()
            .map(|(id, call)| (*id, call.record, call.entry))
            .collect();
        for (request, record, entry) in calls {
            self.calls.remove(&request);
            self.call(record, entry);
        }
    }

    // ------------------------------------------------------------------------
    // Messages

    fn open(&mut self, entry: usize, runner: &RunnerName) -> sidecar::LinkId {
        let life = self.entries[entry].life;
        let runner = self.names.get(runner).copied().unwrap_or_default();
        self.links.push(Link {
            entry,
            life,
            runner,
        });
        sidecar::LinkId(self.links.len() as u64 - 1)
    }

    fn delay(&self, link: &Link) -> time::Duration {
        let is_near = self.entries[link.entry].place == self.runners[link.runner].info.place;
        let model = &self.setup.model;
        if is_near { model.near } else { model.far }
    }

    fn send_sidecar(&mut self, link: sidecar::LinkId, event: sidecar::Event) {
        self.report.messages += 1;
        let link = self.links[link.0 as usize];
        let event = Event::ToSidecar(link.runner, Box::new(event));
        self.after(self.delay(&link), event);
    }

    fn send_entry(
        &mut self,
        link: sidecar::LinkId,
        event: impl FnOnce(RunnerName) -> entry::Event,
    ) {
        let link = self.links[link.0 as usize];
        if self.entries[link.entry].life != link.life {
            return;
        }
        let name = self.runners[link.runner].info.name.clone();
        let event = Event::ToEntry(link.entry, Box::new(event(name)));
        self.after(self.delay(&link), event);
    }

    // ------------------------------------------------------------------------
    // Sidecars

    fn lock<T>(&self, work: impl FnOnce(&mut Table<RunnerName, sidecar::SidecarPolicy>) -> T) -> T {
        let mut sidecars = self
            .sidecars
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        work(&mut sidecars)
    }

    fn tell_sidecar(&mut self, runner: usize, event: sidecar::Event) {
        if let sidecar::Event::Dispatch(_, dispatch) = &event {
            self.on_dispatch(runner, dispatch);
        }
        self.tell_sidecar_all(runner, vec![event]);
    }

    /// Reports events that come together.
    fn tell_sidecar_all(&mut self, runner: usize, events: Vec<sidecar::Event>) {
        let now = self.now;
        let name = self.runners[runner].info.name.clone();
        let commands = self.lock(|sidecars| {
            let policy = sidecars.get_mut(&name)?;
            for event in events {
                policy.on_event(now, event);
            }
            Some(policy.tick(now))
        });
        for command in commands.unwrap_or_default() {
            self.carry_out_sidecar(runner, command);
        }
    }

    fn on_dispatch(&mut self, runner: usize, dispatch: &protocol::Dispatch) {
        let work = &dispatch.offer.work;
        let same = |wait: &&Waiting| wait.runner == runner && wait.team == work.team;
        let waiting = Waiting {
            runner,
            team: work.team.clone(),
            class: work.class,
            since: self.now,
            ahead: self.waiting.values().filter(same).count(),
        };
        self.waiting.insert(dispatch.offer.id, waiting);
    }

    fn carry_out_sidecar(&mut self, runner: usize, command: sidecar::Command) {
        use sidecar::Command;
        match command {
            Command::Bid(link, bid) => {
                self.report.messages += 1;
                self.send_entry(link, |runner| {
                    entry::Event::Bid(route::RunnerBid { runner, bid })
                });
            }
            Command::Run(dispatch) => self.start_request(runner, &dispatch),
            Command::Stop(id) => self.runners[runner].engine.stop(id),
            Command::Started(link, started) => {
                self.send_entry(link, |runner| entry::Event::Started(runner, started));
            }
            Command::Piece(link, piece) => {
                self.send_entry(link, |runner| entry::Event::Piece(runner, piece));
            }
            Command::End(link, end) => {
                self.report.messages += 1;
                self.send_entry(link, |runner| entry::Event::Ended(runner, end));
            }
            Command::Fail(link, failed) => {
                self.report.messages += 1;
                self.waiting.remove(&failed.id);
                self.send_entry(link, |runner| entry::Event::Failed(runner, failed));
            }
            Command::Withdrawn(link, withdrawn) => {
                self.waiting.remove(&withdrawn.id);
                self.send_entry(link, |runner| entry::Event::Withdrawn(runner, withdrawn));
            }
            Command::ListCache => {
                let pieces = self.runners[runner].engine.list();
                self.cache_event(runner, sidecar::CacheChange::Listed(pieces));
            }
            _ => {}
        }
    }

    // ------------------------------------------------------------------------
    // Runners

    fn start_request(&mut self, runner: usize, dispatch: &protocol::Dispatch) {
        let id = dispatch.offer.id;
        let work = &dispatch.offer.work;
        if let Some(waiting) = self.waiting.remove(&id) {
            self.on_waited(&waiting);
        }
        if !self.runners[runner].is_up {
            let fault = sidecar::EngineFault::Unreachable;
            self.tell_sidecar(runner, sidecar::Event::EngineFailed { id, fault });
            return;
        }
        let is_engine = self.runners[runner].is_engine;
        let output = if is_engine {
            work.output
        } else {
            plain_output(&self.setup.model)
        };
        let at = &mut self.runners[runner];
        if dispatch.boot.is_some_and(|boot| boot != at.engine.boot) {
            self.report.stale += 1;
        }
        let found = at
            .engine
            .start(self.now, id, work, output, &mut self.keeper);
        let computed = &work.pieces[(found.cached + found.imported) as usize..];
        let wasted = computed.iter().filter(|piece| self.is_held(piece)).count();
        self.report.on_found(self.now, found, wasted as u64);
        self.wake_runner(runner);
    }

    fn on_waited(&mut self, waiting: &Waiting) {
        let now = self.now;
        let waited = now.since(waiting.since);
        self.report
            .on_wait(waiting.class, waited.as_micros() as u64);
        let overdue = waiting.since + queue::FairSettings::default().ageing * 2;
        let starts = &mut self.runners[waiting.runner].starts;
        starts.push(now);
        let overtaken = starts
            .iter()
            .filter(|at| **at > overdue && **at < now)
            .count();
        // Every second start is an overdue one, and teams take turns in those.
        let allowed = 2 * self.setup.market.teams.len() * (waiting.ahead + 1);
        self.report.starved += u64::from(overtaken > allowed);
    }

    fn is_held(&self, piece: &PieceHash) -> bool {
        let at_runner = |runner: &Runner| runner.is_up && runner.engine.has(piece);
        self.keeper.has(piece) || self.runners.iter().any(at_runner)
    }

    fn wake_runner(&mut self, runner: usize) {
        if !std::mem::replace(&mut self.runners[runner].stepping, true) {
            self.after(self.setup.model.step, Event::Step(runner));
        }
    }

    fn step(&mut self, runner: usize) {
        let at = &mut self.runners[runner];
        at.stepping = false;
        let actions = at.engine.step(self.now, &mut self.keeper);
        if at.engine.running() > 0 {
            self.wake_runner(runner);
        }
        for action in actions {
            self.act(runner, action);
        }
    }

    fn act(&mut self, runner: usize, action: Action) {
        match action {
            Action::Started(id, cached) => {
                let started = sidecar::Event::Started {
                    id,
                    cached,
                    status: 200,
                    headers: Vec::new(),
                };
                self.tell_sidecar(runner, started);
                let piece = sidecar::Event::Piece {
                    id,
                    offset: 0,
                    text: String::new(),
                    data: Vec::new(),
                };
                self.tell_sidecar(runner, piece);
            }
            Action::Ended(id, [prompt, cached, output]) => {
                let usage = protocol::Usage {
                    prompt,
                    cached,
                    output,
                };
                self.tell_sidecar(runner, sidecar::Event::Ended { id, usage });
            }
            Action::Stored(pieces) => {
                self.cache_event(runner, sidecar::CacheChange::Stored(pieces));
            }
            Action::Evicted(pieces) => {
                self.cache_event(runner, sidecar::CacheChange::Evicted(pieces));
            }
        }
    }

    fn cache_event(&mut self, runner: usize, change: sidecar::CacheChange) {
        let model = self.setup.model;
        let at = &mut self.runners[runner];
        let event = sidecar::CacheEvent {
            boot: at.engine.boot,
            number: at.next_number,
            change,
        };
        at.next_number += 1;
        if self.rng.random_bool(model.event_loss) {
            return;
        }
        let [least, most] = model.event_lag;
        let lag = least + (most - least).mul_f64(self.rng.random());
        let at = (self.now + lag).max(self.runners[runner].last_event);
        self.runners[runner].last_event = at;
        let event = Event::ToSidecar(runner, Box::new(sidecar::Event::Cache(event)));
        self.at(at, event);
    }

    fn report_load(&mut self, runner: usize) {
        let model = self.setup.model;
        let engine = &self.runners[runner].engine;
        let load = sidecar::Event::EngineLoad {
            running: engine.running() as u32,
            backlog: engine.backlog(),
        };
        self.after(model.load_lag, Event::ToSidecar(runner, Box::new(load)));
        self.after(model.load_period, Event::Report(runner));
    }

    fn engine_up(&mut self, runner: usize) {
        let boot = BootId(self.next_boot);
        self.next_boot += 1;
        let at = &mut self.runners[runner];
        at.engine = Engine::new(self.setup.model, boot);
        at.next_number = 1;
        at.is_up = true;
        let weights = if at.is_engine {
            self.weights_of(runner)
        } else {
            WeightsVersion(0)
        };
        self.tell_sidecar(runner, sidecar::Event::EngineUp { boot, weights });
    }

    fn weights_of(&self, runner: usize) -> WeightsVersion {
        let service: &ServiceName = &self.runners[runner].info.service;
        let mut models = self.setup.market.models.iter();
        let model = models.find(|model| model.service == *service);
        model.map_or(WeightsVersion(1), |model| model.weights)
    }

    /// Crashes the engine with the most requests.
    fn crash(&mut self) {
        let engines = self
            .runners
            .iter()
            .enumerate()
            .filter(|(_, runner)| runner.is_engine);
        let Some((runner, _)) = engines.max_by_key(|(_, runner)| runner.engine.running()) else {
            return;
        };
        let at = &mut self.runners[runner];
        at.is_up = false;
        let cut = at.engine.crash(BootId(0));
        self.tell_sidecar(runner, sidecar::Event::EngineDown);
        for id in cut {
            let fault = sidecar::EngineFault::BrokeOff;
            self.tell_sidecar(runner, sidecar::Event::EngineFailed { id, fault });
        }
        self.after(self.setup.model.restart, Event::Up(runner));
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
