//! Weights updates, rollouts and backlogs of an agent's runner.

use std::time;

use lentil_policy::forward::{
    backlog::{Backlog, LongPrompt, RequestHash, Run},
    rollout_schedule::{self, RolloutPosition},
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

/// An updater with a turn to change from version 1 to 2.
fn with_turn(ms: u64) -> WeightsUpdater {
    let mut updater = WeightsUpdater::new(Settings::default());
    updater.on_target(at(ms), &model(), WeightsVersion(2), TARGET_AGE);
    updater.on_turn(at(ms));
    updater
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
    let mut updater = with_turn(0);
    updater.on_report(at(0), report(1));
    assert_eq!(updater.tick(at(0)), None);
    assert!(updater.is_changing(), "reported to the routers first");
    let (when, order) = next_order(&mut updater, 10, &report(1));
    assert!(at(when).since(at(0)) >= Settings::default().announce_delay);
    assert_eq!(order.version, WeightsVersion(2));
}

#[test]
fn running_requests_get_a_limited_time_to_finish() {
    let settings = Settings::default();
    let mut updater = with_turn(0);
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
    let mut updater = with_turn(0);
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
    let mut updater = with_turn(0);
    updater.on_report(at(0), report(1));
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
fn runners_without_turns_start_one_after_the_other_before_the_deadline() {
    let settings = rollout_schedule::Settings::default();
    let count = 18;
    let starts = (0..count).map(|rank| settings.latest_start(RolloutPosition { rank, count }));
    let starts: Vec<_> = starts.collect();
    assert!(starts.is_sorted_by(|a, b| a < b), "never two at once");
    assert!(
        starts[0] > time::Duration::ZERO,
        "routers grant turns first"
    );
    assert!(
        starts[17] < settings.deadline,
        "the last one has time to load"
    );
}

#[test]
fn a_runner_starts_by_itself_when_no_router_grants_a_turn() {
    let settings = Settings::default();
    let mut updater = WeightsUpdater::new(settings);
    let position = RolloutPosition { rank: 8, count: 9 };
    updater.on_position(position);
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    let (when, _) = next_order(&mut updater, 0, &report(1));
    let latest = settings.rollout.latest_start(position);
    assert!(at(when).since(at(0)) >= latest);
    assert!(at(when).since(at(0)) < settings.rollout.deadline);
}

/// Versions came faster than the rollout, and each one postponed the start of runners
/// that were behind by more than one.
#[test]
fn a_newer_version_does_not_postpone_the_start_of_an_outdated_runner() {
    let settings = Settings::default();
    let mut updater = WeightsUpdater::new(settings);
    updater.on_target(at(0), &model(), WeightsVersion(2), TARGET_AGE);
    updater.on_target(at(2_000), &model(), WeightsVersion(3), TARGET_AGE);
    let (when, order) = next_order(&mut updater, 2_000, &report(1));
    assert_eq!(order.version, WeightsVersion(3));
    let first = settings.rollout.latest_start(RolloutPosition::default());
    assert!(at(when).since(at(0)) < first + settings.drain_timeout);
}

#[test]
fn a_turn_is_used_at_once_and_only_once() {
    let mut updater = with_turn(0);
    let (when, _) = next_order(&mut updater, 0, &report(1));
    assert!(when < 100);
    updater.on_report(at(when + 300), report(2));
    assert_eq!(updater.tick(at(when + 300)), None);
    let load = updater.take_completed().expect("a completed load");
    assert_eq!(load.load_time, time::Duration::from_millis(300));
    updater.on_target(at(when + 310), &model(), WeightsVersion(3), TARGET_AGE);
    updater.on_report(at(when + 320), report(2));
    assert_eq!(updater.tick(at(when + 320)), None);
    assert!(
        !updater.is_changing(),
        "the next version needs its own turn"
    );
}

#[test]
fn a_version_that_is_replaced_during_a_load_waits_for_its_own_turn() {
    let mut updater = with_turn(0);
    let (when, _) = next_order(&mut updater, 0, &report(1));
    updater.on_target(at(when + 10), &model(), WeightsVersion(3), TARGET_AGE);
    let loaded = Report {
        sequence: 1,
        ..report(2)
    };
    updater.on_report(at(when + 300), loaded);
    assert_eq!(updater.tick(at(when + 300)), None);
    assert!(!updater.is_changing());
}

#[test]
fn an_unused_turn_expires() {
    let mut updater = with_turn(0);
    let settings = Settings::default();
    let late = u64::try_from(settings.turn_ttl.as_millis()).unwrap() + 10;
    updater.on_report(at(late), report(1));
    assert_eq!(updater.tick(at(late)), None);
    assert!(!updater.is_changing());
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
    backlog.on_report(at(10), &[run(request, 15_000, 0)], 0);
    assert_eq!(backlog.tokens(), Tokens(5_000));
    backlog.on_report(at(20), &[run(request, 20_000, 1)], 0);
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
    backlog.on_report(at(500), &[], 1);
    assert_eq!(backlog.tokens(), Tokens(8_000), "a request waits there");
    backlog.on_report(at(600), &[], 0);
    assert!(backlog.is_empty());
}

/// The agent dropped preempted prompts from the backlog, so routers sent further ones
/// to a runner whose memory was full, which preempted those too.
#[test]
fn a_preempted_prompt_counts_in_full_until_it_runs_again() {
    let mut backlog = Backlog::default();
    let request = RequestHash::of("r");
    let sent = LongPrompt {
        request,
        uncached: Tokens(4_000),
        total: Tokens(17_000),
        prefills: None,
    };
    backlog.on_sent(at(0), sent);
    backlog.on_report(at(40), &[run(request, 15_000, 0)], 0);
    assert_eq!(backlog.tokens(), Tokens(2_000));
    backlog.on_report(at(80), &[], 1);
    assert_eq!(backlog.tokens(), Tokens(17_000));
    assert_eq!(backlog.memory(), Tokens(17_000));
    backlog.on_report(at(120), &[run(request, 5_000, 0)], 0);
    assert_eq!(backlog.memory(), Tokens(12_000));
    backlog.on_report(at(160), &[], 0);
    assert!(backlog.is_empty(), "it ended, and nothing waits");
}
