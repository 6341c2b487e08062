//! A request that crashes engines is identified; others are not refused.

mod support;

use std::time;

use lentil_policy::{entry, poison, sidecar};
use lentil_types::{BootId, FailReason, Fingerprint, Outcome};
use rstest::rstest;
use support::{
    Bench, SidecarBench, dispatch, dispatch_in, end, ending_in, failed, failure_in, link, runs,
    sidecar_failure, started, up,
};

fn engine_died(runner: &str, id: lentil_types::AttemptId) -> entry::Event {
    failed(runner, id, Outcome::Unknown, FailReason::EngineDied)
}

fn poisoned(commands: &[sidecar::Command]) -> Vec<Fingerprint> {
    let poison = |command: &sidecar::Command| match command {
        sidecar::Command::Crashed {
            fingerprint,
            crashes,
        } => (*crashes >= poison::POISON_CRASHES).then_some(*fingerprint),
        _ => None,
    };
    commands.iter().filter_map(poison).collect()
}

#[rstest]
fn a_request_that_crashes_engines_is_retried_isolated_once_and_then_refused() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.arrival(1));
    let commands = bench.on(engine_died("a", first.offer.id));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    assert!(again.isolated);
    let commands = bench.on(engine_died("b", again.offer.id));
    let poison = (Outcome::Unknown, FailReason::Poison);
    assert_eq!(failure_in(&commands), Some(poison));
    let resent = entry::Arrival {
        fingerprint: Fingerprint(1),
        ..bench.arrival(2)
    };
    let commands = bench.on(entry::Event::Arrived(Box::new(resent)));
    let refused = (Outcome::NotRun, FailReason::Poison);
    assert_eq!(failure_in(&commands), Some(refused));
}

#[rstest]
fn an_entry_refuses_a_fingerprint_reported_as_poison() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.arrival(1));
    let (fingerprint, crashes) = (Fingerprint(2), 2);
    bench.on(entry::Event::Crashed {
        fingerprint,
        crashes,
    });
    let commands = bench.on(entry::Event::Arrived(Box::new(bench.arrival(2))));
    let refused = (Outcome::NotRun, FailReason::Poison);
    assert_eq!(failure_in(&commands), Some(refused));
    let innocent = bench.on(end("a", first.offer.id, 0));
    assert!(matches!(
        ending_in(&innocent),
        Some(entry::Ending::Whole(_))
    ));
}

#[rstest]
fn an_entry_isolates_a_fingerprint_that_crashed_an_engine_elsewhere() {
    let mut bench = Bench::new();
    let (fingerprint, crashes) = (Fingerprint(1), 1);
    bench.on(entry::Event::Crashed {
        fingerprint,
        crashes,
    });
    let (_, dispatch) = bench.send(bench.arrival(1));
    assert!(dispatch.isolated);
}

#[rstest]
fn a_fingerprint_is_cleared_when_its_isolated_run_succeeds() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.arrival(1));
    let commands = bench.on(engine_died("a", first.offer.id));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    bench.on(started("b", again.offer.id));
    let commands = bench.on(end("b", again.offer.id, 0));
    assert!(matches!(
        ending_in(&commands),
        Some(entry::Ending::Whole(_))
    ));
    let resent = entry::Arrival {
        fingerprint: Fingerprint(1),
        ..bench.arrival(2)
    };
    let (_, dispatch) = bench.send(resent);
    assert!(!dispatch.isolated);
}

