//! Weights updates, rollouts and backlogs of an agent's runner.

use std::time;

use lentil_policy::forward::{
    backlog::{Backlog, LongPrompt, RequestHash, Run},
    rollout_schedule::{self, RolloutPosition, RolloutSchedule},
    weights_update::{Order, Report, Settings, WeightsUpdater},
};
use lentil_types::{Instant, ModelName, Tokens, WeightsVersion};

const TARGET_AGE: time::Duration = time::Duration::ZERO;

fn model() -> ModelName {
    "model".parse().unwrap()
}

fn report(version: u32) -> Report {
    Report {
        boot_id: 1,
        weights: vec![(model(), WeightsVersion(version))],
        ..Report::default()
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Reports and ticks every 10 ms until an order is given.
fn next_order(updater: &mut WeightsUpdater, from: u64, report: &Report) -> (u64, Order) {
    for ms in (from..from + 10_000).step_by(10) {
        updater.on_report(at(ms), report.clone());
        if let Some(order) = updater.tick(at(ms)) {
            return (ms, order);
        }
    }
    panic!("no order within 10 s");
}

#[test]
fn the_change_is_reported_to_routers_before_the_order() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_report(at(0), report(1));
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    assert_eq!(updater.tick(at(0)), None);
    assert!(updater.is_changing(), "reported to the routers first");
    let (when, order) = next_order(&mut updater, 10, &report(1));
    assert!(at(when).since(at(0)) >= Settings::default().announce_delay);
    assert_eq!(order.version, WeightsVersion(2));
}

#[test]
fn running_requests_get_a_limited_time_to_finish() {
    let settings = Settings::default();
    let mut updater = WeightsUpdater::new(settings);
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let busy = Report {
        running: 2,
        ..report(1)
    };
    let (when, _) = next_order(&mut updater, 0, &busy);
    let waited = at(when).since(at(0));
    assert!(waited >= settings.drain_timeout && waited <= settings.drain_timeout * 2);
}

#[test]
fn an_order_has_the_sequence_of_the_last_report() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let shown = Report {
        sequence: 41,
        ..report(1)
    };
    assert_eq!(next_order(&mut updater, 0, &shown).1.sequence, 41);
}

#[test]
fn an_order_is_not_repeated_while_it_is_carried_out() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let (when, _) = next_order(&mut updater, 0, &report(1));
    let busy = Report {
        is_updating: true,
        sequence: 1,
        ..report(1)
    };
    for ms in (when..when + 5_000).step_by(20) {
        updater.on_report(at(ms), busy.clone());
        assert_eq!(updater.tick(at(ms)), None);
    }
    updater.on_report(at(when + 5_000), report(2));
    assert_eq!(updater.tick(at(when + 5_000)), None);
    assert!(!updater.is_changing());
}

#[test]
fn an_order_without_effect_is_repeated_after_the_retry_interval() {
    let settings = Settings::default();
    let mut updater = WeightsUpdater::new(settings);
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let (first, _) = next_order(&mut updater, 0, &report(1));
    let (second, _) = next_order(&mut updater, first + 10, &report(1));
    assert!(at(second).since(at(first)) >= settings.retry_interval);
}

#[test]
fn a_version_that_is_replaced_before_the_order_is_not_loaded() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_position(RolloutPosition { rank: 5, count: 6 });
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    updater.on_report(at(10), report(1));
    assert_eq!(updater.tick(at(10)), None);
    updater.on_target(at(20), &model(), WeightsVersion(3), TARGET_AGE);
    let (_, order) = next_order(&mut updater, 30, &report(1));
    assert_eq!(order.version, WeightsVersion(3));
    assert!(!updater.on_target(at(40), &model(), WeightsVersion(2), TARGET_AGE));
}

#[test]
fn an_old_report_causes_no_order() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_report(at(0), report(1));
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    for ms in (600..5_000).step_by(50) {
        assert_eq!(
            updater.tick(at(ms)),
            None,
            "the report is too old, as after a long freeze"
        );
    }
}

#[test]
fn a_runner_that_restarted_is_ordered_again() {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let (when, _) = next_order(&mut updater, 0, &report(1));
    let restarted = Report {
        boot_id: 2,
        ..report(1)
    };
    updater.on_report(at(when + 10), restarted.clone());
    assert!(!updater.is_changing());
    assert_eq!(
        next_order(&mut updater, when + 20, &restarted).1.version,
        WeightsVersion(2)
    );
}

#[test]
fn one_group_of_runners_changes_at_once() {
    let settings = rollout_schedule::Settings::default();
    let schedule = RolloutSchedule::new(settings);
    let count = 18;
    let delays = (0..count).map(|rank| schedule.delay(RolloutPosition { rank, count }));
    let mut delays: Vec<_> = delays.collect();
    delays.dedup();
    assert_eq!(delays.len(), settings.groups as usize);
    assert_eq!(delays[0], time::Duration::ZERO);
    assert!(delays.iter().all(|delay| *delay <= settings.max_wait));
}

#[test]
fn slow_loads_lengthen_the_delay_up_to_a_limit() {
    let settings = rollout_schedule::Settings::default();
    let mut schedule = RolloutSchedule::new(settings);
    let last = RolloutPosition { rank: 8, count: 9 };
    let before = schedule.delay(last);
    schedule.on_loaded(time::Duration::from_secs(2));
    assert!(schedule.delay(last) > before);
    (0..50).for_each(|_| schedule.on_loaded(time::Duration::from_secs(20)));
    assert_eq!(schedule.delay(last), settings.max_wait);
}

#[test]
fn no_runner_is_always_the_last() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let last = |version| {
        let order = |name: &&&str| rollout_schedule::order_key(name, WeightsVersion(version));
        *names.iter().max_by_key(order).unwrap()
    };
    let first = last(1);
    assert!((2..20).any(|version| last(version) != first));
}

fn run(request: RequestHash, in_memory: u64, events: u64) -> Run {
    Run {
        request,
        in_memory: Tokens(in_memory),
        events,
    }
}

#[test]
fn a_backlog_shrinks_as_prompts_are_computed() {
    let mut backlog = Backlog::default();
    let request = RequestHash::of("r");
    let sent = LongPrompt {
        request,
        uncached: Tokens(8_000),
        total: Tokens(20_000),
        prefills: None,
    };
    backlog.on_sent(at(0), sent);
    assert_eq!(backlog.tokens(), Tokens(8_000));
    backlog.on_report(at(10), &[run(request, 15_000, 0)], false);
    assert_eq!(backlog.tokens(), Tokens(5_000));
    backlog.on_report(at(20), &[run(request, 20_000, 1)], false);
    assert!(backlog.is_empty(), "its first event was produced");
}

#[test]
fn a_waiting_prompt_counts_and_one_that_never_arrived_does_not() {
    let mut backlog = Backlog::default();
    let sent = LongPrompt {
        request: RequestHash::of("r"),
        uncached: Tokens(8_000),
        total: Tokens(8_000),
        prefills: None,
    };
    backlog.on_sent(at(0), sent);
    backlog.on_report(at(500), &[], true);
    assert_eq!(backlog.tokens(), Tokens(8_000), "a request waits there");
    backlog.on_report(at(600), &[], false);
    assert!(backlog.is_empty());
}
