//! Time of one routing decision by number of runners and of prompt pieces, and of one
//! decision on a team's limit and of one operation on a full wait queue.

#![expect(missing_docs, reason = "criterion_group makes a public function")]

use std::{hint, net, sync, time};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use lentil_policy::{
    forward::{routing, scheduler, team_limits},
    protocol,
    route::{self, RoutePolicy as _},
};
use lentil_types::{Class, Instant, PieceHash, Tokens, UnitRate, Units, WeightsVersion};
use rand::SeedableRng as _;

/// Number of runners of the service.
const RUNNERS: [usize; 5] = [10, 100, 670, 2_000, 4_600];
/// Number of pieces of the prompt.
const PIECES: [usize; 4] = [1, 10, 50, 200];
/// Number of prompts planned in rotation; they share the first half of their
/// pieces.
const PROMPTS: u64 = 64;

fn nested(runners: usize) -> route::Nested {
    let mut routing = route::Nested::new(route::NestedSettings::default());
    let info = |i: usize| route::RunnerInfo {
        name: format!("sortmind-{i}").parse().expect("a valid name"),
        service: "sortmind".parse().expect("a valid name"),
        place: "hall-intake".parse().expect("a valid name"),
    };
    let infos: Vec<_> = (0..runners).map(info).collect();
    routing.set_runners(Instant::ZERO, &infos);
    routing
}

fn work(pieces: usize, prompt: u64) -> protocol::Work {
    let mut chain = vec![PieceHash(1)];
    for i in 1..pieces {
        let own = if i * 2 >= pieces { prompt } else { 0 };
        let last = chain[i - 1];
        chain.push(last.chain(&own.to_le_bytes()));
    }
    protocol::Work {
        service: "sortmind".parse().expect("a valid name"),
        model: None,
        team: "recycler-a".parse().expect("a valid name"),
        class: Class::Normal,
        weights: WeightsVersion(1),
        pieces: sync::Arc::from(chain),
        prompt: Tokens(pieces as u64 * 1_000),
        output: Tokens(100),
    }
}

/// Measures planning a request after 1,000 requests have made its prefix hot.
fn plan(c: &mut Criterion, name: &str, runners: usize, pieces: usize) {
    let mut routing = nested(runners);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let works: Vec<_> = (0..PROMPTS).map(|prompt| work(pieces, prompt)).collect();
    for work in works.iter().cycle().take(1_000) {
        hint::black_box(routing.plan(Instant::ZERO, work, &[], &mut rng));
    }
    let mut rotation = works.iter().cycle();
    let mut group = c.benchmark_group(name);
    group.sample_size(20);
    group.measurement_time(time::Duration::from_secs(1));
    group.warm_up_time(time::Duration::from_millis(200));
    let id = BenchmarkId::from_parameter(format!("{runners} runners, {pieces} pieces"));
    group.bench_function(id, |b| {
        b.iter_batched(
            || rotation.next().expect("the cycle is endless"),
            |work| routing.plan(Instant::ZERO, work, &[], &mut rng),
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn by_runners(c: &mut Criterion) {
    for runners in RUNNERS {
        plan(c, "by runners", runners, 40);
    }
}

fn by_pieces(c: &mut Criterion) {
    for pieces in PIECES {
        plan(c, "by pieces", 4_600, pieces);
    }
}

/// Teams with a limit, and routers.
const LIMITED_TEAMS: usize = 330;
const ROUTERS: u8 = 24;

/// Measures admitting and refusing a request of one of many teams.
fn limits(c: &mut Criterion) {
    let team = |i: usize| routing::Team {
        name: format!("recycler-{i}").parse().expect("a valid name"),
        priority: None,
        isolated: false,
        limit: Some(routing::TeamLimit {
            unit: routing::LimitUnit::Tokens,
            rate: UnitRate(1e12),
            burst: Units(1_000_000_000_000),
            uncounted: Units(500),
        }),
    };
    let teams: Vec<_> = (0..LIMITED_TEAMS).map(team).collect();
    let routers: Vec<_> = (0..ROUTERS)
        .map(|i| net::IpAddr::from([10, 0, 0, i]))
        .collect();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut limits = team_limits::TeamLimits::new(team_limits::Settings::default(), Instant::ZERO);
    limits.set_routers(Instant::ZERO, routers[0], &routers, 44);
    limits.set_teams(Instant::ZERO, &teams);
    let mut now = Instant::from_millis(60_000);
    hint::black_box(limits.tick(now, &mut rng));
    let mut names = teams.iter().cycle();
    let mut decide = |cost: Units| {
        now = now + time::Duration::from_micros(70);
        let team = names.next().expect("the cycle is endless");
        limits.request(now, &team.name, cost, 3, &mut rng)
    };
    let mut group = c.benchmark_group("limit of a team");
    group.sample_size(20);
    group.measurement_time(time::Duration::from_secs(1));
    group.warm_up_time(time::Duration::from_millis(200));
    group.bench_function("admitted", |b| b.iter(|| decide(Units(383))));
    group.finish();
}

/// Requests that wait in the measured queue, and their teams.
const WAITING: u64 = 10_000;
const TEAMS: u64 = 330;

fn waiting(number: u64) -> scheduler::Waiting {
    let arrived = Instant::from_millis(number);
    scheduler::Waiting {
        service: "sortmind".parse().expect("a valid name"),
        rank: (number % 4) as u8,
        team: Some(
            format!("team-{}", number * 7 % TEAMS)
                .parse()
                .expect("a valid name"),
        ),
        tokens: Tokens(2_000 + number * 13 % 20_000),
        arrived,
        due: arrived + time::Duration::from_millis(number * 17 % 2_000),
        expires: arrived + time::Duration::from_secs(10),
        returns: number.is_multiple_of(50),
    }
}

/// Measures one request that joins, asks for its place and whether it is first, and is
/// sent, with 10,000 others waiting.
fn wait_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("wait queue");
    for order in [scheduler::Order::Arrival, scheduler::Order::Fair] {
        let mut queue = scheduler::Scheduler::new(scheduler::Settings {
            order,
            max_waiting: 2 * WAITING as usize,
            ..scheduler::Settings::default()
        });
        for number in 0..WAITING {
            let enqueued = queue.enqueue(Instant::from_millis(number), waiting(number));
            enqueued.expect("the queue has room");
        }
        let mut number = WAITING;
        group.bench_function(BenchmarkId::from_parameter(order), |b| {
            b.iter(|| {
                number += 1;
                let now = Instant::from_millis(WAITING + number / 1_000);
                let ticket = queue
                    .enqueue(now, waiting(number))
                    .expect("the queue has room");
                hint::black_box(queue.ahead(now, ticket));
                hint::black_box(queue.is_first(now, ticket));
                queue.remove(ticket, true);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, by_runners, by_pieces, limits, wait_queue);
criterion_main!(benches);
