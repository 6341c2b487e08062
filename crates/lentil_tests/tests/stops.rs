//! A planned stop cuts nothing off, and what leaves gets nothing new.

use std::time;

use futures_lite::future;
use lentil_fakes::EngineSettings;
use lentil_tests::{Caller, Fleet, FleetSettings, RawLink, Streamed, dispatch, wait};
use lentil_types::{FailReason, Outcome, RunnerState};
use lentil_wire::Message;

/// Streams that are in flight when something stops.
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

/// Starts long streams and waits until all have begun.
async fn begin_streams(caller: &Caller) -> Vec<smol::Task<Streamed>> {
    let (begun, seen) = smol::channel::unbounded();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (caller, begun) = (caller.clone(), begun.clone());
        streams.push(smol::spawn(async move {
            let tell = |pieces| {
                if pieces == 2 {
                    let _ = begun.try_send(());
                }
            };
            caller.stream_with(&format!("long {number}"), tell).await
        }));
    }
    for _ in 0..STREAMS {
        wait::within("every stream begins", seen.recv())
            .await
            .expect("no stream ends before it begins");
    }
    streams
}

async fn assert_whole(streams: Vec<smol::Task<Streamed>>) {
    for stream in streams {
        let answer = stream.await;
        assert!(answer.is_whole(), "{answer:?}");
    }
}

#[test]
fn an_entry_drains_under_load() {
    wait::run(async {
        let fleet = start().await;
        let streams = begin_streams(&fleet.caller(0)).await;
        let entry = fleet.entries[0].as_ref().expect("the entry runs");
        let drained = wait::within("the entry drains", entry.drain());
        future::zip(drained, assert_whole(streams)).await;
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
            assert!(after.is_whole(), "{after:?}");
        };
        future::zip(drain, assert_whole(streams)).await;
    });
}

#[test]
fn an_engine_leaves_under_load() {
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
        assert_whole(streams).await;
        assert_whole(later).await;
    });
}

#[test]
fn the_sidecar_of_a_leaving_engine_refuses_at_once() {
    wait::run(async {
        let fleet = start().await;
        let sidecar = fleet.sidecars[0].as_ref().expect("the sidecar runs");
        let link = RawLink::connect(sidecar.address()).await;
        fleet.engines[0].leave();
        link.until_load("the sidecar knows", |load| {
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
            link.until_load("it drains", |load| load.state == RunnerState::Leaving)
                .await;
            assert_refused(&link, FailReason::Leaving).await;
            drop(running);
        };
        future::zip(sidecar.drain(), refused).await;
    });
}

async fn assert_refused(link: &RawLink, reason: FailReason) {
    let answer = link.ask(Message::Dispatch(dispatch(9, None))).await;
    let Message::Failed(failed) = answer else {
        panic!("a refusal was due, {answer:?} came");
    };
    assert_eq!((failed.outcome, failed.reason), (Outcome::NotRun, reason));
}
