//! Runners of different speeds, under the mix of long and short prompts of an uneven
//! deployment, without a network: several routers place with [`placement::choose`], by
//! statuses that are 0.3 s old.

use std::{collections::VecDeque, time};

use lentil_policy::forward::{
    pace,
    placement::{self, Choice, Context, Refusal, Requirements},
    runners::{
        self, CacheGroup, Incarnation, Registration, RequestCost, Runners, SegmentId, Status,
    },
};
use lentil_types::{
    Instant, ModelName, PlaceName, ServiceName, SoftwareVersion, Tokens, WeightsVersion,
};
use rand::{Rng, RngExt as _, SeedableRng as _};

const SEEDS: u64 = 4;
const RUNNERS: usize = 24;
const ROUTERS: usize = 6;
/// Time that is simulated, and the part of it at the start that is not counted, in ms.
const DURATION: u64 = 24_000;
const WARM_UP: u64 = 8_000;
const STATUS_AGE: u64 = 300;
/// Time that a runner needs at mean speed per prompt and per thousand tokens, in ms.
const BASE_MS: f64 = 2.0;
const MS_PER_THOUSAND: f64 = 20.0;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Share of the time that a runner is slowed, by how much, and for how long.
const SLOWED: (f64, f64, u64) = (0.15, 2.5, 600);
/// Tokens, objective and time allowed in ms, time that its answer runs on, and share of
/// the arrivals.
const KINDS: [(u64, u64, u64, u64, f64); 2] = [
    (17_020, 800, 8_000, 900, 65.2 / 797.2),
    (383, 500, 4_000, 400, 732.0 / 797.2),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Learned,
    Before,
    LeastLoaded,
    TwoChoices,
}

#[derive(Clone, Copy)]
struct Job {
    kind: usize,
    arrived: u64,
    sent_at: Instant,
    router: usize,
    cost: RequestCost,
    speed: Option<placement::ExpectedSpeed>,
    remaining: f64,
}

struct Engine {
    speed: f64,
    slowed: f64,
    queue: VecDeque<Job>,
    /// When answers that run on end.
    answering: Vec<u64>,
}

impl Engine {
    fn step(&mut self, now: u64, rng: &mut dyn Rng) -> Option<Job> {
        let (share, factor, span) = SLOWED;
        if now.is_multiple_of(span) {
            self.slowed = if rng.random::<f64>() < share {
                factor
            } else {
                1.0
            };
        }
        self.answering.retain(|end| *end > now);
        let first = self.queue.front_mut()?;
        first.remaining -= self.speed / self.slowed;
        if first.remaining > 0.0 {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.answering.push(now + KINDS[job.kind].3);
        Some(job)
    }

    fn status(&self) -> Status {
        let long = self.queue.iter().filter(|job| job.kind == 0);
        let backlog: f64 = long.map(|job| job.remaining * 1e3 / MS_PER_THOUSAND).sum();
        Status {
            weights: vec![(model(), WeightsVersion(1))],
            running: (self.queue.len() + self.answering.len()) as u32,
            backlog: Tokens(backlog as u64),
            ..Status::default()
        }
    }
}

fn model() -> ModelName {
    "model".parse().unwrap()
}

fn incarnation(number: usize) -> Incarnation {
    let name = format!("r{number}").parse().unwrap();
    Incarnation { name, boot_id: 1 }
}

fn place(number: usize) -> PlaceName {
    ["north", "south"][number % 2].parse().unwrap()
}

struct Router {
    runners: Runners,
    service: ServiceName,
    place: PlaceName,
    /// Long prompts that wait for room: kind and arrival.
    waiting: VecDeque<(usize, u64)>,
    in_flight: Vec<u32>,
}

impl Router {
    fn new(number: usize) -> Self {
        let mut runners = Runners::new({
            let mut s = runners::Settings::default();
            if let Ok(h) = std::env::var("HEADROOM") {
                s.lanes.headroom = h.parse().unwrap();
            }
            s
        });
        let registrations = (0..RUNNERS).map(|number| Registration {
            incarnation: incarnation(number),
            address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
            service: "sort".parse().unwrap(),
            place: place(number),
            software: SoftwareVersion::default(),
            slots: 48,
            is_leaving: false,
            weights: vec![(model(), WeightsVersion(1))],
            revision: 1,
        });
        runners.on_list(Instant::ZERO, registrations.collect());
        Self {
            runners,
            service: "sort".parse().unwrap(),
            place: place(number),
            waiting: VecDeque::new(),
            in_flight: vec![0; RUNNERS],
        }
    }

