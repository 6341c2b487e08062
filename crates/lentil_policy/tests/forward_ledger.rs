//! The attempt log of a request and the retry budget.

use std::time;

use lentil_policy::forward::{
    attempt_log::{AttemptLog, AttemptOutcome, ExecutionState},
    retries::{RetryBudget, Settings},
    routing::{Repeat, Route, Target},
};
use lentil_types::Instant;
use rstest::rstest;

fn route(repeat: Repeat, attempts: u32) -> Route {
    Route {
        host: "a.example".into(),
        prefix: "/".into(),
        targets: vec![Target {
            service: "desk".parse().unwrap(),
            weight: 1,
        }],
        repeat,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(300),
        max_gap: time::Duration::from_millis(250),
        patience: None,
        attempts,
        priority: 0,
        public: true,
    }
}

#[rstest]
#[case(&[], Repeat::Once, true, ExecutionState::NotRun)]
#[case(&[AttemptOutcome::NotSent], Repeat::Once, true, ExecutionState::NotRun)]
#[case(&[AttemptOutcome::Refused], Repeat::Once, true, ExecutionState::NotRun)]
#[case(&[AttemptOutcome::MayHaveRun], Repeat::Once, false, ExecutionState::Unknown)]
#[case(&[AttemptOutcome::MayHaveRun], Repeat::Stream, false, ExecutionState::Unknown)]
#[case(&[AttemptOutcome::MayHaveRun], Repeat::Idempotent, true, ExecutionState::Unknown)]
#[case(&[AttemptOutcome::MayHaveRun], Repeat::Resumable, true, ExecutionState::Unknown)]
#[case(&[AttemptOutcome::Refused, AttemptOutcome::Refused], Repeat::Idempotent, false, ExecutionState::NotRun)]
#[case(&[AttemptOutcome::MayHaveRun, AttemptOutcome::Refused], Repeat::Idempotent, false, ExecutionState::Unknown)]
#[case(&[AttemptOutcome::NotSent, AttemptOutcome::Refused], Repeat::Once, true, ExecutionState::NotRun)]
fn the_log_keeps_attempts_that_may_have_run(
    #[case] outcomes: &[AttemptOutcome],
    #[case] repeat: Repeat,
    #[case] may_send: bool,
    #[case] state: ExecutionState,
) {
    let mut log = AttemptLog::default();
    for outcome in outcomes {
        log.begin();
        log.settle(*outcome);
    }
    assert_eq!(log.may_send(&route(repeat, 2)), may_send);
    assert_eq!(log.execution_state(), state);
}

#[test]
fn an_attempt_in_flight_counts_as_one_that_may_have_run() {
    let mut log = AttemptLog::default();
    log.begin();
    assert_eq!(log.execution_state(), ExecutionState::Unknown);
    assert!(!log.may_send(&route(Repeat::Once, 3)));
}

#[test]
fn a_runner_that_was_not_reached_uses_no_attempt() {
    let mut log = AttemptLog::default();
    for _ in 0..3 {
        log.begin();
        log.settle(AttemptOutcome::NotSent);
    }
    assert!(log.may_send(&route(Repeat::Once, 1)));
    assert_eq!(log.sent(), 0);
}

fn granted(budget: &mut RetryBudget, now: Instant, routers: usize) -> usize {
    (0..10_000)
        .take_while(|_| budget.try_take(now, routers))
        .count()
}

#[test]
fn routers_together_stay_within_the_retry_budget() {
    let settings = Settings {
        ratio: 0.2,
        extra: 56.0,
        ..Settings::default()
    };
    let now = Instant::from_millis(5_000);
    let (routers, requests) = (5, 100);
    let mut all = 0;
    for _ in 0..routers {
        let mut budget = RetryBudget::new(settings);
        (0..requests).for_each(|_| budget.on_request(now));
        all += granted(&mut budget, now, routers);
    }
    let allowed = 0.2 * (routers * requests) as f64 + 56.0;
    assert!(all as f64 <= allowed, "{all} retries, {allowed} allowed");
    assert!(
        all as f64 >= allowed / 2.0,
        "{all} retries, less than half of {allowed}"
    );
}

#[test]
fn spent_retries_are_available_again_after_the_window() {
    let settings = Settings::default();
    let mut budget = RetryBudget::new(settings);
    let first = granted(&mut budget, Instant::ZERO, 1);
    assert!(first > 0);
    assert!(!budget.try_take(Instant::ZERO + settings.window, 1));
    let later = Instant::ZERO + settings.window + time::Duration::from_millis(1);
    assert_eq!(granted(&mut budget, later, 1), first);
}
