//! Watches of the store that are doubted because other routers know more.

use std::time;

use lentil_policy::{
    forward::watch_doubts::{self, Settings, WatchDoubts},
    store::ObjectVersion,
};
use lentil_types::Instant;
use rand::SeedableRng as _;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_watch_is_doubted_once_another_router_has_known_more_for_a_while() {
    let mut doubts = WatchDoubts::default();
    doubts.on_documents(ObjectVersion(5));
    doubts.on_notice(at(1_000), ObjectVersion(5));
    assert_eq!(doubts.due_at(), None, "nothing is missing");
    doubts.on_notice(at(1_100), ObjectVersion(7));
    doubts.on_notice(at(1_300), ObjectVersion(8));
    let due_at = at(1_100) + Settings::default().tolerance;
    assert_eq!(doubts.due_at(), Some(due_at));
    doubts.on_documents(ObjectVersion(7));
    assert_eq!(doubts.due_at(), Some(due_at), "8 is still missing");
    doubts.on_documents(ObjectVersion(8));
    assert_eq!(doubts.due_at(), None);
}

#[test]
fn a_version_that_the_store_does_not_confirm_is_not_asked_for_again() {
    let mut doubts = WatchDoubts::default();
    doubts.on_notice(at(0), ObjectVersion(u64::MAX));
    doubts.on_answer();
    assert_eq!(doubts.due_at(), None);
}

#[test]
fn other_routers_are_told_of_changes_and_not_of_the_first_listing() {
    let mut doubts = WatchDoubts::default();
    assert!(!doubts.on_documents(ObjectVersion(3)));
    assert!(doubts.on_documents(ObjectVersion(4)));
    assert!(!doubts.on_documents(ObjectVersion(4)));
}

/// A change reaches a router whose watch is dead, at any size, with a few datagrams each.
#[test]
fn nearly_every_router_is_told_by_another_one() {
    let settings = Settings::default();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    for routers in [2, 5, 31, 670] {
        let (rounds, mut untold) = (200, 0);
        for _ in 0..rounds {
            // Each of the others tells a few; this one is index 0 to all of them.
            let mut others = 1..routers;
            let is_told = others.any(|_| {
                let told = watch_doubts::recipients(&settings, routers - 1, &mut rng);
                assert!(told.len() <= settings.fan_out);
                told.contains(&0)
            });
            untold += usize::from(!is_told);
        }
        assert!(untold <= 5, "{untold} of {rounds} with {routers} routers");
    }
    assert!(settings.tolerance < time::Duration::from_secs(1));
}