    fn choose(
        &self,
        now: u64,
        kind: usize,
        arrived: u64,
        rng: &mut dyn Rng,
    ) -> Result<Choice, Refusal> {
        let (tokens, objective, allowed, ..) = KINDS[kind];
        let left = |end: u64| time::Duration::from_millis((arrived + end).saturating_sub(now));
        let requirements = Requirements {
            service: &self.service,
            model: Some(&model()),
            targets: &[],
            segments: &[(SegmentId(rng.random()), Tokens(tokens))],
            cache_group: &CacheGroup::default(),
            body_bytes: 100,
            place: &self.place,
            time_left: left(allowed),
            objective_left: left(objective),
            stores: &[],
            max_status_age: None,
            runs_once: false,
            only_runner: None,
            software: None,
        };
        let context = Context {
            now: Instant::from_millis(now),
            settings: &placement::Settings::default(),
            runners: &self.runners,
            engine: None,
        };
        placement::choose(context, &requirements, &[], rng)
    }

    /// Requests at a runner, by its last status and this router's own.
    fn load(&self, number: usize) -> u32 {
        let runner = self.runners.get(&incarnation(number)).unwrap();
        runner.other_requests().unwrap_or(0) + self.in_flight[number]
    }

    fn pick(
        &self,
        policy: Policy,
        now: u64,
        kind: usize,
        arrived: u64,
        rng: &mut dyn Rng,
    ) -> Result<(usize, Option<placement::ExpectedSpeed>), Refusal> {
        let least = |numbers: &[usize]| {
            *numbers
                .iter()
                .min_by_key(|number| self.load(**number))
                .unwrap()
        };
        let start = rng.random_range(0..RUNNERS);
        match policy {
            Policy::LeastLoaded => {
                let all: Vec<_> = (0..RUNNERS)
                    .map(|number| (start + number) % RUNNERS)
                    .collect();
                Ok((least(&all), None))
            }
            Policy::TwoChoices => Ok((least(&[start, rng.random_range(0..RUNNERS)]), None)),
            Policy::Learned | Policy::Before => {
                let choice = self.choose(now, kind, arrived, rng)?;
                let number = choice.incarnation.name.as_str()[1..].parse().unwrap();
                Ok((number, Some(choice.speed)))
            }
        }
    }
}

/// On-time share of long and of short prompts, and how many of both were given to each
/// runner in each second.
struct Outcome {
    on_time: [f64; 2],
    work: Vec<[f64; RUNNERS]>,
}

struct Play {
    policy: Policy,
    speeds: [f64; RUNNERS],
    load: f64,
    /// When the last runner slows to a third, in ms.
    slows_at: Option<u64>,
    duration: u64,
    seed: u64,
}

/// Work of the mean request, in ms at mean speed.
fn compute_ms(tokens: u64) -> f64 {
    BASE_MS + tokens as f64 / 1e3 * MS_PER_THOUSAND
}

fn uneven() -> [f64; RUNNERS] {
    std::array::from_fn(|number| SPEEDS[number / 2 % 3])
}

impl Play {
    fn new(policy: Policy, load: f64, seed: u64) -> Self {
        Self {
            policy,
            speeds: uneven(),
            load,
            slows_at: None,
            duration: DURATION,
            seed,
        }
    }

