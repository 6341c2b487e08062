//! Which outcomes a sidecar proves, and what it refuses.

mod support;

use std::time;

use lentil_policy::{protocol, sidecar};
use lentil_types::{BootId, FailReason, Outcome, Pieces, WeightsVersion};
use rstest::rstest;
use support::{BOOT, SidecarBench, attempt, dispatch, link, recover, runs, sidecar_failure, up};

fn withdrawn(commands: &[sidecar::Command]) -> Option<bool> {
    commands.iter().find_map(|command| match command {
        sidecar::Command::Withdrawn(_, withdrawn) => Some(withdrawn.started),
        _ => None,
    })
}

fn send(bench: &mut SidecarBench, number: u128, once: bool) -> Vec<sidecar::Command> {
    let dispatch = dispatch(number, once);
    bench.on(sidecar::Event::Dispatch(link(number as u64), dispatch))
}

fn withdraw(bench: &mut SidecarBench, number: u128) -> Option<bool> {
    let event = sidecar::Event::Withdraw(link(99), attempt(number));
    withdrawn(&bench.on(event))
}

/// Lets the backend server answer an attempt with one piece.
fn answer(bench: &mut SidecarBench, number: u128) -> Vec<sidecar::Command> {
    let id = attempt(number);
    bench.on(sidecar::Event::Started {
        id,
        cached: Pieces(0),
        status: 200,
        headers: Vec::new(),
    });
    bench.on(sidecar::Event::Piece {
        id,
        offset: 0,
        text: String::new(),
        data: b"released".to_vec(),
    });
    let usage = protocol::Usage::default();
    bench.on(sidecar::Event::Ended { id, usage })
}

#[rstest]
fn a_withdrawn_queued_attempt_never_runs() {
    let mut bench = SidecarBench::with(sidecar::Settings::default(), 1);
    send(&mut bench, 1, false);
    assert_eq!(runs(&send(&mut bench, 2, false)), []);
    assert_eq!(withdraw(&mut bench, 2), Some(false));
    answer(&mut bench, 1);
    assert_eq!(runs(&bench.wait(time::Duration::from_secs(1))), []);
}

#[rstest]
fn a_dispatch_that_arrives_after_its_withdrawal_is_refused() {
    let mut bench = SidecarBench::new();
    assert_eq!(withdraw(&mut bench, 1), Some(false));
    let late = send(&mut bench, 1, false);
    let refused = (Outcome::NotRun, FailReason::Withdrawn);
    assert_eq!(sidecar_failure(&late), Some(refused));
    assert_eq!(runs(&late), []);
}

#[rstest]
fn a_started_attempt_cannot_be_withdrawn() {
    let mut bench = SidecarBench::new();
    send(&mut bench, 1, false);
    assert_eq!(withdraw(&mut bench, 1), Some(true));
    answer(&mut bench, 1);
    assert_eq!(withdraw(&mut bench, 1), Some(true));
}

#[rstest]
fn a_sidecar_proves_nothing_before_it_was_up_for_the_proof_window() {
    let mut bench = SidecarBench::new();
    bench.now = lentil_types::Instant::from_millis(1_000);
    assert_eq!(withdraw(&mut bench, 1), Some(true));
    let late = send(&mut bench, 1, true);
    assert_eq!(runs(&late), [], "a withdrawn attempt is not run");
}

#[rstest]
fn a_sidecar_that_evicted_records_early_proves_nothing() {
    let mut settings = sidecar::Settings::default();
    settings.records.capacity = 10;
    let mut bench = SidecarBench::with(settings, 100);
    for number in 1..=20 {
        send(&mut bench, number, false);
        answer(&mut bench, number);
    }
    assert_eq!(
        withdraw(&mut bench, 1),
        Some(true),
        "it ran and its record was evicted"
    );
    bench.wait(protocol::PROOF_WINDOW);
    assert_eq!(withdraw(&mut bench, 50), Some(false));
}

#[rstest]
fn a_duplicate_dispatch_runs_once() {
    let mut bench = SidecarBench::new();
    assert_eq!(runs(&send(&mut bench, 1, false)), [attempt(1)]);
    assert_eq!(runs(&send(&mut bench, 1, false)), []);
    answer(&mut bench, 1);
    assert_eq!(runs(&send(&mut bench, 1, false)), []);
}

