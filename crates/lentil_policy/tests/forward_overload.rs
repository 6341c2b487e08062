//! Routers and runners under too much load, without a network: what callers get.
//!
//! The runners compute short prompts before long ones and reject what finds no slot or
//! memory. Routers know the runners as they were some milliseconds ago, and what they sent
//! since. Rates are scaled so that an offered load of 1 is what all runners can compute.

use std::{collections, fmt::Write as _, time};

use lentil_policy::forward::{
    admission, concurrency_limit::ConcurrencyLimit, runners::LONG_PROMPT, scheduler,
};
use lentil_types::{Instant, Tokens};
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const STEP_MS: u64 = 5;
const PLAY_MS: u64 = 24_000;
/// Requests of the first seconds are not counted: the queues fill then.
const COUNTED_FROM_MS: u64 = 4_000;
const ROUTERS: usize = 6;
const RUNNERS: usize = 12;
const TEAMS: usize = 16;
/// Prompt tokens that a runner computes in a millisecond.
const RATE: f64 = 50.0;
const MAX_BACKLOG_MS: f64 = 120.0;
/// How old what a router knows of the runners is at most.
const STATUS_MS: u64 = 20;
/// One in this many long prompts is of more than twice the usual size.
const LARGE_INTERVAL: u64 = 10;
const LARGE_TOKENS: u64 = 40_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The scheduler's fair order with admission and learned limits.
    Fair,
    /// The order by arrival; short prompts are sent at once.
    Arrival,
    /// Every request goes to the runner with the fewest at once, and none is refused.
    LeastLoaded,
}

/// One kind of prompts.
#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Prompts a second, before they are scaled to the load.
    rate: f64,
    tokens: u64,
    objective_ms: u64,
    allowed_ms: u64,
    rank: u8,
    /// How long an answer takes after its first byte.
    answer_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Mix {
    kinds: [Kind; 2],
    slots: usize,
    memory: u64,
}

const REGISTRY: Mix = Mix {
    kinds: [
        Kind {
            rate: 699.0,
            tokens: 383,
            objective_ms: 500,
            allowed_ms: 5_000,
            rank: 0,
            answer_ms: 60,
        },
        Kind {
            rate: 40.2,
            tokens: 17_020,
            objective_ms: 1_500,
            allowed_ms: 12_000,
            rank: 3,
            answer_ms: 140,
        },
    ],
    slots: 64,
    memory: 178_149,
};

const PARKING: Mix = Mix {
    kinds: [
        Kind {
            rate: 732.0,
            allowed_ms: 4_000,
            ..REGISTRY.kinds[0]
        },
        Kind {
            rate: 65.2,
            objective_ms: 800,
            allowed_ms: 8_000,
            rank: 1,
            ..REGISTRY.kinds[1]
        },
    ],
    slots: 48,
    memory: 164_869,
};

#[derive(Clone, Copy, Debug)]
struct Day {
    mix: Mix,
    policy: Policy,
    load: f64,
    /// How much more than usual the first team asks for.
    flood: f64,
    /// Factor of the load in the middle third.
    burst: f64,
    /// Runners that are gone in the middle third.
    lost: usize,
}

