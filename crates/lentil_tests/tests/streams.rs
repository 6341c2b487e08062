//! A stream is complete and in order despite failures of engines and sidecars.

use std::time;

use lentil_fakes::{EngineSettings, StreamFault};
use lentil_tests::{Fleet, FleetSettings, wait};

/// Words in each answer.
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

/// Streams the same prompt twice, the second time with `fail` after three events,
/// and compares the answers.
async fn compare(fleet: &Fleet, fail: impl AsyncFnOnce()) {
    let caller = fleet.caller(0);
    let uninterrupted = caller.stream(PROMPT).await;
    assert!(uninterrupted.is_complete(), "{uninterrupted:?}");
    let (started, start) = smol::channel::bounded(1);
    let stream = caller.stream_with(PROMPT, |count| {
        if count == 3 {
            let _ = started.try_send(());
        }
    });
    let failure = async {
        let _ = start.recv().await;
        fail().await;
    };
    let (interrupted, ()) = futures_lite::future::zip(stream, failure).await;
    assert!(interrupted.is_complete(), "{interrupted:?}");
    assert_eq!(interrupted.text, uninterrupted.text);
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
fn the_only_engine_crashes_mid_stream_and_restarts() {
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
        let uninterrupted = caller.stream(PROMPT).await;
        let (started, start) = smol::channel::bounded(1);
        let stream = smol::spawn(async move {
            let on_event = |count| {
                if count == 3 {
                    let _ = started.try_send(());
                }
            };
            caller.stream_with(PROMPT, on_event).await
        });
        let _ = start.recv().await;
        let busy = fleet.busy_engine().await;
        drop(fleet.sidecars[busy].take());
        let interrupted = stream.await;
        assert!(interrupted.is_complete(), "{interrupted:?}");
        assert_eq!(interrupted.text, uninterrupted.text);
    });
}

#[rstest::rstest]
#[case::cut(StreamFault::Cut(5))]
#[case::cut_before_the_first(StreamFault::Cut(0))]
#[case::cut_before_the_last(StreamFault::Cut(WORDS + 1))]
#[case::ended_early(StreamFault::End(5))]
#[case::duplicated(StreamFault::Duplicate(5))]
#[case::skipped(StreamFault::Skip(5))]
#[case::swapped(StreamFault::Swap(5))]
fn a_stream_has_a_fault(#[case] fault: StreamFault) {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let uninterrupted = caller.stream(PROMPT).await;
        for engine in &fleet.engines {
            engine.fail_stream(fault);
        }
        let interrupted = caller.stream(PROMPT).await;
        assert!(interrupted.is_complete(), "{interrupted:?}");
        assert_eq!(interrupted.text, uninterrupted.text);
    });
}

#[test]
fn answers_are_delayed() {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let uninterrupted = caller.stream(PROMPT).await;
        for engine in &fleet.engines {
            engine.delay_answers(time::Duration::from_millis(300));
        }
        let late = caller.stream(PROMPT).await;
        assert!(late.is_complete(), "{late:?}");
        assert_eq!(late.text, uninterrupted.text);
    });
}

#[rstest::rstest]
#[case::refused(503)]
#[case::failed(500)]
fn an_engine_answers_with_an_error(#[case] status: u16) {
    wait::run(async {
        let fleet = start(2).await;
        let caller = fleet.caller(0);
        let uninterrupted = caller.stream(PROMPT).await;
        fleet.engines[0].refuse_next(status);
        fleet.engines[1].refuse_next(status);
        let interrupted = caller.stream(PROMPT).await;
        assert!(interrupted.is_complete(), "{interrupted:?}");
        assert_eq!(interrupted.text, uninterrupted.text);
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
        assert!(!answer.is_complete(), "{answer:?}");
        assert!(!answer.code().is_empty(), "{answer:?}");
    });
}
