//! Time of one routing decision by number of runners and of prompt pieces.

#![expect(missing_docs, reason = "criterion_group makes a public function")]

use std::{hint, sync, time};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use lentil_policy::{
    protocol,
    route::{self, RoutePolicy as _},
};
use lentil_types::{Class, Instant, PieceHash, Tokens, WeightsVersion};
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

criterion_group!(benches, by_runners, by_pieces);
criterion_main!(benches);
