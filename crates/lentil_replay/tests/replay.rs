//! Replays are reproducible, the committed traces match the generator, and the
//! bounds reject a poor policy.

use std::path;

use lentil_policy::{cache, protocol};
use lentil_replay::{
    Model, Policy, Region, Runs, Scenario,
    engine::{Action, Engine},
    keeper::Keeper,
    load, traffic,
};
use lentil_types::{
    Attempt, AttemptId, BootId, Class, Instant, PieceHash, Pieces, RequestId, TokenRate, Tokens,
    WeightsVersion,
};
use rstest::rstest;
use strum::IntoEnumIterator as _;

fn traces() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn runs() -> Runs {
    Runs::new(Region::Lombardy, &traces()).unwrap()
}

#[test]
fn committed_traces_are_the_generated_ones() {
    for region in Region::iter() {
        for scenario in Scenario::iter() {
            let generated = traffic::generate(region, scenario.trace()).unwrap();
            assert_eq!(load(&traces(), region, scenario).unwrap(), generated);
        }
    }
}

#[test]
fn a_replay_gives_the_same_figures_again() {
    let figures = || {
        let mut runs = runs();
        runs.get(Scenario::Crash, Policy::Nested).unwrap().figures()
    };
    assert_eq!(figures(), figures());
}

#[rstest]
#[case::steady(Scenario::Steady)]
#[case::crash(Scenario::Crash)]
#[case::herd(Scenario::Herd)]
fn nothing_is_lost_and_most_is_reused(#[case] scenario: Scenario) {
    let mut runs = runs();
    let oracle = runs.get(scenario, Policy::Oracle).unwrap().figures();
    let report = runs.get(scenario, Policy::Nested).unwrap();
    assert_eq!(report.lost, [0; 3]);
    assert_eq!(report.refused[Class::Patient as usize], 0);
    assert_eq!(report.stale, 0);
    assert_eq!(report.starved, 0);
    assert!(report.figures().hit_rate >= 0.95 * oracle.hit_rate);
}

#[test]
fn round_robin_would_not_pass() {
    let mut runs = runs();
    let oracle = runs
        .get(Scenario::Steady, Policy::Oracle)
        .unwrap()
        .figures();
    let round_robin = runs
        .get(Scenario::Steady, Policy::RoundRobin)
        .unwrap()
        .figures();
    assert!(round_robin.hit_rate < 0.95 * oracle.hit_rate);
    assert!(round_robin.waste > 1.1 * oracle.waste + 0.01);
}

// ----------------------------------------------------------------------------
// The runner model

fn work(pieces: impl IntoIterator<Item = u64>) -> protocol::Work {
    let chain: Vec<_> = pieces.into_iter().map(PieceHash).collect();
    protocol::Work {
        service: "sortmind".parse().unwrap(),
        model: None,
        team: "a".parse().unwrap(),
        class: Class::Normal,
        weights: WeightsVersion(1),
        prompt: Tokens(chain.len() as u64 * 1_000),
        pieces: chain.into(),
        output: Tokens(1),
    }
}

fn id(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        attempt: Attempt::FIRST,
    }
}

/// Runs one request alone to its end and returns the engine's actions.
fn serve(
    engine: &mut Engine,
    keeper: &mut Keeper,
    number: u128,
    work: &protocol::Work,
) -> Vec<Action> {
    let mut now = Instant::from_millis(number as u64 * 60_000);
    engine.start(now, id(number), work, Tokens(1), keeper);
    let mut actions = Vec::new();
    while engine.running() > 0 {
        now = now + Model::new(Region::Dalton).step;
        actions.extend(engine.step(now, keeper));
    }
    actions
}

fn engine(capacity: u64) -> Engine {
    let model = Model {
        capacity: Pieces(capacity),
        export_uses: 2,
        ..Model::new(Region::Dalton)
    };
    Engine::new(model, BootId(1))
}

#[test]
fn an_engine_evicts_the_least_recently_used_and_the_deepest_first() {
    let mut engine = engine(4);
    let mut keeper = Keeper::new(Pieces(0));
    serve(&mut engine, &mut keeper, 1, &work([1, 2]));
    serve(&mut engine, &mut keeper, 2, &work([11, 12]));
    serve(&mut engine, &mut keeper, 3, &work([21]));
    assert_eq!(engine.list(), [1, 11, 12, 21].map(PieceHash));
}

#[test]
fn pieces_that_are_used_again_are_exported_and_imported() {
    let mut keeper = Keeper::new(Pieces(10));
    let mut first = engine(8);
    serve(&mut first, &mut keeper, 1, &work([1, 2, 3]));
    assert!(!keeper.has(&PieceHash(1)));
    serve(&mut first, &mut keeper, 2, &work([1, 2, 4]));
    assert!(keeper.has(&PieceHash(2)) && !keeper.has(&PieceHash(3)));
    let mut second = engine(8);
    let found = second.start(
        Instant::ZERO,
        id(9),
        &work([1, 2, 5]),
        Tokens(1),
        &mut keeper,
    );
    assert_eq!((found.cached, found.imported), (0, 2));
}

#[rstest]
#[case::faster(10_000.0, 4)]
#[case::slower(100_000.0, 0)]
fn an_import_is_made_only_where_it_is_faster(#[case] rate: f64, #[case] expected: u64) {
    let cost = cache::ImportCost::default();
    let plan = cost.plan(Pieces(1), Pieces(5), TokenRate(rate));
    assert_eq!(plan, Pieces(expected));
}
