//! Nested prefix hashing: homes, bids, holders and ejection.

use std::{sync, time::Duration};

use lentil_config::Objective;
use lentil_policy::{
    protocol,
    route::{self, Nested, NestedSettings, RoutePolicy},
};
use lentil_types::{
    Attempt, AttemptId, BootId, Class, Instant, PieceHash, Pieces, RequestId, RunnerName,
    RunnerState, Tokens, WeightsVersion,
};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

const BOOT: BootId = BootId(5);

fn name(i: usize) -> RunnerName {
    format!("sortmind-{i}").parse().unwrap()
}

fn nested(runners: usize) -> Nested {
    let mut routing = Nested::new(NestedSettings::default());
    let info = |i| route::RunnerInfo {
        name: name(i),
        service: "sortmind".parse().unwrap(),
        place: "hall-intake".parse().unwrap(),
    };
    let infos: Vec<_> = (0..runners).map(info).collect();
    routing.set_runners(Instant::ZERO, &infos);
    routing
}

fn work(pieces: impl IntoIterator<Item = u64>) -> protocol::Work {
    let chain: Vec<_> = pieces
        .into_iter()
        .map(|i| PieceHash(i.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    protocol::Work {
        service: "sortmind".parse().unwrap(),
        model: Some("sortmind-7b".parse().unwrap()),
        team: "a".parse().unwrap(),
        class: Class::Normal,
        weights: WeightsVersion(1),
        prompt: Tokens(chain.len() as u64 * 1_000),
        pieces: sync::Arc::from(chain),
        output: Tokens(50),
    }
}

fn load(state: RunnerState, running: u32) -> protocol::Load {
    protocol::Load {
        boot: BOOT,
        state,
        running,
        ..Default::default()
    }
}

fn bid(i: usize, cached: u64, wait_ms: u64) -> route::RunnerBid {
    let bid = protocol::Bid {
        id: AttemptId::default(),
        cached: Pieces(cached),
        wait: Duration::from_millis(wait_ms),
        load: load(RunnerState::Live, 0),
    };
    route::RunnerBid {
        runner: name(i),
        bid,
    }
}

fn offer(work: protocol::Work) -> protocol::Offer {
    protocol::Offer {
        id: AttemptId {
            request: RequestId(1),
            attempt: Attempt::FIRST,
        },
        work,
        budget: Duration::from_secs(10),
    }
}

fn asked(routing: &mut Nested, work: &protocol::Work, seed: u64) -> Vec<RunnerName> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    match routing.plan(Instant::ZERO, work, &[], &mut rng) {
        route::Plan::Ask(names) => names,
        other => panic!("{other:?}"),
    }
}

#[test]
fn routers_without_state_ask_the_same_homes() {
    let (mut one, mut other) = (nested(18), nested(18));
    let work = work(1..=30);
    let first = asked(&mut one, &work, 1);
    let second = asked(&mut other, &work, 2);
    assert_eq!(first[..3], second[..3]);
}

#[test]
fn prompts_that_share_a_prefix_share_a_home() {
    let mut routing = nested(18);
    let shared: Vec<_> = (1..=20).collect();
    let mut first_homes = Vec::new();
    for suffix in 100..110 {
        let work = work(shared.iter().copied().chain([suffix]));
        first_homes.push(asked(&mut routing, &work, suffix)[0].clone());
    }
    first_homes.sort();
    first_homes.dedup();
    assert!(first_homes.len() <= 6, "{first_homes:?}");
}

#[test]
fn a_hot_prefix_gets_more_homes() {
    let mut routing = nested(18);
    let mut first_homes = Vec::new();
    for suffix in 1_000..1_400 {
        let work = work((1..=20).chain([suffix]));
        first_homes.push(asked(&mut routing, &work, suffix)[0].clone());
    }
    first_homes.sort();
    first_homes.dedup();
    assert!(
        first_homes.len() >= 9,
        "all traffic shares the prefix: {first_homes:?}"
    );
}

#[test]
fn the_bid_with_the_most_cached_wins_unless_it_waits_long() {
    let mut routing = nested(4);
    let offer = offer(work(1..=10));
    let names: Vec<_> = (0..4).map(name).collect();
    let choice = routing.choose(
        Instant::ZERO,
        &offer,
        &names,
        &[bid(0, 0, 1_000), bid(1, 10, 100)],
    );
    assert!(matches!(choice, route::Choice::Runner { name: n, boot: Some(BOOT) } if n == name(1)));
    let choice = routing.choose(
        Instant::ZERO,
        &offer,
        &names,
        &[bid(0, 0, 1_000), bid(1, 10, 60_000)],
    );
    assert!(matches!(choice, route::Choice::Runner { name: n, .. } if n == name(0)));
}

#[test]
fn without_bids_the_first_asked_runner_is_chosen() {
    let mut routing = nested(4);
    let names = [name(2), name(1)];
    let choice = routing.choose(Instant::ZERO, &offer(work(1..=3)), &names, &[]);
    assert_eq!(
        choice,
        route::Choice::Runner {
            name: name(2),
            boot: None
        }
    );
}

#[test]
fn a_known_idle_holder_is_used_without_bids_until_it_reboots() {
    let mut routing = nested(18);
    let work = work(1..=10);
    routing.on_load(Instant::ZERO, &name(7), &load(RunnerState::Live, 0));
    routing.on_dispatch(Instant::ZERO, &name(7), &work);
    routing.on_verdict(Instant::ZERO, &name(7), &work, route::AttemptVerdict::Good);
    routing.on_load(Instant::ZERO, &name(7), &load(RunnerState::Live, 0));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let plan = routing.plan(Instant::ZERO, &work, &[], &mut rng);
    assert_eq!(
        plan,
        route::Plan::Direct {
            name: name(7),
            boot: Some(BOOT)
        }
    );
    let rebooted = protocol::Load {
        boot: BootId(6),
        ..load(RunnerState::Live, 0)
    };
    routing.on_load(Instant::ZERO, &name(7), &rebooted);
    let plan = routing.plan(Instant::ZERO, &work, &[], &mut rng);
    assert!(matches!(plan, route::Plan::Ask(_)), "{plan:?}");
}

#[test]
fn a_leaving_runner_is_not_asked() {
    let mut routing = nested(18);
    let work = work(1..=10);
    let home = asked(&mut routing, &work, 1)[0].clone();
    routing.on_load(Instant::ZERO, &home, &load(RunnerState::Leaving, 0));
    assert!(!asked(&mut routing, &work, 1).contains(&home));
}

#[test]
fn failing_runners_are_ejected_but_never_the_whole_service() {
    let mut routing = nested(4);
    let work = work(1..=10);
    let fail = |routing: &mut Nested, i| {
        for _ in 0..3 {
            routing.on_verdict(Instant::ZERO, &name(i), &work, route::AttemptVerdict::Bad);
        }
    };
    fail(&mut routing, 0);
    assert!(!asked(&mut routing, &work, 1).contains(&name(0)));
    for i in 1..4 {
        fail(&mut routing, i);
    }
    assert!(asked(&mut routing, &work, 1).len() >= 3);
}

#[test]
fn refusals_do_not_eject() {
    let mut routing = nested(4);
    let work = work(1..=10);
    let home = asked(&mut routing, &work, 1)[0].clone();
    for _ in 0..10 {
        routing.on_verdict(Instant::ZERO, &home, &work, route::AttemptVerdict::Refused);
    }
    assert_eq!(asked(&mut routing, &work, 1)[0], home);
}

#[test]
fn a_restarted_runner_gets_few_requests_while_it_warms_up() {
    let mut routing = nested(2);
    let work = work(1..=10);
    routing.on_load(Instant::ZERO, &name(0), &load(RunnerState::Live, 0));
    let restarted = protocol::Load {
        boot: BootId(6),
        ..load(RunnerState::Live, 0)
    };
    routing.on_load(Instant::ZERO, &name(0), &restarted);
    routing.on_dispatch(Instant::ZERO, &name(0), &work);
    let names = [name(0), name(1)];
    let bids = [bid(0, 0, 10), bid(1, 0, 1_000)];
    let choice = routing.choose(Instant::ZERO, &offer(work.clone()), &names, &bids);
    assert!(matches!(choice, route::Choice::Runner { name: n, .. } if n == name(1)));
    let warm = Instant::from_millis(5_000);
    let choice = routing.choose(warm, &offer(work), &names, &bids);
    assert!(matches!(choice, route::Choice::Runner { name: n, .. } if n == name(0)));
}

#[test]
fn a_service_whose_runners_are_all_joining_still_gets_requests() {
    let mut routing = nested(1);
    let work = work(1..=10);
    routing.on_load(Instant::ZERO, &name(0), &load(RunnerState::Joining, 0));
    assert_eq!(asked(&mut routing, &work, 1), [name(0)]);
    let mut joining = bid(0, 0, 0);
    joining.bid.load.state = RunnerState::Joining;
    let choice = routing.choose(Instant::ZERO, &offer(work.clone()), &[name(0)], &[joining]);
    assert!(matches!(choice, route::Choice::Runner { .. }));
    routing.on_load(Instant::ZERO, &name(0), &load(RunnerState::Leaving, 0));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let plan = routing.plan(Instant::ZERO, &work, &[], &mut rng);
    assert!(matches!(plan, route::Plan::Refuse { .. }));
}

#[test]
fn under_first_token_an_urgent_request_does_not_wait_for_a_cached_prefix() {
    let mut routing = nested(2);
    let mut urgent = work(1..=10);
    urgent.class = Class::Urgent;
    let names = [name(0), name(1)];
    let bids = [bid(0, 10, 900), bid(1, 0, 800)];
    for (objective, expected) in [(Objective::HitRate, 0), (Objective::FirstToken, 1)] {
        routing.set_objective(objective);
        let choice = routing.choose(Instant::ZERO, &offer(urgent.clone()), &names, &bids);
        assert!(matches!(choice, route::Choice::Runner { name: n, .. } if n == name(expected)));
    }
}
