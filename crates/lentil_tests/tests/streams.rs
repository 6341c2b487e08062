//! A stream is whole and in order, whatever fails under it.

use std::time;

use lentil_fakes::{EngineSettings, StreamFault};
use lentil_tests::{Fleet, FleetSettings, wait};

/// Words of an answer.
const WORDS: usize = 40;
const PROMPT: &str = "classify lot 7";

async fn start(engines: usize) -> Fleet {
    let engine = EngineSettings {
        words: WORDS,
        pace: time::Duration::from_millis(2),
        ..EngineSettings::default()
    };
    Fleet::start(FleetSettings {
        engines,
        engine,
        ..FleetSettings::default()
    })
    .await
}

/// Streams twice: undisturbed, and with `disturb` once pieces have come.
async fn compare(fleet: &Fleet, disturb: impl AsyncFnOnce()) {
    let caller = fleet.caller(0);
    let undisturbed = caller.stream(PROMPT).await;
    assert!(undisturbed.is_whole(), "{undisturbed:?}");
    let (begun, seen) = smol::channel::bounded(1);
    let stream = caller.stream_with(PROMPT, |pieces| {
        if pieces == 3 {
            let _ = begun.try_send(());
        }
    });
    let disturb = async {
        let _ = seen.recv().await;
        disturb().await;
    };
    let (disturbed, ()) = futures_lite::future::zip(stream, disturb).await;
    assert!(disturbed.is_whole(), "{disturbed:?}");
    assert_eq!(disturbed.text, undisturbed.text);
}

#[test]
fn an_engine_crashes_mid_stream() {
    wait::run(async {
        let fleet = start(2).await;
        compare(&fleet, async || {
            let busy = fleet.busy_engine().await;
            fleet.engines[busy].crash().await;
        })
        .await;
    });
}

#[test]
fn the_only_engine_crashes_mid_stream_and_comes_back() {
    wait::run(async {
        let fleet = start(1).await;
        compare(&fleet, async || {
            fleet.engines[0].crash().await;
            fleet.engines[0].restart().await.expect("the port is free");
        })
        .await;
    });
}

#[test]
fn an_engine_freezes_mid_stream() {
    wait::run(async {
        let fleet = start(2).await;
        compare(&fleet, async || {
            let busy = fleet.busy_engine().await;
            fleet.engines[busy].freeze().await;
        })
        .await;
    });
}

#[test]
fn a_sidecar_is_killed_mid_stream() {
    wait::run(async {
        let mut fleet = start(2).await;
        let caller = fleet.caller(0);
        let undisturbed = caller.stream(PROMPT).await;
        let (begun, seen) = smol::channel::bounded(1);
        let stream = smol::spawn(async move {
            let tell = |pieces| {
                if pieces == 3 {
                    let _ = begun.try_send(());
                }
            };
            caller.stream_with(PROMPT, tell).await
        });
        let _ = seen.recv().await;
        let busy = fleet.busy_engine().await;
        drop(fleet.sidecars[busy].take());
        let disturbed = stream.await;
        assert!(disturbed.is_whole(), "{disturbed:?}");
        assert_eq!(disturbed.text, undisturbed.text);
    });
}

#[rstest::rstest]
#[case::cut(StreamFault::Cut(5))]
#[case::cut_before_the_first(StreamFault::Cut(0))]
#[case::cut_before_the_last(StreamFault::Cut(WORDS + 1))]
#[case::ended_early(StreamFault::End(5))]
#[case::doubled(StreamFault::Duplicate(5))]
#[case::skipped(StreamFault::Skip(5))]
#[case::crossed(StreamFault::Swap(5))]
fn a_stream_is_spoiled(#[case] fault: StreamFault) {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let undisturbed = caller.stream(PROMPT).await;
        for engine in &fleet.engines {
            engine.fail_stream(fault);
        }
        let disturbed = caller.stream(PROMPT).await;
        assert!(disturbed.is_whole(), "{disturbed:?}");
        assert_eq!(disturbed.text, undisturbed.text);
    });
}

#[test]
fn answers_come_late() {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let undisturbed = caller.stream(PROMPT).await;
        for engine in &fleet.engines {
            engine.delay_answers(time::Duration::from_millis(300));
        }
        let late = caller.stream(PROMPT).await;
        assert!(late.is_whole(), "{late:?}");
        assert_eq!(late.text, undisturbed.text);
    });
}

#[rstest::rstest]
#[case::refused(503)]
#[case::failed(500)]
fn an_engine_answers_with_an_error(#[case] status: u16) {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let undisturbed = caller.stream(PROMPT).await;
        fleet.engines[0].refuse_next(status);
        fleet.engines[1].refuse_next(status);
        let disturbed = caller.stream(PROMPT).await;
        assert!(disturbed.is_whole(), "{disturbed:?}");
        assert_eq!(disturbed.text, undisturbed.text);
    });
}

#[test]
fn every_engine_is_down() {
    wait::run(async {
        let fleet = start(2).await;
        for engine in &fleet.engines {
            engine.crash().await;
        }
        let answer = fleet.caller(0).stream(PROMPT).await;
        assert!(!answer.is_whole(), "{answer:?}");
        assert!(!answer.code().is_empty(), "{answer:?}");
    });
}
