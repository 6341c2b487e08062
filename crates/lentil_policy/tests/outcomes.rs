//! A request is reported as not run only with proof.

mod support;

use std::time;

use lentil_policy::{entry, protocol};
use lentil_types::{FailReason, Outcome};
use rstest::rstest;
use support::{
    BUDGET, Bench, dispatch_in, end, ending_in, failed, failure_in, lost, piece, started, text_in,
};

#[rstest]
#[case::never_sent(lost("b", support::attempt(1), false), Outcome::NotRun)]
#[case::refused(
    failed("b", support::attempt(1), Outcome::NotRun, FailReason::Overloaded),
    Outcome::NotRun
)]
fn a_request_that_was_only_refused_is_not_run(
    #[case] second: entry::Event,
    #[case] expected: Outcome,
) {
    let settings = entry::Settings {
        max_refusals: 2,
        ..entry::Settings::default()
    };
    let mut bench = Bench::with(settings);
    let (_, first) = bench.send(bench.arrival(1));
    let refused = failed("a", first.offer.id, Outcome::NotRun, FailReason::Overloaded);
    let commands = bench.on(refused);
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    let commands = bench.on(with_id(second, again.offer.id));
    assert_eq!(
        failure_in(&commands).map(|(outcome, _)| outcome),
        Some(expected)
    );
}

#[rstest]
fn a_refusal_after_an_attempt_that_may_have_run_is_unknown() {
    let settings = entry::Settings {
        max_refusals: 1,
        ..entry::Settings::default()
    };
    let mut bench = Bench::with(settings);
    let (_, first) = bench.send(bench.arrival(1));
    let commands = bench.on(lost("a", first.offer.id, true));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    let id = again.offer.id;
    let commands = bench.on(failed("b", id, Outcome::NotRun, FailReason::Overloaded));
    let unknown = (Outcome::Unknown, FailReason::Overloaded);
    assert_eq!(failure_in(&commands), Some(unknown));
}

#[rstest]
#[case::proof(Some(false), Outcome::NotRun)]
#[case::started(Some(true), Outcome::Unknown)]
#[case::no_answer(None, Outcome::Unknown)]
fn a_withdrawal_at_the_deadline_decides_the_outcome(
    #[case] answer: Option<bool>,
    #[case] expected: Outcome,
) {
    let mut bench = Bench::new();
    let (runner, dispatch) = bench.send(bench.arrival(1));
    let id = dispatch.offer.id;
    let commands = bench.wait(BUDGET);
    assert_eq!(commands, [entry::Command::Withdraw(runner.clone(), id)]);
    let commands = match answer {
        Some(started) => {
            let withdrawn = protocol::Withdrawn { id, started };
            bench.on(entry::Event::Withdrawn(runner, withdrawn))
        }
        None => bench.wait(entry::Settings::default().withdraw_wait),
    };
    assert_eq!(
        failure_in(&commands),
        Some((expected, FailReason::Deadline))
    );
}

#[rstest]
fn a_request_whose_answer_has_begun_is_unknown_at_the_deadline() {
    let mut bench = Bench::new();
    let (runner, dispatch) = bench.send(bench.arrival(1));
    let id = dispatch.offer.id;
    bench.on(started("a", id));
    let commands = bench.wait(BUDGET);
    assert_eq!(commands[0], entry::Command::Cancel(runner, id));
    let unknown = (Outcome::Unknown, FailReason::Deadline);
    assert_eq!(failure_in(&commands), Some(unknown));
}

#[rstest]
fn a_request_is_cancelled_when_its_caller_disconnects() {
    let mut bench = Bench::new();
    let (runner, dispatch) = bench.send(bench.arrival(1));
    let id = dispatch.offer.id;
    let commands = bench.on(entry::Event::CallerGone(id.request));
    assert_eq!(commands, [entry::Command::Cancel(runner, id)]);
    assert_eq!(bench.policy.in_flight(), 0);
}

#[rstest]
fn a_draining_entry_finishes_requests_in_flight_and_refuses_new_ones() {
    let mut bench = Bench::new();
    let (_, dispatch) = bench.send(bench.arrival(1));
    bench.on(entry::Event::Drain);
    let refused = bench.on(entry::Event::Arrived(Box::new(bench.arrival(2))));
    let leaving = (Outcome::NotRun, FailReason::Leaving);
    assert_eq!(failure_in(&refused), Some(leaving));
    let id = dispatch.offer.id;
    bench.on(started("a", id));
    bench.on(piece("a", id, 0, "whole"));
    let commands = bench.on(end("a", id, 1));
    assert!(matches!(
        ending_in(&commands),
        Some(entry::Ending::Whole(_))
    ));
}

#[rstest]
fn a_plain_answer_that_broke_off_is_discarded_and_starts_over() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.plain(1));
    let id = first.offer.id;
    bench.on(started("a", id));
    assert_eq!(text_in(&bench.on(piece("a", id, 0, "half "))), "");
    let commands = bench.on(lost("a", id, true));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    assert_eq!(again.resume, None);
    let id = again.offer.id;
    bench.on(started("b", id));
    bench.on(piece("b", id, 0, "the whole"));
    let commands = bench.on(end("b", id, 1));
    assert_eq!(text_in(&commands), "the whole");
    assert!(matches!(
        ending_in(&commands),
        Some(entry::Ending::Whole(_))
    ));
}

#[rstest]
fn retries_are_limited_to_a_share_of_requests() {
    let mut bench = Bench::new();
    let mut attempts = 0_u32;
    for number in 0..1_000 {
        let (mut runner, mut dispatch) = bench.send(bench.arrival(number));
        loop {
            attempts += 1;
            let id = dispatch.offer.id;
            let mut commands = bench.on(lost(&runner, id, true));
            commands.extend(bench.wait(time::Duration::from_millis(100)));
            match dispatch_in(&commands) {
                Some(again) => (runner, dispatch) = again,
                None => break,
            }
        }
    }
    // 100 retries from the full bucket and one per ten requests.
    assert!((1_100..=1_200).contains(&attempts), "{attempts} attempts");
}

fn with_id(event: entry::Event, id: lentil_types::AttemptId) -> entry::Event {
    match event {
        entry::Event::Disconnected { runner, sent, .. } => {
            entry::Event::Disconnected { runner, id, sent }
        }
        entry::Event::Failed(runner, failed) => {
            entry::Event::Failed(runner, protocol::Failed { id, ..failed })
        }
        other => other,
    }
}
