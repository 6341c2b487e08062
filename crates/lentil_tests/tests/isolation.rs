//! Cached prefixes are not reused across boots or teams, and requests do not run
//! with other weights.

use std::time;

use lentil_fakes::EngineSettings;
use lentil_policy::protocol;
use lentil_tests::{Fleet, FleetSettings, RawLink, dispatch, offer, wait};
use lentil_types::{BootId, FailReason, Outcome, WeightsVersion};
use lentil_wire::Message;

async fn one_engine(engine: EngineSettings) -> Fleet {
    Fleet::start(FleetSettings {
        engines: 1,
        engine,
        ..FleetSettings::default()
    })
    .await
}

async fn raw(fleet: &Fleet) -> RawLink {
    let sidecar = fleet.sidecars[0].as_ref().expect("the sidecar runs");
    RawLink::connect(sidecar.address()).await
}

/// A prompt of several pieces.
fn long_prompt() -> String {
    "rules of the intake hall ".repeat(1_000)
}

#[test]
fn the_prefix_of_another_team_is_not_reused() {
    wait::run(async {
        let fleet = one_engine(EngineSettings::default()).await;
        let (alpha, beta) = (fleet.caller_of(0, "alpha"), fleet.caller_of(0, "beta"));
        let prompt = long_prompt();
        let first = alpha.stream(&prompt).await;
        let again = alpha.stream(&prompt).await;
        let other = beta.stream(&prompt).await;
        assert_eq!(first.cached, 0, "nothing is cached yet");
        assert!(again.cached > 0, "a team reuses its own prefix");
        assert_eq!(other.cached, 0, "a team reuses another's prefix");
        assert!(other.is_complete() && again.is_complete());
    });
}

#[test]
fn the_cache_of_a_crashed_engine_is_not_reused() {
    wait::run(async {
        let fleet = one_engine(EngineSettings::default()).await;
        let caller = fleet.caller(0);
        let prompt = long_prompt();
        caller.stream(&prompt).await;
        fleet.engines[0].crash().await;
        fleet.engines[0].restart().await.expect("the port is free");
        let link = raw(&fleet).await;
        let boot = fleet.engines[0].boot();
        link.wait_for_load("the new boot is known", |load| load.boot == boot)
            .await;
        let answer = caller.stream(&prompt).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.cached, 0);
    });
}

#[test]
fn an_engine_crashes_between_bid_and_dispatch() {
    wait::run(async {
        let fleet = one_engine(EngineSettings::default()).await;
        let link = raw(&fleet).await;
        let Message::Bid(bid) = link.request(Message::Offer(offer(1))).await else {
            panic!("expected a bid");
        };
        assert_eq!(bid.load.boot, BootId(1_000));
        fleet.engines[0].crash().await;
        fleet.engines[0].restart().await.expect("the port is free");
        link.wait_for_load("the new boot is known", |load| load.boot == BootId(1_001))
            .await;
        let runs = fleet.engines[0].runs();
        let answer = link
            .request(Message::Dispatch(dispatch(1, Some(bid.load.boot))))
            .await;
        assert_refused(&answer, FailReason::StaleBoot);
        assert_eq!(fleet.engines[0].runs(), runs);
    });
}

#[test]
fn weights_change_between_bid_and_dispatch() {
    wait::run(async {
        let fleet = one_engine(EngineSettings::default()).await;
        let link = raw(&fleet).await;
        fleet.engines[0].load_weights(WeightsVersion(2));
        link.wait_for_load("the weights are known", |load| {
            load.weights == WeightsVersion(2)
        })
        .await;
        let answer = link.request(Message::Dispatch(dispatch(1, None))).await;
        assert_refused(&answer, FailReason::StaleWeights);
    });
}

#[test]
fn weights_change_while_a_request_waits_in_the_engine() {
    wait::run(async {
        let engine = EngineSettings {
            slots: 1,
            words: 200,
            pace: time::Duration::from_millis(5),
            ..EngineSettings::default()
        };
        let fleet = one_engine(engine).await;
        let link = raw(&fleet).await;
        let first = link.send(Message::Dispatch(dispatch(1, None))).await;
        wait::until("the first runs", || fleet.engines[0].running() == 1).await;
        let mut second = link.send(Message::Dispatch(dispatch(2, None))).await;
        wait::until("the second waits", || fleet.engines[0].waiting().0 > 0).await;
        fleet.engines[0].load_weights(WeightsVersion(2));
        drop(first);
        let answer = wait::within("an answer", second.receiver.recv()).await;
        let answer = answer.expect("no error").expect("an answer comes");
        let Message::Failed(failed) = answer else {
            panic!("the request ran with other weights: {answer:?}");
        };
        assert_eq!(failed.outcome, Outcome::NotRun);
    });
}

fn assert_refused(answer: &Message, reason: FailReason) {
    let Message::Failed(protocol::Failed {
        outcome,
        reason: got,
        ..
    }) = answer
    else {
        panic!("expected a refusal, got {answer:?}");
    };
    assert_eq!((*outcome, *got), (Outcome::NotRun, reason));
}
