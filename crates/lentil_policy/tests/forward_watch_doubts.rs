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
    doubts.on_documents(ObjectVersion(3));
    doubts.on_notice(at(0), ObjectVersion(7));
    doubts.on_answer(at(1));
    assert_eq!(doubts.due_at(), None);
    doubts.on_notice(at(1_000), ObjectVersion(7));
    assert_eq!(doubts.due_at(), None, "a reminder");
    doubts.on_notice(at(1_100), ObjectVersion(8));
    assert!(doubts.due_at().is_some(), "a later version");
    assert!(
        doubts.on_documents(ObjectVersion(7)),
        "it arrives after all"
    );
}

#[test]
fn a_notice_that_comes_during_a_call_is_not_dropped_by_its_answer() {
    let mut doubts = WatchDoubts::default();
    doubts.on_documents(ObjectVersion(5));
    let called_at = at(1_000);
    doubts.on_notice(at(1_200), ObjectVersion(7));
    doubts.on_answer(called_at);
    let due_at = at(1_200) + Settings::default().tolerance;
    assert_eq!(doubts.due_at(), Some(due_at));
    let called_at = at(1_500);
    doubts.on_notice(at(1_501), ObjectVersion(8));
    doubts.on_answer(called_at);
    assert!(doubts.due_at().is_some(), "8 may be newer than the answer");
}

#[test]
fn other_routers_are_told_of_changes_and_not_of_the_first_listing() {
    let mut doubts = WatchDoubts::default();
    assert!(!doubts.on_documents(ObjectVersion(3)));
    assert!(doubts.on_documents(ObjectVersion(4)));
    assert!(!doubts.on_documents(ObjectVersion(4)));
}

#[test]
fn other_routers_are_reminded_of_the_newest_version_also_of_the_first_listing() {
    let mut doubts = WatchDoubts::default();
    assert_eq!(doubts.reminder(), None);
    doubts.on_documents(ObjectVersion(3));
    doubts.on_notice(at(0), ObjectVersion(9));
    assert_eq!(doubts.reminder(), Some(ObjectVersion(3)));
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
                let told = watch_doubts::recipients(settings.fan_out, routers - 1, &mut rng);
                assert!(told.len() <= settings.fan_out);
                told.contains(&0)
            });
            untold += usize::from(!is_told);
        }
        assert!(untold <= 5, "{untold} of {rounds} with {routers} routers");
    }
    assert!(settings.tolerance < time::Duration::from_secs(1));
}

/// A third of the routers get no changes and tell nobody; one datagram in 20 is lost.
#[test]
fn every_router_is_told_within_the_limit_while_a_third_is_away_from_the_store() {
    use rand::RngExt as _;
    const ROUTERS: usize = 26;
    const TELLING: usize = ROUTERS - ROUTERS / 3;
    let settings = Settings::default();
    // The limit is 2 s, less the tolerance and the fetch.
    let reminders = 1.5 / settings.reminder_interval.as_secs_f64();
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(11);
    let (rounds, mut untold) = (5_000, 0);
    for _ in 0..rounds {
        let mut others = 1..TELLING;
        let is_told = others.any(|_| {
            let times = reminders.trunc() as usize + usize::from(rng.random_bool(reminders % 1.0));
            let mut tell = |most| {
                let told = watch_doubts::recipients(most, ROUTERS - 1, &mut rng);
                told.contains(&0) && rng.random_bool(0.95)
            };
            tell(settings.fan_out) || (0..times).any(|_| tell(settings.reminded))
        });
        untold += usize::from(!is_told);
    }
    assert!(untold * 100 <= rounds, "{untold} of {rounds}");
}
