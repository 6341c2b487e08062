//! Status reports of agents to routers, and saves to the cache store.

use std::time;

use lentil_policy::forward::{
    routing::{CacheStore, Engine},
    runners::{SegmentKey, SegmentUpdate, Segments, Status},
    save_budget::{self, SaveBudget},
    silence_watch::{self, SilenceWatch},
    status_schedule::{self, Settings, StatusSchedule},
};
use lentil_types::{Instant, Tokens, WeightsVersion};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn status(running: u32, is_changing: bool) -> Status {
    Status {
        weights: vec![("m".parse().unwrap(), WeightsVersion(1))],
        running,
        is_changing,
        ..Status::default()
    }
}

fn keys(numbers: std::ops::Range<u64>) -> Vec<SegmentKey> {
    numbers.map(SegmentKey).collect()
}

#[test]
fn status_reports_stay_within_the_byte_rate_for_any_number_of_routers() {
    for routers in [5, 31, 84] {
        let settings = Settings::default();
        let mut schedule = StatusSchedule::new(settings);
        let mut sent = 0;
        for step in 0..6_000u32 {
            let now = at(u64::from(step) * 10);
            if schedule
                .next_status(now, status(step, false), &[])
                .is_some()
            {
                sent += 100 * routers;
                schedule.on_sent(100 * routers);
            }
        }
        let most = 60.0 * settings.byte_rate + settings.burst_bytes + 100.0 * routers as f64;
        assert!(
            sent as f64 <= most,
            "{sent} bytes to {routers} routers in a minute"
        );
        assert!(
            sent as f64 >= most / 2.0,
            "{sent} bytes are less than half of {most}"
        );
    }
}

#[test]
fn a_change_of_weights_is_reported_at_once() {
    let mut schedule = StatusSchedule::new(Settings::default());
    assert!(schedule.next_status(at(0), status(0, false), &[]).is_some());
    schedule.on_sent(1_000_000);
    assert!(
        schedule
            .next_status(at(10), status(1, false), &[])
            .is_none(),
        "no budget remains"
    );
    assert!(schedule.next_status(at(20), status(1, true), &[]).is_some());
    assert!(
        schedule
            .next_status(at(30), status(1, false), &[])
            .is_some()
    );
}

#[test]
fn an_unchanged_status_is_reported_once_per_period() {
    let settings = Settings::default();
    let mut schedule = StatusSchedule::new(settings);
    let reports = (0..1_000).filter(|step| {
        schedule
            .next_status(at(step * 10), status(0, false), &[])
            .is_some()
    });
    let periods = time::Duration::from_secs(10).as_millis() / settings.period.as_millis();
    assert_eq!(reports.count() as u128, periods);
}

#[test]
fn routers_follow_segment_changes_and_recover_from_lost_ones() {
    let mut schedule = StatusSchedule::new(Settings::default());
    let mut segments = Segments::default();
    let mut now = 0;
    let mut report = |schedule: &mut StatusSchedule, held: &[SegmentKey]| {
        now += 2_000;
        (
            at(now),
            schedule
                .next_status(at(now), status(0, false), held)
                .unwrap()
                .segments,
        )
    };
    let (when, update) = report(&mut schedule, &keys(0..3));
    assert!(
        matches!(update, SegmentUpdate::Full { .. }),
        "the first report is complete"
    );
    segments.on_update(when, &update);
    let (when, update) = report(&mut schedule, &keys(1..4));
    assert!(matches!(update, SegmentUpdate::Delta { .. }));
    segments.on_update(when, &update);
    assert!(segments.holds(SegmentKey(3)) && !segments.holds(SegmentKey(0)));
    let (_, lost) = report(&mut schedule, &keys(2..5));
    assert!(matches!(lost, SegmentUpdate::Delta { .. }));
    // A complete list is sent every few seconds.
    let (when, update) = loop {
        let (when, update) = report(&mut schedule, &keys(2..5));
        if update != SegmentUpdate::Unchanged {
            break (when, update);
        }
    };
    segments.on_update(when, &update);
    let held = (0..8).filter(|key| segments.holds(SegmentKey(*key)));
    assert_eq!(held.collect::<Vec<_>>(), [2, 3, 4]);
    schedule.on_new_router();
    let (_, update) = report(&mut schedule, &keys(2..5));
    assert!(
        matches!(update, SegmentUpdate::Full { .. }),
        "a new router has no segments yet"
    );
}

