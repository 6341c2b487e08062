//! What runners say of themselves, and what is sent to them then.

use lentil_policy::forward::runners::{
    Announcement, AnnouncementChange, Incarnation, Registration, Runners, Settings, Share,
};
use lentil_types::{Instant, RequestRate, SoftwareVersion};
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

/// The platform counts requests over this time.
const WINDOW_MS: u64 = 4_000;

fn incarnation(name: &str) -> Incarnation {
    Incarnation {
        name: name.parse().unwrap(),
        boot_id: 1,
    }
}

fn registration(name: &str) -> Registration {
    Registration {
        incarnation: incarnation(name),
        address: ([127, 0, 0, 1], name.as_bytes()[0].into()).into(),
        service: "sort".parse().unwrap(),
        place: "here".parse().unwrap(),
        software: SoftwareVersion::default(),
        slots: 4,
        is_leaving: false,
        weights: Vec::new(),
        revision: 1,
    }
}

/// A router that knows runner `a` and how many routers there are.
fn router(routers: usize, rank: usize) -> Runners {
    let mut runners = Runners::new(Settings::default());
    runners.on_list(Instant::ZERO, vec![registration("a")]);
    runners.set_share(Share {
        routers: Some(routers),
        rank,
    });
    runners
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Sends a request to runner `a` if it allows one.
fn send(router: &mut Runners, ms: u64) -> bool {
    router.admit(at(ms), &incarnation("a")).is_some()
}

/// Runner `a` answers a request that was sent at `sent_ms`.
fn answer(router: &mut Runners, ms: u64, sent_ms: u64, limit: Option<f64>) -> bool {
    let said = Announcement {
        limit: limit.map(RequestRate),
        ..Announcement::default()
    };
    let news = router.on_announcement(at(ms), &incarnation("a"), at(sent_ms), &said);
    news.is_notice_due
}

fn notice(router: &mut Runners, ms: u64, limit: Option<f64>) {
    let said = Announcement {
        limit: limit.map(RequestRate),
        ..Announcement::default()
    };
    router.on_announcement_notice(at(ms), &incarnation("a"), &said);
}

/// How many of the requests that a router would like to send are sent.
fn sent_of(router: &mut Runners, times: impl Iterator<Item = u64>) -> usize {
    times.filter(|ms| send(router, *ms)).count()
}

#[test]
fn a_runner_without_a_limit_takes_every_request() {
    let mut router = router(5, 0);
    assert_eq!(sent_of(&mut router, 0..1_000), 1_000);
}

#[test]
fn requests_from_before_a_limit_count() {
    let mut router = router(1, 0);
    assert_eq!(sent_of(&mut router, (0..4_000).step_by(100)), 40);
    answer(&mut router, 4_000, 3_990, Some(5.0));
    // 18 of the 20 that the limit allows in 4 s; 40 were sent.
    assert_eq!(sent_of(&mut router, (4_000..6_200).step_by(10)), 0);
    assert_eq!(sent_of(&mut router, (6_200..6_400).step_by(10)), 2);
}

#[test]
fn a_limit_ends_when_the_runner_names_none() {
    let mut router = router(1, 0);
    assert!(answer(&mut router, 100, 90, Some(1.0)));
    assert_eq!(sent_of(&mut router, 100..1_000), 3);
    assert!(
        !answer(&mut router, 1_000, 95, None),
        "an older request's answer"
    );
    assert!(!send(&mut router, 1_001));
    assert!(answer(&mut router, 1_200, 1_100, None));
    assert_eq!(sent_of(&mut router, 1_200..1_300), 100);
}

#[test]
fn a_limit_that_nobody_names_again_expires() {
    let mut router = router(1, 0);
    answer(&mut router, 0, 0, Some(1.0));
    assert_eq!(sent_of(&mut router, 11_000..11_900), 3);
    assert_eq!(sent_of(&mut router, 12_000..12_500), 500);
}

#[test]
fn routers_pass_on_limits_and_their_ends_but_not_every_answer() {
    let mut first = router(2, 0);
    let mut second = router(2, 1);
    assert!(answer(&mut first, 0, 0, Some(5.0)));
    notice(&mut second, 1, Some(5.0));
    for ms in (10..2_900).step_by(10) {
        assert!(!answer(&mut first, ms, ms - 5, Some(5.0)), "unchanged");
        assert!(!answer(&mut second, ms, ms - 5, Some(5.0)), "unchanged");
    }
    assert!(answer(&mut first, 3_100, 3_090, Some(5.0)), "told again");
    notice(&mut second, 3_101, Some(5.0));
    assert!(
        !answer(&mut second, 3_110, 3_100, Some(5.0)),
        "by one of them"
    );
    assert!(sent_of(&mut second, 3_110..3_300) <= 9);
    assert!(answer(&mut first, 3_400, 3_300, None));
    notice(&mut second, 3_401, None);
    assert_eq!(sent_of(&mut second, 3_401..3_501), 100);
}

#[test]
fn a_router_that_does_not_know_the_others_sends_one_request() {
    let mut router = router(1, 0);
    router.set_share(Share::UNKNOWN);
    answer(&mut router, 0, 0, Some(50.0));
    assert_eq!(sent_of(&mut router, 0..3_900), 1);
}

#[test]
fn a_restarted_runner_has_no_limit() {
    let mut router = router(1, 0);
    answer(&mut router, 0, 0, Some(0.1));
    assert_eq!(sent_of(&mut router, 0..100), 1);
    let restarted = Registration {
        incarnation: Incarnation {
            boot_id: 2,
            ..incarnation("a")
        },
        ..registration("a")
    };
    router.on_registration(at(100), restarted.clone());
    assert!(
        router.admit(at(100), &incarnation("a")).is_none(),
        "another life"
    );
    let admitted = (100..200).filter(|ms| router.admit(at(*ms), &restarted.incarnation).is_some());
    assert_eq!(admitted.count(), 100);
}

#[test]
fn a_runner_that_leaves_gets_nothing_until_it_starts_again() {
    let mut first = router(2, 0);
    let mut second = router(2, 1);
    let said = Announcement {
        is_leaving: true,
        ..Announcement::default()
    };
    let news = first.on_announcement(at(100), &incarnation("a"), at(90), &said);
    assert_eq!(news.changes, [AnnouncementChange::Leaving]);
    assert!(news.is_notice_due);
    second.on_announcement_notice(at(101), &incarnation("a"), &said);
    // The answer to an older request, made before the runner began to leave.
    answer(&mut first, 120, 80, None);
    for router in [&mut first, &mut second] {
        assert_eq!(sent_of(router, 120..400), 0);
        assert!(router.usable(at(400), &"sort".parse().unwrap()).is_empty());
        let restarted = Registration {
            incarnation: Incarnation {
                boot_id: 2,
                ..incarnation("a")
            },
            ..registration("a")
        };
        router.on_registration(at(400), restarted.clone());
        assert!(router.admit(at(400), &restarted.incarnation).is_some());
    }
}

#[rstest]
#[case(1_500, 1_500)]
#[case(0, 0)]
// Days: a request asks again after a minute.
#[case(200_000_000, 60_000)]
fn a_runner_gets_nothing_until_its_retry_after_has_passed(#[case] named: u64, #[case] closed: u64) {
    let mut router = router(5, 0);
    let said = Announcement {
        retry_after: Some(std::time::Duration::from_millis(named)),
        ..Announcement::default()
    };
    let news = router.on_announcement(at(100), &incarnation("a"), at(90), &said);
    assert!(!news.is_notice_due, "it is meant for this router only");
    assert_eq!(sent_of(&mut router, 100..100 + closed), 0);
    assert_eq!(sent_of(&mut router, 100 + closed..200 + closed), 100);
    // A later answer does not shorten it.
    let mut router = self::router(5, 0);
    router.on_announcement(at(0), &incarnation("a"), at(0), &said);
    answer(&mut router, 10, 5, None);
    assert_eq!(sent_of(&mut router, 10..closed), 0);
}

#[rstest]
fn the_parts_of_all_routers_add_up_to_the_limit(
    #[values(1, 2, 5, 37, 103, 300)] routers: usize,
    #[values(0.01, 0.3, 1.0, 3.6, 7.3, 59.0, 200.0)] rate: f64,
) {
    let mut sum = 0;
    for rank in 0..routers {
        let mut one = router(routers, rank);
        answer(&mut one, 0, 0, Some(rate));
        sum += sent_of(&mut one, (0..WINDOW_MS).step_by(5));
    }
    let allowed = rate * WINDOW_MS as f64 / 1e3;
    // One request shows when the limit ends.
    assert!(sum as f64 <= allowed.max(1.0), "{sum} of {allowed}");
    assert!(
        sum as f64 >= (allowed * 0.9).floor().max(1.0),
        "{sum} of {allowed}"
    );
}

/// Plays routers with different shares of the demand, twice what the runner takes. Some
/// start late, and do not know the others; some lose every notice; one is cut off from
/// the others and the agents, and they forget each other. Returns the largest number of requests in a window that
/// ends 3 s after the limit was named or later, and how many were sent in all after it.
fn play(seed: u64, routers: usize, rate: f64) -> (usize, usize) {
    const NAMED_MS: u64 = 5_000;
    const END_MS: u64 = 25_000;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut all: Vec<_> = (0..routers).map(|rank| router(routers, rank)).collect();
    let weights: Vec<f64> = (0..routers).map(|_| rng.random_range(0.1..1.0)).collect();
    let weight: f64 = weights.iter().sum();
    let is_deaf: Vec<bool> = (0..routers).map(|_| rng.random::<f64>() < 0.2).collect();
    let restarts_at = rng.random_range(8_000..20_000);
    let cut_at = rng.random_range(8_000..12_000);
    let mut sent = Vec::new();
    for ms in 0..END_MS {
        if ms == restarts_at {
            all[0] = router(routers, 0);
            all[0].set_share(Share::UNKNOWN);
        }
        if ms == restarts_at + 1_000 {
            all[0].set_share(Share {
                routers: Some(routers),
                rank: 0,
            });
        }
        if ms == cut_at + 12_000 && routers > 1 {
            // The others forget the last one, which hears of no router any more.
            for (rank, one) in all[..routers - 1].iter_mut().enumerate() {
                one.set_share(Share {
                    routers: Some(routers - 1),
                    rank,
                });
            }
            all[routers - 1].set_share(Share::UNKNOWN);
        }
        let limit = (ms >= NAMED_MS).then_some(rate);
        for index in 0..routers {
            let demand = 2.0 * rate * weights[index] / weight / 1e3;
            if rng.random::<f64>() >= demand || !send(&mut all[index], ms) {
                continue;
            }
            sent.push(ms);
            // Answered 20 ms later; the runner names its limit at the time of the answer.
            if answer(&mut all[index], ms + 20, ms, limit) {
                for other in (0..routers).filter(|other| *other != index) {
                    let is_cut = routers > 1
                        && ms >= cut_at
                        && (index == routers - 1 || other == routers - 1);
                    if !is_deaf[other] && !is_cut {
                        notice(&mut all[other], ms + 21, limit);
                    }
                }
            }
        }
    }
    let in_window = |end: &u64| {
        sent.iter()
            .filter(|ms| **ms <= *end && end - **ms < WINDOW_MS)
            .count()
    };
    let late = sent.iter().filter(|ms| **ms >= NAMED_MS + 3_000);
    let most = late.map(in_window).max().unwrap_or(0);
    let after = sent.iter().filter(|ms| **ms >= NAMED_MS + 4_000).count();
    (most, after)
}

/// The load: more than an overloaded runner takes, at few and at many routers.
#[rstest]
#[case(1, 5.0)]
#[case(5, 3.6)]
#[case(5, 7.3)]
#[case(5, 60.0)]
#[case(103, 3.6)]
#[case(103, 30.0)]
fn routers_keep_to_a_runners_limit_together(#[case] routers: usize, #[case] rate: f64) {
    for seed in 0..20 {
        let (most, after) = play(seed, routers, rate);
        // The platform's bound.
        let bound = (1.5 * rate * WINDOW_MS as f64 / 1e3 + 5.0) as usize;
        assert!(most <= bound, "seed {seed}: {most} of {bound} in 4 s");
        // Its capacity is used, as far as requests arrive where the parts are.
        let share = after as f64 / (rate * 16.0);
        assert!(
            routers > 5 || share > 0.5,
            "seed {seed}: {share} of the limit used"
        );
    }
}

/// Seeds of the search, not used for tuning.
const SEARCH_SEEDS: std::ops::Range<u64> = 0..5_000;

/// What one runner has done and announced, besides what the router knows of it.
#[derive(Clone, Default)]
struct ActualRunner {
    boot_id: u64,
    /// Whether the router was told that this incarnation leaves, by its answer or by its
    /// registration.
    leaves: bool,
    blocked_until: u64,
    limit: Option<f64>,
    /// When the router was told of the limit.
    limited_at: u64,
    /// Requests of the router to this incarnation.
    sent: Vec<u64>,
}

/// Plays random announcements of three runners, restarts, and losses of the store with lists of
/// older copies. After each event the router asks every runner for a permit.
fn search(seed: u64) {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let routers = rng.random_range(1..6);
    let share = Share {
        routers: Some(routers),
        rank: rng.random_range(0..routers),
    };
    let mut router = Runners::new(Settings::default());
    router.set_share(share);
    let mut actual = vec![ActualRunner::default(); NAMES.len()];
    let named = |index: usize, boot_id| Registration {
        incarnation: Incarnation {
            name: NAMES[index].parse().unwrap(),
            boot_id,
        },
        ..registration(NAMES[index])
    };
    let all = |actual: &[ActualRunner]| -> Vec<_> {
        let runners = actual.iter().enumerate();
        runners
            .map(|(index, runner)| named(index, runner.boot_id))
            .collect()
    };
    router.on_list(Instant::ZERO, all(&actual));
    // Registrations of an older copy, all of them ready.
    let mut copy = all(&actual);
    let mut ms = 0;
    for _ in 0..80 {
        ms += rng.random_range(1..900);
        let index = rng.random_range(0..NAMES.len());
        let incarnation = named(index, actual[index].boot_id).incarnation;
        let runner = &mut actual[index];
        let mut said = Announcement {
            limit: runner.limit.map(RequestRate),
            ..Announcement::default()
        };
        match rng.random_range(0..9) {
            0 => {
                runner.limit = Some(rng.random_range(0.1..20.0));
                runner.limited_at = ms;
                said.limit = runner.limit.map(RequestRate);
                router.on_announcement(at(ms), &incarnation, at(ms), &said);
            }
            1 => {
                runner.limit = None;
                said.limit = None;
                router.on_announcement(at(ms), &incarnation, at(ms), &said);
            }
            2 => {
                let closed_ms = rng.random_range(0..3_000);
                runner.blocked_until = runner.blocked_until.max(ms + closed_ms);
                said.retry_after = Some(std::time::Duration::from_millis(closed_ms));
                router.on_announcement(at(ms), &incarnation, at(ms), &said);
            }
            3 if rng.random_bool(0.3) => {
                runner.leaves = true;
                said.is_leaving = true;
                router.on_announcement(at(ms), &incarnation, at(ms), &said);
            }
            4 if rng.random_bool(0.3) => {
                runner.leaves = true;
                let draining = Registration {
                    is_leaving: true,
                    ..named(index, runner.boot_id)
                };
                router.on_registration(at(ms), draining);
                if rng.random_bool(0.5) {
                    router.on_removed(at(ms), NAMES[index]);
                }
            }
            5 if rng.random_bool(0.3) => {
                *runner = ActualRunner {
                    boot_id: runner.boot_id + 1,
                    ..ActualRunner::default()
                };
                router.on_registration(at(ms), named(index, runner.boot_id));
            }
            6 => copy = all(&actual),
            7 => {
                router.on_store_restored();
                router.on_list(at(ms), copy.clone());
                router.on_store_answer(at(ms));
                // Runners that live write their registrations again.
                for (index, runner) in actual.iter().enumerate() {
                    let again = Registration {
                        is_leaving: runner.leaves,
                        ..named(index, runner.boot_id)
                    };
                    if rng.random_bool(0.5) {
                        router.on_registration(at(ms + 1), again);
                    }
                }
            }
            _ => {}
        }
        ask(seed, &mut rng, &mut router, &mut actual, ms + 2);
        router.tick(at(ms + 3));
    }
}

/// Asks for permits at each runner and checks those that are given.
fn ask(
    seed: u64,
    rng: &mut rand_pcg::Pcg64Mcg,
    router: &mut Runners,
    actual: &mut [ActualRunner],
    ms: u64,
) {
    for (name, runner) in ["a", "b", "c"].into_iter().zip(actual) {
        let incarnation = Incarnation {
            name: name.parse().unwrap(),
            boot_id: runner.boot_id,
        };
        for _ in 0..rng.random_range(0..4) {
            let is_usable = router
                .usable(at(ms), &"sort".parse().unwrap())
                .iter()
                .any(|usable| usable.registration.incarnation == incarnation);
            if !is_usable || router.admit(at(ms), &incarnation).is_none() {
                continue;
            }
            runner.sent.push(ms);
            assert!(!runner.leaves, "seed {seed}: {name} leaves at {ms} ms");
            assert!(
                ms >= runner.blocked_until,
                "seed {seed}: {name} is to get nothing at {ms} ms"
            );
            // A limit that is not named again for 12 s is over.
            if let Some(limit) = runner.limit.filter(|_| ms < runner.limited_at + 12_000) {
                let sent = runner
                    .sent
                    .iter()
                    .filter(|at| ms - **at < WINDOW_MS)
                    .count();
                let allowed = (limit * WINDOW_MS as f64 / 1e3).max(1.0);
                assert!(
                    sent as f64 <= allowed,
                    "seed {seed}: {sent} of {allowed} to {name}"
                );
            }
        }
    }
}

#[test]
fn no_request_goes_against_what_a_runner_announced() {
    SEARCH_SEEDS.for_each(search);
}
