//! Calls to the store that stay open while others are made.

use std::time;

use lentil_policy::{
    forward::open_calls::{OpenCalls, Settings},
    store::ObjectVersion,
};
use lentil_types::Instant;

const AFTER: Option<ObjectVersion> = Some(ObjectVersion(5));
const WATCH: time::Duration = time::Duration::from_secs(3);
const PROBE: time::Duration = time::Duration::ZERO;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_watch_stays_open_beside_the_calls_that_doubt_it() {
    let mut calls = OpenCalls::default();
    let watch = calls.on_call(at(0), WATCH, AFTER);
    let probe = calls.on_call(at(300), PROBE, AFTER);
    assert_eq!(calls.get(watch.id), Some(&watch));
    assert_eq!(
        calls.overdue_at(),
        Some(at(300) + Settings::default().overdue)
    );
    assert!(calls.on_failure(probe.id), "another call replaces it");
    assert_eq!(calls.newest(), Some(&watch));
}

#[test]
fn a_call_that_fails_after_a_newer_one_began_is_not_replaced() {
    let mut calls = OpenCalls::default();
    let first = calls.on_call(at(0), PROBE, AFTER);
    let second = calls.on_call(at(900), PROBE, AFTER);
    assert!(!calls.on_failure(first.id));
    assert_eq!(calls.newest(), Some(&second));
}

#[test]
fn an_answer_ends_earlier_calls_and_those_after_another_version() {
    let mut calls = OpenCalls::default();
    let watch = calls.on_call(at(0), WATCH, AFTER);
    let probe = calls.on_call(at(300), PROBE, AFTER);
    let other = calls.on_call(at(1_200), PROBE, AFTER);
    calls.on_answer(probe.id, AFTER);
    assert_eq!(calls.get(watch.id), None);
    assert_eq!(calls.newest(), Some(&other));
    let later = calls.on_call(at(1_300), PROBE, AFTER);
    calls.on_answer(other.id, Some(ObjectVersion(6)));
    assert_eq!(calls.get(later.id), None);
}

#[test]
fn the_number_of_open_calls_is_bounded() {
    let mut calls = OpenCalls::default();
    let ids: Vec<_> = (0..10)
        .map(|number| calls.on_call(at(number * 900), PROBE, AFTER).id)
        .collect();
    let open = ids.iter().filter(|id| calls.get(**id).is_some());
    assert_eq!(open.count(), Settings::default().most);
    assert_eq!(calls.newest().map(|call| call.id), ids.last().copied());
}

#[test]
fn a_listing_may_take_longer_than_a_call_for_changes() {
    let mut calls = OpenCalls::default();
    calls.on_call(at(0), PROBE, None);
    assert_eq!(
        calls.overdue_at(),
        Some(at(0) + Settings::default().list_overdue)
    );
}

#[test]
fn an_overdue_answer_tells_only_that_the_store_was_there_when_it_was_called() {
    let mut calls = OpenCalls::default();
    let call = calls.on_call(at(1_000), WATCH, AFTER);
    assert_eq!(calls.answered_at(&call, at(4_000)), at(4_000));
    assert_eq!(calls.answered_at(&call, at(4_800)), at(1_000));
}
