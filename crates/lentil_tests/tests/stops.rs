//! Draining lets the requests in flight finish and admits no new ones.

use std::time;

use futures_lite::future;
use lentil_fakes::EngineSettings;
use lentil_tests::{Caller, Fleet, FleetSettings, RawLink, Streamed, dispatch, wait};
use lentil_types::{FailReason, Outcome, RunnerState};
use lentil_wire::Message;

/// Streams in flight when a process drains.
const STREAMS: usize = 8;

async fn start() -> Fleet {
    let engine = EngineSettings {
        words: 150,
        pace: time::Duration::from_millis(5),
        ..EngineSettings::default()
    };
    Fleet::start(FleetSettings {
        engine,
        entries: 2,
        ..FleetSettings::default()
    })
    .await
}

/// Starts long streams and waits until each has sent two events.
async fn begin_streams(caller: &Caller) -> Vec<smol::Task<Streamed>> {
    let (started, starts) = smol::channel::unbounded();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (caller, started) = (caller.clone(), started.clone());
        streams.push(smol::spawn(async move {
            let on_event = |count| {
                if count == 2 {
                    let _ = started.try_send(());
                }
            };
            caller
                .stream_with(&format!("long {number}"), on_event)
                .await
        }));
    }
    for _ in 0..STREAMS {
        wait::within("every stream starts", starts.recv())
            .await
            .expect("no stream ends before it starts");
    }
    streams
}

async fn assert_complete(streams: Vec<smol::Task<Streamed>>) {
    for stream in streams {
        let answer = stream.await;
        assert!(answer.is_complete(), "{answer:?}");
    }
}

#[test]
fn an_entry_drains_under_load() {
    wait::run(async {
        let fleet = start().await;
        let streams = begin_streams(&fleet.caller(0)).await;
        let entry = fleet.entries[0].as_ref().expect("the entry runs");
        let drained = wait::within("the entry drains", entry.drain());
        future::zip(drained, assert_complete(streams)).await;
    });
}

#[test]
fn a_sidecar_drains_under_load() {
    wait::run(async {
        let fleet = start().await;
        let streams = begin_streams(&fleet.caller(0)).await;
        let sidecar = fleet.sidecars[0].as_ref().expect("the sidecar runs");
        let drain = async {
            wait::within("the sidecar drains", sidecar.drain()).await;
            let after = fleet.caller(0).stream("after").await;
            assert!(after.is_complete(), "{after:?}");
        };
        future::zip(drain, assert_complete(streams)).await;
    });
}

#[test]
fn a_leaving_engine_finishes_its_streams_and_gets_no_new_ones() {
    wait::run(async {
        let fleet = start().await;
        let streams = begin_streams(&fleet.caller(0)).await;
        fleet.engines[0].leave();
        let runs = fleet.engines[0].runs();
        let later = begin_streams(&fleet.caller(1)).await;
        assert_eq!(
            fleet.engines[0].runs(),
            runs,
            "a leaving engine got new work"
        );
        assert_complete(streams).await;
        assert_complete(later).await;
    });
}

#[test]
fn the_sidecar_of_a_leaving_engine_refuses_at_once() {
    wait::run(async {
        let fleet = start().await;
        let sidecar = fleet.sidecars[0].as_ref().expect("the sidecar runs");
        let link = RawLink::connect(sidecar.address()).await;
        fleet.engines[0].leave();
        link.wait_for_load("the sidecar reports that it leaves", |load| {
            load.state == RunnerState::Leaving
        })
        .await;
        assert_refused(&link, FailReason::Leaving).await;
    });
}

#[test]
fn a_draining_sidecar_refuses_at_once() {
    wait::run(async {
        let fleet = start().await;
        let sidecar = fleet.sidecars[0].as_ref().expect("the sidecar runs");
        let link = RawLink::connect(sidecar.address()).await;
        let running = link.send(Message::Dispatch(dispatch(7, None))).await;
        wait::until("it runs", || fleet.engines[0].running() == 1).await;
        let refused = async {
            link.wait_for_load("it drains", |load| load.state == RunnerState::Leaving)
                .await;
            assert_refused(&link, FailReason::Leaving).await;
            drop(running);
        };
        future::zip(sidecar.drain(), refused).await;
    });
}

async fn assert_refused(link: &RawLink, reason: FailReason) {
    let answer = link.request(Message::Dispatch(dispatch(9, None))).await;
    let Message::Failed(failed) = answer else {
        panic!("expected a refusal, got {answer:?}");
    };
    assert_eq!((failed.outcome, failed.reason), (Outcome::NotRun, reason));
}