#[test]
fn a_change_that_arrives_late_has_no_effect() {
    let mut segments = Segments::default();
    let full = SegmentUpdate::Full {
        number: 5,
        keys: keys(0..2),
    };
    segments.on_update(at(1), &full);
    let late = SegmentUpdate::Delta {
        number: 4,
        added: keys(7..8),
        dropped: keys(0..1),
    };
    segments.on_update(at(2), &late);
    assert!(segments.holds(SegmentKey(0)) && !segments.holds(SegmentKey(7)));
}

fn store() -> CacheStore {
    CacheStore {
        address: "10.0.0.1:80".parse().unwrap(),
        place: "here".parse().unwrap(),
        link_rate: 1e9,
    }
}

#[test]
fn saves_of_all_routers_stay_within_their_share_of_the_link() {
    let settings = save_budget::Settings::default();
    let (routers, bytes) = (5, 1e8);
    let mut saved = 0.0;
    for _ in 0..routers {
        let mut budget = SaveBudget::new(settings);
        let granted = (0..6_000u64)
            .filter(|step| budget.try_take(at(step * 10), store().link_rate, bytes, None, routers));
        saved += granted.count() as f64 * bytes;
    }
    let share = 60.0 * store().link_rate * settings.link_share;
    assert!(saved <= share * 1.05, "{saved} of {share}");
    assert!(saved >= share * 0.8, "{saved} of {share}");
}

#[test]
fn segments_are_not_saved_under_weights_that_are_a_new_target() {
    let settings = save_budget::Settings::default();
    let mut budget = SaveBudget::new(settings);
    let now = at(60_000);
    let young = settings.weights_age / 2;
    assert!(!budget.try_take(now, store().link_rate, 1e8, Some(young), 1));
    assert!(budget.try_take(now, store().link_rate, 1e8, Some(settings.weights_age), 1));
}

#[test]
fn the_size_of_a_segment_follows_from_its_tokens() {
    let engine = Engine {
        token_bytes: 160_000.0,
        ..Engine::default()
    };
    assert_eq!(save_budget::segment_bytes(&engine, Tokens(10)), 1_600_000.0);
}

/// All routers of a fleet of 103 in one report did not fit a packet. No report was sent,
/// and each router believed that it was the only one.
#[test]
fn routers_of_a_large_fleet_are_reported_in_parts() {
    let routers: Vec<_> = (0..103).collect();
    let mut reported: Vec<i32> = Vec::new();
    for part in 0..5 {
        let first = 70 + part * status_schedule::MAX_ROUTERS;
        let part = status_schedule::routers_part(&routers, first);
        assert!(part.len() <= status_schedule::MAX_ROUTERS);
        reported.extend(part);
    }
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported, routers);
    assert!(status_schedule::routers_part::<i32>(&[], 3).is_empty());
    assert_eq!(status_schedule::routers_part(&[1, 2], 3), [2, 1]);
}

#[test]
fn routers_are_told_of_a_silent_runner_until_it_answers() {
    let settings = silence_watch::Settings::default();
    let mut watch = SilenceWatch::new(settings);
    assert!(!watch.on_report(at(10_000)));
    let notices = |watch: &mut SilenceWatch, from: u64, to: u64| {
        let due = (from..to).step_by(100);
        due.filter(|ms| watch.due_notice(at(*ms)).is_some()).count()
    };
    assert_eq!(
        notices(&mut watch, 10_000, 10_400),
        0,
        "a report may be late"
    );
    assert_eq!(notices(&mut watch, 10_400, 13_400), 3);
    assert!(watch.is_silent());
    assert!(watch.on_report(at(13_400)), "it was silent before");
    assert!(!watch.is_silent());
    assert_eq!(watch.due_notice(at(13_500)), None);
}
