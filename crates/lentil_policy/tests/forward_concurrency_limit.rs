//! The learned limit on a router's requests at one runner.

use lentil_policy::forward::concurrency_limit::{ConcurrencyLimit, Rejection, RejectionKind};
use lentil_types::Instant;
use rstest::rstest;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Guards against a limit where no runner has rejected anything.
#[test]
fn nothing_is_limited_until_the_first_rejection() {
    let mut limit = ConcurrencyLimit::default();
    limit.on_answered();
    assert!(limit.allows(100_000));
    assert_eq!(limit.limit(), None);
}

/// Guards against a limit that shuts a runner out, or falls by several steps for the
/// rejections of one moment.
#[test]
fn a_rejection_lowers_the_limit_once_and_never_below_one() {
    let mut limit = ConcurrencyLimit::default();
    assert!(limit.on_rejected(at(10), at(5), 20));
    assert_eq!(limit.limit(), Some(14));
    assert!(!limit.on_rejected(at(11), at(6), 19), "sent before that");
    assert!(limit.allows(13));
    assert!(!limit.allows(14));
    for ms in 12..40 {
        limit.on_rejected(at(ms), at(ms), 20);
    }
    assert_eq!(limit.limit(), Some(1));
    assert!(limit.allows(0));
    assert!(!limit.allows(1));
}

/// Guards against a limit that stays low after the runner has room again.
#[test]
fn answers_raise_the_limit_by_one_for_each_round() {
    let mut limit = ConcurrencyLimit::default();
    limit.on_rejected(at(10), at(5), 10);
    (0..8).for_each(|_| limit.on_answered());
    assert_eq!(limit.limit(), Some(8));
    (0..200).for_each(|_| limit.on_answered());
    assert!(limit.allows(19), "{limit:?}");
}

/// Routers with different numbers of requests share a runner of 24 slots. Guards
/// against a router that keeps most of them, and against empty slots.
#[test]
fn routers_approach_equal_shares_of_a_runner() {
    const SLOTS: u32 = 24;
    let mut limits = [ConcurrencyLimit::default(); 4];
    let mut in_flight = [20u32, 4, 0, 0];
    let (mut used, mut rounds) = ([0; 4], 0);
    for round in 0..4_000u64 {
        for i in 0..4 {
            let now = at(round * 10 + i as u64);
            while limits[i].allows(in_flight[i]) {
                let is_full = in_flight.iter().sum::<u32>() >= SLOTS;
                if is_full {
                    limits[i].on_rejected(now, now, in_flight[i] + 1);
                    break;
                }
                in_flight[i] += 1;
            }
        }
        if round >= 2_000 {
            (0..4).for_each(|i| used[i] += in_flight[i]);
            rounds += 1;
        }
        // The longest-running request of one router ends.
        let i = (round % 4) as usize;
        if in_flight[i] > 0 {
            in_flight[i] -= 1;
            limits[i].on_answered();
        }
    }
    let total: u32 = used.iter().sum();
    assert!(total >= rounds * SLOTS * 4 / 5, "{used:?}");
    assert!(used.iter().all(|used| *used >= total / 8), "{used:?}");
}

/// Guards against a limit that falls for rejections that say nothing about room.
#[rstest]
#[case(503, false, None, false, RejectionKind::Full)]
#[case(503, true, None, false, RejectionKind::Deferred)]
#[case(503, false, None, true, RejectionKind::ChangingWeights)]
#[case(421, false, None, false, RejectionKind::WrongRunner)]
#[case(421, false, Some(false), false, RejectionKind::WrongRunner)]
#[case(421, false, Some(true), false, RejectionKind::WrongVersion)]
#[case(408, false, None, false, RejectionKind::Deadline)]
#[case(429, false, None, false, RejectionKind::Other)]
fn rejections_are_told_apart(
    #[case] status: u16,
    #[case] has_retry: bool,
    #[case] is_own: Option<bool>,
    #[case] is_changing: bool,
    #[case] kind: RejectionKind,
) {
    let rejection = Rejection {
        status,
        has_retry,
        is_own,
        names_weights: false,
        is_changing,
    };
    assert_eq!(rejection.kind(), kind);
}

// A runner with other weights than a request names was taken for another one.
#[rstest]
#[case::another_name(421, Some(false), true, true)]
#[case::its_own_name(421, Some(true), true, false)]
#[case::no_name_and_no_weights(421, None, false, true)]
#[case::no_name_but_weights(421, None, true, false)]
#[case::another_status(503, Some(false), false, false)]
fn only_some_rejections_prove_another_runner(
    #[case] status: u16,
    #[case] is_own: Option<bool>,
    #[case] names_weights: bool,
    #[case] is_by_other: bool,
) {
    let rejection = Rejection {
        status,
        has_retry: false,
        is_own,
        names_weights,
        is_changing: false,
    };
    assert_eq!(rejection.is_by_other(), is_by_other);
}