    fn run(&self) -> Outcome {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(self.seed);
        let mut routers: Vec<_> = (0..ROUTERS).map(Router::new).collect();
        let mut engines: Vec<_> = self
            .speeds
            .iter()
            .map(|speed| Engine {
                speed: *speed,
                slowed: 1.0,
                queue: VecDeque::new(),
                answering: Vec::new(),
            })
            .collect();
        let (share, factor, _) = SLOWED;
        let capacity = self.speeds.iter().sum::<f64>() * (1.0 - share + share / factor);
        let work: f64 = KINDS
            .iter()
            .map(|(tokens, .., part)| part * compute_ms(*tokens))
            .sum();
        let arrivals = self.load * capacity / work;
        let mut statuses: VecDeque<(u64, usize, Status)> = VecDeque::new();
        let (mut timely, mut counted) = ([0_u32; 2], [0_u32; 2]);
        let mut outcome = Outcome {
            on_time: [0.0; 2],
            work: vec![[0.0; RUNNERS]; self.duration as usize / 1_000 + 1],
        };
        for now in 0..self.duration {
            if self.slows_at == Some(now) {
                engines[RUNNERS - 1].speed /= 3.0;
            }
            for (number, engine) in engines.iter_mut().enumerate() {
                if let Some(job) = engine.step(now, &mut rng) {
                    let is_timely = now < job.arrived + KINDS[job.kind].1;
                    if job.arrived >= WARM_UP && job.arrived + 2_000 < self.duration && is_timely {
                        timely[job.kind] += 1;
                    }
                    routers[job.router].on_first_byte(now, number, &job, engine, self.policy);
                }
                if (now + number as u64 * 7).is_multiple_of(STATUS_AGE) {
                    statuses.push_back((now + STATUS_AGE / 2, number, engine.status()));
                }
            }
            while statuses.front().is_some_and(|(due, ..)| *due <= now) {
                let (_, number, status) = statuses.pop_front().unwrap();
                for router in &mut routers {
                    router.runners.on_status(
                        Instant::from_millis(now),
                        &incarnation(number),
                        status.clone(),
                    );
                }
            }
            for (number, router) in routers.iter_mut().enumerate() {
                let wave = (now as f64 / 13_000.0 * std::f64::consts::TAU).sin()
                    * if number % 2 == 0 { 0.55 } else { -0.55 };
                let mut due: Vec<_> = router.waiting.drain(..).collect();
                if rng.random::<f64>() < arrivals * (1.0 + wave) / ROUTERS as f64 {
                    let kind = usize::from(rng.random::<f64>() >= KINDS[0].4);
                    counted[kind] += u32::from(now >= WARM_UP && now + 2_000 < self.duration);
                    due.push((kind, now));
                }
                // One that waits looks again every 20 ms.
                for (kind, arrived) in due {
                    let is_due = arrived == now || (now - arrived).is_multiple_of(20);
                    if !is_due {
                        router.waiting.push_back((kind, arrived));
                        continue;
                    }
                    match router.pick(self.policy, now, kind, arrived, &mut rng) {
                        Ok((runner, speed)) => {
                            let uncached = Tokens(KINDS[kind].0);
                            let cost = RequestCost {
                                uncached,
                                memory: uncached,
                                sent_at: Instant::from_millis(now),
                            };
                            router.on_sent(runner, cost);
                            let work = compute_ms(uncached.0);
                            outcome.work[now as usize / 1_000][runner] += work;
                            let engine = &mut engines[runner];
                            engine.queue.push_back(Job {
                                kind,
                                arrived,
                                sent_at: cost.sent_at,
                                router: number,
                                cost,
                                speed,
                                remaining: work,
                            });
                        }
                        Err(Refusal::Busy { .. }) if now < arrived + KINDS[kind].2 / 2 => {
                            router.waiting.push_back((kind, arrived));
                        }
                        Err(_) => {}
                    }
                }
            }
        }
        outcome.on_time =
            std::array::from_fn(|kind| f64::from(timely[kind]) / f64::from(counted[kind]));
        outcome
    }
}

impl Router {
    fn on_sent(&mut self, number: usize, cost: RequestCost) {
        self.in_flight[number] += 1;
        self.runners
            .get_mut(&incarnation(number))
            .unwrap()
            .on_sent(cost);
        self.runners
            .on_demand(cost.sent_at, &self.service, cost.uncached);
    }

