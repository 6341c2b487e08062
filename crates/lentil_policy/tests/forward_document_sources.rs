//! Which routers are asked for the store's documents, and when.

use std::net;

use lentil_policy::forward::document_sources::{DocumentSources, Reply, Settings};
use lentil_types::Instant;
use rand::SeedableRng as _;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn routers(count: u8) -> Vec<net::SocketAddr> {
    let address = |host| net::SocketAddr::from(([10, 0, 0, host], 8_002));
    (0..count).map(address).collect()
}

fn first(sources: &DocumentSources, now: Instant, seed: u64) -> net::SocketAddr {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let order = sources.order(now, &routers(10), &mut rng);
    assert_eq!(order.len(), 10, "each router once");
    order[0]
}

#[test]
fn routers_are_asked_at_once_after_a_failure_and_then_at_intervals() {
    let interval = Settings::default().interval;
    let mut sources = DocumentSources::default();
    assert_eq!(sources.due_at(None), None);
    sources.on_failure(at(100));
    assert_eq!(sources.due_at(None), Some(at(100)));
    sources.on_round(at(100));
    sources.on_failure(at(150));
    assert_eq!(sources.due_at(None), Some(at(100) + interval));
    sources.on_success();
    assert_eq!(sources.due_at(None), None);
}

#[test]
fn a_notice_while_calls_fail_begins_a_round_at_once_also_during_another() {
    let mut sources = DocumentSources::default();
    sources.on_failure(at(100));
    sources.on_round(at(100));
    sources.on_notice(at(120), routers(1)[0]);
    sources.on_reply(at(130), routers(2)[1], Reply::Nothing);
    assert_eq!(sources.due_at(None), Some(at(120)));
    assert!(
        sources.is_overtaken(),
        "the round may wait for dead routers"
    );
    sources.on_round(at(130));
    assert!(!sources.is_overtaken());
}

#[test]
fn a_doubted_watch_begins_a_round_but_not_one_after_the_other() {
    let interval = Settings::default().interval;
    let mut sources = DocumentSources::default();
    assert_eq!(sources.due_at(Some(at(250))), Some(at(250)));
    sources.on_round(at(250));
    assert_eq!(sources.due_at(Some(at(250))), Some(at(250) + interval));
}

#[test]
fn the_router_that_told_of_a_newer_document_is_asked_first_until_it_has_none() {
    let teller = net::SocketAddr::from(([10, 0, 0, 200], 8_002));
    let mut sources = DocumentSources::default();
    sources.on_notice(at(0), teller);
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let order = sources.order(at(1), &routers(3), &mut rng);
    assert_eq!((order[0], order.len()), (teller, 4), "also if it is new");
    sources.on_reply(at(2), teller, Reply::Unreached);
    let order = sources.order(at(3), &routers(3), &mut rng);
    assert!(!order.contains(&teller));
}

#[test]
fn routers_with_nothing_to_offer_are_asked_last_for_a_while() {
    let all = routers(10);
    let mut sources = DocumentSources::default();
    sources.on_reply(at(0), all[0], Reply::Unreached);
    for router in &all[1..8] {
        sources.on_reply(at(0), *router, Reply::Nothing);
    }
    sources.on_reply(at(0), all[8], Reply::Current);
    assert!((0..20).all(|seed| first(&sources, at(10), seed) == all[8]));
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(2);
    let order = sources.order(at(10), &all, &mut rng);
    assert_eq!((order[1], order[9]), (all[9], all[0]));
    let later = at(10) + Settings::default().memory;
    assert!(
        (0..50).any(|seed| first(&sources, later, seed) == all[0]),
        "forgotten"
    );
}