#[rstest]
#[case::seen_down(true)]
#[case::quick_restart(false)]
fn a_sidecar_reports_poison_only_for_an_isolated_crash(#[case] seen_down: bool) {
    let mut bench = SidecarBench::new();
    let crash = |bench: &mut SidecarBench, boot: u64| {
        let mut commands = Vec::new();
        if seen_down {
            commands.extend(bench.on(sidecar::Event::EngineDown));
        }
        commands.extend(bench.on(up(BootId(boot))));
        commands
    };
    bench.on(sidecar::Event::Dispatch(link(1), dispatch(1, false)));
    bench.on(sidecar::Event::Dispatch(link(2), dispatch(2, false)));
    assert_eq!(poisoned(&crash(&mut bench, 8)), []);

    // Both are sent again, and each runs isolated.
    for (number, fingerprint) in [(3, 1), (4, 2)] {
        let mut again = dispatch(number, false);
        again.fingerprint = Fingerprint(fingerprint);
        again.boot = Some(BootId(8));
        bench.on(sidecar::Event::Dispatch(link(number as u64), again));
    }
    assert_eq!(poisoned(&crash(&mut bench, 9)), [Fingerprint(1)]);

    // Only the request that crashed the engine is refused now.
    let mut culprit = dispatch(5, false);
    culprit.fingerprint = Fingerprint(1);
    culprit.boot = None;
    let commands = bench.on(sidecar::Event::Dispatch(link(5), culprit));
    let refused = (Outcome::NotRun, FailReason::Poison);
    assert_eq!(sidecar_failure(&commands), Some(refused));
    let mut innocent = dispatch(6, false);
    innocent.fingerprint = Fingerprint(2);
    innocent.boot = None;
    let commands = bench.on(sidecar::Event::Dispatch(link(6), innocent));
    assert_eq!(runs(&commands), [support::attempt(6)]);
}

#[rstest]
fn a_dispatch_is_refused_if_its_crashes_were_reported_before() {
    let mut bench = SidecarBench::new();
    let crashes = poison::POISON_CRASHES;
    let mut late = dispatch(1, false);
    late.fingerprint = Fingerprint(1);
    bench.on(sidecar::Event::Crashed {
        fingerprint: Fingerprint(1),
        crashes,
    });
    let commands = bench.on(sidecar::Event::Dispatch(link(1), late));
    let refused = (Outcome::NotRun, FailReason::Poison);
    assert_eq!(sidecar_failure(&commands), Some(refused));
}

#[rstest]
fn a_disconnect_without_a_crash_is_not_reported_as_one() {
    let mut bench = SidecarBench::new();
    bench.on(sidecar::Event::Dispatch(link(1), dispatch(1, false)));
    let fault = sidecar::EngineFault::Disconnected;
    let id = support::attempt(1);
    assert_eq!(bench.on(sidecar::Event::EngineFailed { id, fault }), []);
    let wait = sidecar::Settings::default().crash_wait;
    let commands = bench.wait(wait);
    let lost = (Outcome::Unknown, FailReason::Disconnected);
    assert_eq!(sidecar_failure(&commands), Some(lost));
}

#[rstest]
fn a_crash_is_reported_even_if_the_caller_hung_up() {
    let mut bench = SidecarBench::new();
    bench.on(sidecar::Event::Dispatch(link(1), dispatch(1, false)));
    let (id, fault) = (support::attempt(1), sidecar::EngineFault::Disconnected);
    bench.on(sidecar::Event::EngineFailed { id, fault });
    bench.on(sidecar::Event::LinkLost(link(1)));
    let crashed = sidecar::Command::Crashed {
        fingerprint: Fingerprint(1),
        crashes: 1,
    };
    assert!(bench.on(sidecar::Event::EngineDown).contains(&crashed));
}

#[rstest]
fn the_document_keeps_the_newest_entries_within_its_limit() {
    let since_epoch = time::Duration::from_secs(1_000_000);
    let mut document = poison::Document::default();
    for number in 0..5_000_u64 {
        let later = since_epoch + time::Duration::from_secs(number);
        assert!(document.add(Fingerprint(number), 2, later));
    }
    assert_eq!(document.entries.len(), poison::MAX_ENTRIES);
    assert_eq!(document.crashes(Fingerprint(4_999)), 2);
    assert_eq!(document.crashes(Fingerprint(0)), 0);
    let value = document.to_bytes();
    assert!(value.len() < 1 << 20, "{} bytes", value.len());
    assert_eq!(
        poison::Document::parse(&value).expect("well formed"),
        document
    );
    let day_later = since_epoch + poison::RETENTION + time::Duration::from_secs(5_000);
    assert!(document.add(Fingerprint(7), 2, day_later));
    assert_eq!(document.entries.len(), 1);
}

#[rstest]
#[case(b"{")]
#[case(b"[1]")]
#[case(b"\xff")]
fn a_malformed_document_is_an_error(#[case] value: &[u8]) {
    assert!(poison::Document::parse(value).is_err());
}