    fn on_first_byte(
        &mut self,
        now: u64,
        number: usize,
        job: &Job,
        engine: &Engine,
        policy: Policy,
    ) {
        let at = Instant::from_millis(now);
        self.in_flight[number] -= 1;
        let observed_ms = at.since(job.sent_at).as_secs_f64() * 1e3;
        if let (Policy::Learned, Some(speed)) = (policy, job.speed) {
            let observation = pace::Observation {
                uncached: Some(job.cost.uncached),
                wait_ms: speed.wait_ms,
                waited: speed.waits,
                observed_ms,
                moment: Some((engine.slowed * 100.0) as u32),
            };
            self.runners
                .on_observation(at, &incarnation(number), &observation);
        }
        let runner = self.runners.get_mut(&incarnation(number)).unwrap();
        runner.on_settled(job.cost);
        runner.on_ended(true);
        runner.on_load(at, engine.status().running, 0);
        if policy == Policy::Before {
            let expected =
                job.speed.map_or(1.0, |speed| speed.wait_ms) + compute_ms(job.cost.uncached.0);
            runner.on_first_byte(observed_ms, expected);
        }
    }
}

/// Mean over some seeds: a single play has only a few hundred long prompts.
fn mean(play: impl Fn(u64) -> Play + Sync) -> [f64; 2] {
    let run = |seed| play(seed).run().on_time;
    std::thread::scope(|scope| {
        let run = &run;
        let plays = (0..SEEDS).map(|seed| scope.spawn(move || run(seed)));
        let plays: Vec<_> = plays.collect();
        let shares = plays.into_iter().map(|play| play.join().unwrap());
        shares.fold([0.0; 2], |sums, share| {
            std::array::from_fn(|kind| sums[kind] + share[kind] / SEEDS as f64)
        })
    })
}

/// Requests at slow runners must not be late because other routers and the times of the
/// mean runner are taken for those of every one.
#[test]
fn runners_of_different_speed_serve_as_many_on_time_as_equal_ones() {
    let equal = [SPEEDS.iter().sum::<f64>() / 3.0; RUNNERS];
    let equal = mean(|seed| Play {
        speeds: equal,
        ..Play::new(Policy::Learned, 0.9, seed)
    });
    println!("on time at 0.9, long and short: equal runners {equal:.3?}");
    let shares = [
        Policy::Learned,
        Policy::Before,
        Policy::LeastLoaded,
        Policy::TwoChoices,
    ]
    .map(|policy| {
        let share = mean(|seed| Play::new(policy, 0.9, seed));
        println!("on time at 0.9, long and short: {policy:?} {share:.3?}");
        share
    });
    for kind in 0..2 {
        let ratio = shares[0][kind] / equal[kind];
        assert!(ratio >= 0.97, "kind {kind}: {ratio:.3}");
    }
}

/// A runner that slows must not stay overloaded: it gets a third of its former work.
#[test]
fn a_runner_that_slows_to_a_third_gets_a_third_of_its_work() {
    let slows_at = 16_000;
    let outcome = Play {
        slows_at: Some(slows_at),
        duration: 44_000,
        ..Play::new(Policy::Learned, 0.7, 0)
    }
    .run();
    let at = |second: usize| {
        outcome.work[second - 4..second]
            .iter()
            .map(|work| work[RUNNERS - 1])
            .sum::<f64>()
    };
    let start = slows_at as usize / 1_000;
    let before = at(start);
    let reached = (start + 4..44).find(|second| at(*second) <= before * 0.4);
    println!("a third of the load after {reached:?} - {start} s");
    assert!(
        reached.is_some_and(|second| second <= start + 12),
        "{reached:?}"
    );
}
