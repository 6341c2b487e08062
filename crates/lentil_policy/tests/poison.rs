//! A request that crashes engines is found out; its neighbours are not blamed.

mod support;

use std::time;

use lentil_policy::{entry, poison, sidecar};
use lentil_types::{BootId, FailReason, Fingerprint, Outcome};
use rstest::rstest;
use support::{
    Bench, SidecarBench, dispatch, dispatch_in, end, ending_in, failed, failure_in, link, runs,
    sidecar_failure, started, up,
};

fn died(runner: &str, id: lentil_types::AttemptId) -> entry::Event {
    failed(runner, id, Outcome::Unknown, FailReason::EngineDied)
}

fn condemned(commands: &[sidecar::Command]) -> Vec<Fingerprint> {
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
fn a_request_that_crashes_engines_is_retried_alone_once_and_then_refused() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.arrival(1));
    let commands = bench.on(died("a", first.offer.id));
    let (_, again) = dispatch_in(&commands).expect("another attempt");
    assert!(again.isolated);
    let commands = bench.on(died("b", again.offer.id));
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
fn an_entry_refuses_what_it_is_told_is_poison() {
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
fn an_entry_runs_alone_what_crashed_an_engine_elsewhere() {
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
fn innocents_run_alone_are_cleared_and_get_their_answers() {
    let mut bench = Bench::new();
    let (_, first) = bench.send(bench.arrival(1));
    let commands = bench.on(died("a", first.offer.id));
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
fn a_sidecar_condemns_what_crashes_its_engine_alone(#[case] seen_down: bool) {
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
    assert_eq!(condemned(&crash(&mut bench, 8)), []);

    // Both come again: each runs alone.
    for (number, fingerprint) in [(3, 1), (4, 2)] {
        let mut again = dispatch(number, false);
        again.fingerprint = Fingerprint(fingerprint);
        again.boot = Some(BootId(8));
        bench.on(sidecar::Event::Dispatch(link(number as u64), again));
    }
    assert_eq!(condemned(&crash(&mut bench, 9)), [Fingerprint(1)]);

    // The culprit is refused here at once, the innocent one is not.
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
fn a_dispatch_that_comes_late_is_refused_where_its_crashes_are_known_from_elsewhere() {
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
fn a_connection_that_broke_off_alone_blames_nobody() {
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
fn a_caller_that_hangs_up_in_a_crash_does_not_hide_it() {
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
fn the_document_keeps_the_latest_and_stays_small() {
    let unix = time::Duration::from_secs(1_000_000);
    let mut document = poison::Document::default();
    for number in 0..5_000_u64 {
        let later = unix + time::Duration::from_secs(number);
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
    let day_later = unix + poison::RETENTION + time::Duration::from_secs(5_000);
    assert!(document.add(Fingerprint(7), 2, day_later));
    assert_eq!(document.entries.len(), 1);
}

#[rstest]
#[case(b"{")]
#[case(b"[1]")]
#[case(b"\xff")]
fn a_document_that_cannot_be_read_is_an_error(#[case] value: &[u8]) {
    assert!(poison::Document::parse(value).is_err());
}