#[rstest]
#[case::other_boot(up(BootId(8)), FailReason::StaleBoot)]
#[case::other_weights(
    sidecar::Event::EngineUp { boot: BOOT, weights: WeightsVersion(2) },
    FailReason::StaleWeights
)]
fn dispatches_for_another_boot_or_other_weights_are_refused(
    #[case] change: sidecar::Event,
    #[case] reason: FailReason,
) {
    let mut bench = SidecarBench::with(sidecar::Settings::default(), 1);
    send(&mut bench, 1, false);
    send(&mut bench, 2, false);
    let refused = |commands: &[sidecar::Command], number| {
        commands.iter().any(|command| {
            matches!(command, sidecar::Command::Fail(_, failed)
                if failed.id == attempt(number)
                    && (failed.outcome, failed.reason) == (Outcome::NotRun, reason))
        })
    };
    let while_queued = bench.on(change);
    assert!(refused(&while_queued, 2), "{while_queued:?}");
    let after_bid = send(&mut bench, 3, false);
    assert!(refused(&after_bid, 3), "{after_bid:?}");
    assert_eq!(runs(&after_bid), []);
}

#[rstest]
fn attempts_in_a_crashed_engine_end_as_unknown() {
    let mut bench = SidecarBench::new();
    send(&mut bench, 1, false);
    let commands = bench.on(up(BootId(8)));
    let died = (Outcome::Unknown, FailReason::EngineDied);
    assert_eq!(sidecar_failure(&commands), Some(died));
}

#[rstest]
fn a_lost_link_stops_an_idempotent_attempt() {
    let mut bench = SidecarBench::new();
    send(&mut bench, 1, false);
    let commands = bench.on(sidecar::Event::LinkLost(link(1)));
    assert_eq!(commands, [sidecar::Command::Stop(attempt(1))]);
    assert_eq!(bench.policy.in_flight(), 0);
}

#[rstest]
fn after_a_lost_link_a_non_idempotent_call_is_finished_and_its_answer_kept() {
    let mut bench = SidecarBench::new();
    send(&mut bench, 1, true);
    assert_eq!(bench.on(sidecar::Event::LinkLost(link(1))), []);
    let event = sidecar::Event::Dispatch(link(2), recover(1));
    assert_eq!(bench.on(event), [], "it is still running");
    let ended = answer(&mut bench, 1);
    assert!(matches!(ended[..], [sidecar::Command::End(to, _)] if to == link(2)));
    let recovered = bench.on(sidecar::Event::Dispatch(link(3), recover(1)));
    assert_eq!(runs(&recovered), []);
    let data = recovered.iter().find_map(|command| match command {
        sidecar::Command::Piece(to, piece) if *to == link(3) => Some(piece.data.clone()),
        _ => None,
    });
    assert_eq!(data.as_deref(), Some(&b"released"[..]));
    assert!(matches!(recovered.last(), Some(sidecar::Command::End(..))));
}

#[rstest]
fn recovery_never_runs_a_call() {
    let mut bench = SidecarBench::new();
    let commands = bench.on(sidecar::Event::Dispatch(link(2), recover(1)));
    let refused = (Outcome::NotRun, FailReason::Withdrawn);
    assert_eq!(sidecar_failure(&commands), Some(refused));
    assert_eq!(
        runs(&send(&mut bench, 1, true)),
        [],
        "a late dispatch of the same attempt"
    );
}

#[rstest]
fn a_leaving_sidecar_finishes_its_attempts_and_refuses_new_ones() {
    let mut bench = SidecarBench::with(sidecar::Settings::default(), 1);
    send(&mut bench, 1, false);
    send(&mut bench, 2, false);
    bench.on(sidecar::Event::Leave);
    let refused = (Outcome::NotRun, FailReason::Leaving);
    assert_eq!(sidecar_failure(&send(&mut bench, 3, false)), Some(refused));
    assert_eq!(runs(&answer(&mut bench, 1)), [attempt(2)]);
    answer(&mut bench, 2);
    assert_eq!(bench.policy.in_flight(), 0);
}
