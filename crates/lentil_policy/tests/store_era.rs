//! Versions across losses of the store.

use lentil_policy::store_era::{self, EraTracker, Outdated};
use rstest::rstest;

#[rstest]
#[case(0, 0)]
#[case(0, 7)]
#[case(3, 7)]
#[case(8_000, (1 << 40) - 1)]
fn a_version_holds_its_era_and_revision(#[case] era: u64, #[case] revision: u64) {
    let version = store_era::version(era, revision);
    assert_eq!(store_era::era(version), era);
    assert_eq!(store_era::revision(version), revision);
    // Fencing numbers are sent as JSON numbers.
    assert!(version.0 < 1 << 53);
}

#[test]
fn versions_grow_although_revisions_go_back() {
    assert!(store_era::version(2, 5) > store_era::version(1, 900));
    assert!(store_era::version(1, 1) > store_era::version(0, 900));
}

#[test]
fn an_answer_of_an_earlier_era_that_arrives_late_is_outdated() {
    let mut tracker = EraTracker::default();
    let first = tracker.on_answer(Some(4));
    assert_eq!(first.risen_from, None, "the first era that is named");
    let listed = store_era::version(first.era, 100);
    assert_eq!(tracker.check_version(listed), Ok(()));
    assert_eq!(tracker.on_answer(Some(5)).risen_from, Some(4));
    // On another connection, and after a second loss.
    for _ in 0..2 {
        let late = tracker.on_answer(Some(4));
        assert_eq!(late.risen_from, None);
        assert_eq!(tracker.check_era(late.era), Err(Outdated));
        assert_eq!(tracker.check_version(listed), Err(Outdated));
        tracker.on_answer(Some(6));
    }
    assert_eq!(tracker.check_era(6), Ok(()));
}

#[test]
fn an_answer_without_an_era_belongs_to_the_newest() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.on_answer(None).era, 0);
    tracker.on_answer(Some(2));
    let answer = tracker.on_answer(None);
    assert_eq!(answer.era, 2);
    assert_eq!(tracker.check_era(answer.era), Ok(()));
}

/// The store names its era only from the first loss on.
#[test]
fn versions_from_before_the_first_named_era_are_outdated() {
    let mut tracker = EraTracker::default();
    let listed = store_era::version(tracker.on_answer(None).era, 9);
    tracker.on_answer(Some(1));
    assert_eq!(tracker.check_version(listed), Err(Outdated));
}