impl Day {
    const fn new(mix: Mix, policy: Policy, load: f64) -> Self {
        Self {
            mix,
            policy,
            load,
            flood: 1.0,
            burst: 1.0,
            lost: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Request {
    kind: usize,
    team: usize,
    tokens: u64,
    arrived: u64,
    returns: bool,
    row: usize,
}

impl Request {
    fn is_long(&self) -> bool {
        Tokens(self.tokens) >= LONG_PROMPT
    }
}

#[derive(Clone, Debug)]
struct Job {
    request: Request,
    router: usize,
    remaining: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Prompt tokens to be computed.
    backlog: f64,
    requests: usize,
    memory: u64,
}

#[derive(Clone, Debug, Default)]
struct Runner {
    /// Short prompts and long ones.
    queues: [collections::VecDeque<Job>; 2],
    /// End, router and memory of answers that are generated.
    answers: Vec<(u64, usize, u64)>,
    is_gone: bool,
}

impl Runner {
    fn known(&self) -> Known {
        let jobs = || self.queues.iter().flatten();
        Known {
            backlog: jobs().map(|job| job.remaining).sum(),
            requests: jobs().count() + self.answers.len(),
            memory: jobs().map(|job| job.request.tokens).sum::<u64>()
                + self.answers.iter().map(|answer| answer.2).sum::<u64>(),
        }
    }
}

/// What became of the counted requests.
#[derive(Clone, Debug, Default)]
struct Row {
    rank: u8,
    team: usize,
    is_large: bool,
    /// Time to the first byte.
    took: Option<u64>,
    is_on_time: bool,
}

struct Router {
    queue: scheduler::Scheduler,
    waiting: collections::BTreeMap<scheduler::Ticket, (scheduler::Waiting, Request)>,
    /// What it sent to each runner since the last status.
    sent: Vec<Known>,
    in_flight: Vec<u32>,
    limits: Vec<ConcurrencyLimit>,
}

struct World {
    day: Day,
    now: u64,
    rng: rand_pcg::Pcg64Mcg,
    runners: Vec<Runner>,
    known: Vec<Known>,
    routers: Vec<Router>,
    rows: Vec<Row>,
    /// Refused requests by the time that they return.
    returning: collections::BTreeMap<u64, Vec<Request>>,
    rejected: usize,
    refused: usize,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

impl World {
    fn new(day: Day) -> Self {
        let order = match day.policy {
            Policy::Fair => scheduler::Order::Fair,
            _ => scheduler::Order::Arrival,
        };
        let router = || Router {
            queue: scheduler::Scheduler::new(scheduler::Settings {
                order,
                ..scheduler::Settings::default()
            }),
            waiting: collections::BTreeMap::new(),
            sent: vec![Known::default(); RUNNERS],
            in_flight: vec![0; RUNNERS],
            limits: vec![ConcurrencyLimit::default(); RUNNERS],
        };
        Self {
            day,
            now: 0,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(7),
            runners: vec![Runner::default(); RUNNERS],
            known: vec![Known::default(); RUNNERS],
            routers: (0..ROUTERS).map(|_| router()).collect(),
            rows: Vec::new(),
            returning: collections::BTreeMap::new(),
            rejected: 0,
            refused: 0,
        }
    }

    fn play(mut self) -> Self {
        while self.now < PLAY_MS {
            self.step();
            self.now += STEP_MS;
        }
        self
    }

    fn step(&mut self) {
        let is_middle = (PLAY_MS / 3..PLAY_MS * 2 / 3).contains(&self.now);
        for index in 0..self.day.lost {
            if is_middle && !self.runners[index].is_gone {
                self.lose(index);
            }
            self.runners[index].is_gone = is_middle;
        }
        (0..RUNNERS).for_each(|index| self.compute(index));
        if self.now.is_multiple_of(STATUS_MS) {
            self.known = self.runners.iter().map(Runner::known).collect();
            for router in &mut self.routers {
                router.sent.fill(Known::default());
            }
        }
        self.arrive(if is_middle { self.day.burst } else { 1.0 });
        // Each router is the first in its turn.
        for offset in 0..ROUTERS {
            self.send_waiting((self.now as usize / STEP_MS as usize + offset) % ROUTERS);
        }
    }

    /// A runner dies with what it has; the requests are lost.
    fn lose(&mut self, index: usize) {
        let runner = std::mem::take(&mut self.runners[index]);
        for job in runner.queues.iter().flatten() {
            self.routers[job.router].in_flight[index] -= 1;
        }
        for (_, router, _) in &runner.answers {
            self.routers[*router].in_flight[index] -= 1;
        }
    }

    fn compute(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        let now = self.now;
        for (_, router, _) in runner.answers.extract_if(.., |answer| answer.0 <= now) {
            self.routers[router].in_flight[index] -= 1;
        }
        let mut budget = RATE * STEP_MS as f64;
        for queue in &mut runner.queues {
            while let Some(job) = queue.front_mut().filter(|_| budget > 0.0) {
                let computed = job.remaining.min(budget);
                job.remaining -= computed;
                budget -= computed;
                if job.remaining > 0.0 {
                    break;
                }
                let Some(Job {
                    request, router, ..
                }) = queue.pop_front()
                else {
                    break;
                };
                let kind = self.day.mix.kinds[request.kind];
                let took = now - request.arrived;
                self.routers[router].limits[index].on_answered();
                runner
                    .answers
                    .push((now + kind.answer_ms, router, request.tokens));
                // A caller that has left gets nothing.
                if took <= kind.allowed_ms {
                    let row = &mut self.rows[request.row];
                    row.took = Some(took);
                    row.is_on_time = took <= kind.objective_ms;
                }
            }
        }
    }

    fn arrive(&mut self, burst: f64) {
        let kinds = self.day.mix.kinds;
        let offered: f64 = kinds
            .iter()
            .map(|kind| kind.rate * kind.tokens as f64)
            .sum();
        let capacity = RUNNERS as f64 * RATE * 1e3;
        let scale = capacity * self.day.load * burst / offered;
        for (index, kind) in kinds.iter().enumerate() {
            for team in 0..TEAMS {
                let flood = if team == 0 { self.day.flood } else { 1.0 };
                let mean = kind.rate * scale * flood / TEAMS as f64 * STEP_MS as f64 / 1e3;
                let count = (mean + self.rng.random::<f64>()) as u64;
                for _ in 0..count {
                    let is_large = index == 1 && self.rng.random_range(0..LARGE_INTERVAL) == 0;
                    self.rows.push(Row {
                        rank: kind.rank,
                        team,
                        is_large,
                        ..Row::default()
                    });
                    let request = Request {
                        kind: index,
                        team,
                        tokens: if is_large { LARGE_TOKENS } else { kind.tokens },
                        arrived: self.now,
                        returns: false,
                        row: self.rows.len() - 1,
                    };
                    self.accept(request);
                }
            }
        }
        let later = self.returning.split_off(&(self.now + 1));
        for mut request in std::mem::replace(&mut self.returning, later)
            .into_values()
            .flatten()
        {
            request.arrived = self.now;
            request.returns = true;
            self.accept(request);
        }
    }

    fn accept(&mut self, request: Request) {
        let router = self.rng.random_range(0..ROUTERS);
        if !request.is_long() || self.day.policy == Policy::LeastLoaded {
            let order = self.by_load(router);
            let best = order.iter().copied().find(|i| {
                let state = &self.routers[router];
                state.limits[*i].allows(state.in_flight[*i])
            });
            self.send(router, best.unwrap_or(order[0]), request);
            return;
        }
        let kind = self.day.mix.kinds[request.kind];
        let compute = (request.tokens as f64 / RATE) as u64;
        let waiting = scheduler::Waiting {
            service: "model".parse().unwrap(),
            rank: kind.rank,
            team: Some(format!("team-{}", request.team).parse().unwrap()),
            tokens: Tokens(request.tokens),
            arrived: at(request.arrived),
            due: at(request.arrived + kind.objective_ms.saturating_sub(compute)),
            expires: at(request.arrived + kind.allowed_ms / 2),
            returns: request.returns,
        };
        let entered = self.routers[router]
            .queue
            .enqueue(at(self.now), waiting.clone());
        match entered {
            Ok(ticket) => {
                let entry = (waiting, request);
                self.routers[router].waiting.insert(ticket, entry);
                let is_first = self.routers[router].queue.is_first(at(self.now), ticket);
                if !is_first || !self.try_send(router, ticket) {
                    self.check(router, ticket);
                }
            }
            Err(scheduler::Full) => self.refuse(request, time::Duration::from_millis(500)),
        }
    }

    fn usable(&self) -> usize {
        self.runners.iter().filter(|runner| !runner.is_gone).count()
    }

    /// Refuses a waiting request if its turn comes too late.
    fn check(&mut self, router: usize, ticket: scheduler::Ticket) {
        let usable = self.usable() as f64;
        let Router { queue, waiting, .. } = &mut self.routers[router];
        let now = at(self.now);
        let Some((row, request)) = waiting.get(&ticket) else {
            return;
        };
        let kind = self.day.mix.kinds[request.kind];
        let ahead = queue.ahead(now, ticket);
        let wait_ms = ahead.tokens.0 as f64 * ROUTERS as f64 / RATE / usable;
        let limits = admission::Limits {
            queue_until: row.expires,
            start_by: at(request.arrived + kind.allowed_ms),
        };
        let prediction = admission::Prediction {
            wait: time::Duration::from_secs_f64(wait_ms / 1e3),
            first_byte: time::Duration::from_secs_f64(request.tokens as f64 / RATE / 1e3),
        };
        let is_evicted = !queue.contains(ticket);
        let checked = admission::check(now, &limits, &prediction);
        if checked.is_err() || is_evicted {
            queue.remove(ticket, false);
            let wait = prediction.wait.max(time::Duration::from_millis(500));
            if let Some((_, request)) = self.routers[router].waiting.remove(&ticket) {
                self.refuse(request, wait);
            }
        }
    }

    /// Half of the refused callers return once, when they were told to.
    fn refuse(&mut self, request: Request, wait: time::Duration) {
        self.refused += 1;
        if request.returns || self.rng.random_bool(0.5) {
            return;
        }
        let jitter = 1.0 + self.rng.random::<f64>() / 2.0;
        let back = self.now + wait.mul_f64(jitter).as_millis() as u64;
        self.returning.entry(back).or_default().push(request);
    }

    fn send_waiting(&mut self, router: usize) {
        while let Some(ticket) = self.first(router) {
            if !self.try_send(router, ticket) {
                break;
            }
        }
        if (self.now / STEP_MS).is_multiple_of(8) {
            let tickets: Vec<_> = self.routers[router].waiting.keys().copied().collect();
            for ticket in tickets {
                self.check(router, ticket);
            }
        }
    }

    fn first(&mut self, router: usize) -> Option<scheduler::Ticket> {
        let Router { queue, waiting, .. } = &mut self.routers[router];
        let (row, _) = waiting.values().next()?;
        queue.first(at(self.now), row)
    }

    /// Usable runners by what the router knows of their requests.
    fn by_load(&mut self, router: usize) -> Vec<usize> {
        let mut usable: Vec<_> = (0..RUNNERS).filter(|i| !self.runners[*i].is_gone).collect();
        let offset = self.rng.random_range(0..usable.len());
        usable.rotate_left(offset);
        let sent = &self.routers[router].sent;
        usable.sort_by_key(|i| {
            let tokens = self.known[*i].backlog + sent[*i].backlog;
            (
                tokens as u64 / 400,
                self.known[*i].requests + sent[*i].requests,
            )
        });
        usable
    }

    /// Sends a waiting request if a runner has room.
    fn try_send(&mut self, router: usize, ticket: scheduler::Ticket) -> bool {
        let order = self.by_load(router);
        let state = &self.routers[router];
        let request = &state.waiting[&ticket].1;
        let has_room = |i: &usize| {
            let (known, sent) = (self.known[*i], state.sent[*i]);
            let backlog_ms = (known.backlog + sent.backlog) / RATE;
            if !state.limits[*i].allows(state.in_flight[*i]) {
                return false;
            }
            let memory = known.memory + sent.memory + request.tokens;
            backlog_ms <= MAX_BACKLOG_MS
                && memory <= self.day.mix.memory
                && (known.requests + sent.requests) * 2 < self.day.mix.slots
        };
        let Some(runner) = order.into_iter().find(has_room) else {
            return false;
        };
        let state = &mut self.routers[router];
        state.queue.remove(ticket, true);
        if let Some((_, request)) = state.waiting.remove(&ticket) {
            self.send(router, runner, request);
        }
        true
    }

    fn send(&mut self, router: usize, index: usize, request: Request) {
        let known = self.runners[index].known();
        let is_full = known.requests >= self.day.mix.slots
            || known.memory + request.tokens > self.day.mix.memory;
        let state = &mut self.routers[router];
        if is_full && self.day.policy != Policy::LeastLoaded {
            self.rejected += 1;
            if self.day.policy == Policy::Fair {
                let in_flight = state.in_flight[index] + 1;
                state.limits[index].on_rejected(at(self.now), at(self.now), in_flight);
            }
            self.refuse(request, time::Duration::from_millis(500));
            return;
        }
        state.in_flight[index] += 1;
        state.sent[index].backlog += request.tokens as f64;
        state.sent[index].requests += 1;
        state.sent[index].memory += request.tokens;
        let queue = usize::from(request.is_long());
        self.runners[index].queues[queue].push_back(Job {
            remaining: request.tokens as f64,
            router,
            request,
        });
    }

    fn counted(&self) -> impl Iterator<Item = &Row> {
        // Arrivals are in order, so the first part of the rows is of the first seconds.
        let skipped = self.rows.len() * COUNTED_FROM_MS as usize / PLAY_MS as usize;
        self.rows.iter().skip(skipped)
    }

    fn on_time(&self, is_counted: impl Fn(&Row) -> bool) -> usize {
        let rows = self.counted().filter(|row| is_counted(row));
        rows.filter(|row| row.is_on_time).count()
    }

    fn on_time_share(&self, is_counted: impl Fn(&Row) -> bool + Copy) -> f64 {
        let all = self.counted().filter(|row| is_counted(row)).count();
        self.on_time(is_counted) as f64 / all.max(1) as f64
    }

    fn served_share(&self, is_counted: impl Fn(&Row) -> bool) -> f64 {
        let rows: Vec<_> = self.counted().filter(|row| is_counted(row)).collect();
        let served = rows.iter().filter(|row| row.took.is_some()).count();
        served as f64 / rows.len().max(1) as f64
    }

    fn summary(&self) -> String {
        let mut text = format!("{:>11} load {:.2}:", self.day.policy_name(), self.day.load);
        for kind in self.day.mix.kinds {
            let of_kind = |row: &Row| row.rank == kind.rank;
            let _ = write!(
                text,
                " rank {}: {:>6} on time ({:.3}), {:.3} served;",
                kind.rank,
                self.on_time(of_kind),
                self.on_time_share(of_kind),
                self.served_share(of_kind),
            );
        }
        let _ = write!(
            text,
            " {} rejected, {} refused",
            self.rejected, self.refused
        );
        text
    }
}

impl Day {
    fn policy_name(&self) -> String {
        format!("{:?}", self.policy)
    }
}

/// Guards against a collapse: more load must not mean fewer requests on time.
#[rstest]
#[case::registry(REGISTRY)]
#[case::parking(PARKING)]
fn more_load_does_not_lower_the_number_on_time(#[case] mix: Mix) {
    let mut peak = 0;
    let mut worst: (f64, f64) = (1.0, 0.0);
    for load in [0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 4.0] {
        for policy in [Policy::LeastLoaded, Policy::Arrival] {
            println!(
                "{}",
                World::new(Day::new(mix, policy, load)).play().summary()
            );
        }
        let world = World::new(Day::new(mix, Policy::Fair, load)).play();
        println!("{}", world.summary());
        let on_time = world.on_time(|_| true);
        peak = peak.max(on_time);
        let part = on_time as f64 / peak as f64;
        if part < worst.0 {
            worst = (part, load);
        }
        if load <= 0.75 {
            assert_eq!(world.refused, 0, "nobody is refused while there is room");
        }
    }
    println!(
        "lowest part of the peak: {:.3} at load {}",
        worst.0, worst.1
    );
    assert!(
        worst.0 >= 0.9,
        "{:.3} of the peak at load {}",
        worst.0,
        worst.1
    );
}

/// Guards against a team that takes the others' time: at seven times its usual rate.
#[rstest]
#[case::registry(REGISTRY)]
#[case::parking(PARKING)]
fn a_team_at_seven_times_its_rate_leaves_the_others_their_time(#[case] mix: Mix) {
    for policy in [Policy::LeastLoaded, Policy::Arrival, Policy::Fair] {
        let usual = World::new(Day::new(mix, policy, 0.9)).play();
        let day = Day {
            flood: 7.0,
            ..Day::new(mix, policy, 0.9)
        };
        let flooded = World::new(day).play();
        for rank in mix.kinds.map(|kind| kind.rank) {
            let others = |row: &Row| row.team != 0 && row.rank == rank;
            let (before, after) = (usual.on_time_share(others), flooded.on_time_share(others));
            println!("{policy:?}, rank {rank}: {before:.3} of the others on time, then {after:.3}");
        }
        let others = |row: &Row| row.team != 0;
        let worst = usual.on_time_share(others) - flooded.on_time_share(others);
        if policy == Policy::Fair {
            assert!(worst <= 0.03, "{worst:.3} less on time");
        }
    }
}

/// Guards against starvation of a rank, a team or a size, at twice the capacity.
#[rstest]
#[case::registry(REGISTRY)]
#[case::parking(PARKING)]
fn no_rank_team_or_size_starves(#[case] mix: Mix) {
    let world = World::new(Day::new(mix, Policy::Fair, 2.0)).play();
    println!("{}", world.summary());
    for rank in mix.kinds.map(|kind| kind.rank) {
        let all = world.served_share(|row| row.rank == rank);
        assert!(all > 0.02, "rank {rank}: {all:.3} served");
        for team in 0..TEAMS {
            let served = world.served_share(|row| row.rank == rank && row.team == team);
            assert!(
                served >= all / 2.0,
                "rank {rank}, team {team}: {served:.3} served, of all {all:.3}"
            );
        }
    }
    let patient = mix.kinds[1].rank;
    let large = world.served_share(|row| row.is_large);
    let all = world.served_share(|row| row.rank == patient);
    println!("large ones: {large:.3} served, of all long ones {all:.3}");
    assert!(
        large >= all / 10.0,
        "{large:.3} of the large, {all:.3} of all"
    );
}

/// Guards against urgent requests that suffer from a burst or from lost runners.
#[rstest]
#[case::burst(REGISTRY, 2.3, 0)]
#[case::half_of_the_runners_gone(REGISTRY, 1.0, RUNNERS / 2)]
#[case::parking_burst(PARKING, 2.3, 0)]
#[case::parking_half_gone(PARKING, 1.0, RUNNERS / 2)]
fn urgent_requests_are_on_time_in_a_burst_and_when_runners_are_lost(
    #[case] mix: Mix,
    #[case] burst: f64,
    #[case] lost: usize,
) {
    for policy in [Policy::LeastLoaded, Policy::Arrival, Policy::Fair] {
        let day = Day {
            burst,
            lost,
            ..Day::new(mix, policy, 0.8)
        };
        let world = World::new(day).play();
        println!("{}", world.summary());
        if policy == Policy::Fair {
            let share = world.on_time_share(|row| row.rank == 0);
            assert!(share >= 0.95, "{share:.3} of the urgent ones on time");
        }
    }
}
