//! A sidecar forwards calls, cancellation and backpressure between entry and
//! backend server.

use std::time;

use lentil_fakes::EngineSettings;
use lentil_policy::protocol;
use lentil_process::admin::ManagedProcess as _;
use lentil_tests::{Fleet, FleetSettings, RawLink, dispatch, offer, wait};
use lentil_types::Outcome;
use lentil_wire::{Exchange, Message};

async fn start(engine: EngineSettings) -> Fleet {
    Fleet::start(FleetSettings {
        engines: 1,
        engine,
        ..FleetSettings::default()
    })
    .await
}

fn slow() -> EngineSettings {
    EngineSettings {
        words: 100_000,
        pace: time::Duration::from_millis(2),
        ..EngineSettings::default()
    }
}

async fn raw(fleet: &Fleet, sidecar: usize) -> RawLink {
    let sidecar = fleet.sidecars[sidecar].as_ref().expect("the sidecar runs");
    RawLink::connect(sidecar.address()).await
}

/// A dispatch of a call to the plain service.
fn plain_call(request: u128, method: &str, path: &str) -> Box<protocol::Dispatch> {
    let mut call = dispatch(request, None);
    call.offer.work.model = None;
    call.offer.work.weights = lentil_types::WeightsVersion(0);
    call.call = protocol::HttpCall {
        method: method.to_owned(),
        path: path.to_owned(),
        ..protocol::HttpCall::default()
    };
    call
}

/// Receives messages until the exchange ends.
async fn collect(exchange: &mut Exchange) -> Vec<Message> {
    let mut messages = Vec::new();
    while let Ok(Some(message)) = wait::within("a message", exchange.receiver.recv()).await {
        messages.push(message);
    }
    messages
}

fn outcome(messages: &[Message]) -> Option<Outcome> {
    match messages.last()? {
        Message::End(_) => Some(Outcome::Done),
        Message::Failed(failed) => Some(failed.outcome),
        _ => None,
    }
}

#[rstest::rstest]
#[case::cancelled(true)]
#[case::reset(false)]
fn an_abandoned_request_stops_at_the_engine(#[case] cancelled: bool) {
    wait::run(async {
        let fleet = start(slow()).await;
        let link = raw(&fleet, 0).await;
        let call = dispatch(1, None);
        let id = call.offer.id;
        let mut exchange = link.send(Message::Dispatch(call)).await;
        wait::until("it runs", || fleet.engines[0].running() == 1).await;
        if cancelled {
            let sent = exchange.sender.send(Message::Cancel(id)).await;
            sent.expect("the exchange is open");
        }
        drop(exchange);
        wait::until("it stops", || fleet.engines[0].running() == 0).await;
        assert_eq!(fleet.engines[0].cancelled(), 1);
    });
}

#[test]
fn a_disconnecting_caller_stops_its_request_at_the_engine() {
    wait::run(async {
        let fleet = start(slow()).await;
        let caller = fleet.caller(0);
        let stream = smol::spawn(async move { caller.stream("long").await });
        wait::until("it runs", || fleet.engines[0].running() == 1).await;
        stream.cancel().await;
        wait::until("it stops", || fleet.engines[0].running() == 0).await;
    });
}

#[test]
fn answered_offers_leave_no_open_exchange() {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        let link = raw(&fleet, 0).await;
        for request in 0..50 {
            let mut exchange = link.send(Message::Offer(offer(request))).await;
            exchange.sender.finish();
            assert!(matches!(
                collect(&mut exchange).await[..],
                [Message::Bid(_)]
            ));
        }
        let subject = fleet.sidecars[0].as_ref().expect("it runs").admin_handle();
        wait::until("no exchange is left", || subject.dump()["exchanges"] == 0).await;
    });
}

#[test]
fn a_slow_entry_slows_the_engine_by_backpressure() {
    wait::run(async {
        let words = 20_000;
        let engine = EngineSettings {
            words,
            pace: time::Duration::ZERO,
            ..EngineSettings::default()
        };
        let fleet = start(engine).await;
        let link = raw(&fleet, 0).await;
        let mut exchange = link.send(Message::Dispatch(dispatch(1, None))).await;
        let subject = fleet.sidecars[0].as_ref().expect("it runs").admin_handle();
        let forwarded = || subject.dump()["counters"]["pieces"].as_u64().unwrap_or(0);
        wait::until("chunks arrive", || forwarded() > 0).await;
        let mut last = 0;
        let mut unchanged = 0;
        wait::until("the sidecar stops forwarding", || {
            unchanged = if forwarded() == last {
                unchanged + 1
            } else {
                0
            };
            last = forwarded();
            unchanged == 20
        })
        .await;
        assert!(last < words as u64, "all {last} chunks were buffered");
        let messages = collect(&mut exchange).await;
        assert_eq!(outcome(&messages), Some(Outcome::Done));
        assert_eq!(
            messages.len(),
            words + 4,
            "started, words, stop, usage, end"
        );
    });
}

#[test]
fn a_plain_answer_is_forwarded_byte_for_byte() {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        let body: Vec<u8> = (0..=255).cycle().take(100_000).collect();
        fleet.plain.answer_with(body.clone());
        let answer = fleet.caller(0).plain("GET", "/ticket", None, "").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.content_type, "application/json");
        assert!(answer.body == body, "the body differs");
    });
}

#[rstest::rstest]
#[case::method("NO SUCH", "/ticket")]
#[case::no_slash("GET", "@elsewhere:80/")]
#[case::line_break("GET", "/a\r\nx: y")]
#[case::empty("GET", "")]
fn an_invalid_http_call_is_refused_without_sending_it(#[case] method: &str, #[case] path: &str) {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        let link = raw(&fleet, 1).await;
        let call = plain_call(1, method, path);
        let mut exchange = link.send(Message::Dispatch(call)).await;
        let messages = collect(&mut exchange).await;
        assert_eq!(outcome(&messages), Some(Outcome::NotRun), "{messages:?}");
        assert_eq!(fleet.plain.calls(), 0);
    });
}

#[test]
fn a_path_with_an_authority_is_sent_to_the_backend_server() {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        let link = raw(&fleet, 1).await;
        let call = plain_call(1, "GET", "//192.0.2.1/ticket");
        let mut exchange = link.send(Message::Dispatch(call)).await;
        let messages = collect(&mut exchange).await;
        assert_eq!(outcome(&messages), Some(Outcome::Done), "{messages:?}");
        assert_eq!(fleet.plain.calls(), 1);
    });
}

#[test]
fn a_call_to_a_service_that_is_down_is_not_run() {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        fleet.plain.crash().await;
        let link = raw(&fleet, 1).await;
        let mut exchange = link
            .send(Message::Dispatch(plain_call(1, "GET", "/ticket")))
            .await;
        let messages = collect(&mut exchange).await;
        assert_eq!(outcome(&messages), Some(Outcome::NotRun), "{messages:?}");
    });
}

#[test]
fn the_outcome_of_a_lost_answer_is_unknown() {
    wait::run(async {
        let fleet = start(EngineSettings::default()).await;
        fleet.plain.lose_answers(1);
        let link = raw(&fleet, 1).await;
        let mut exchange = link
            .send(Message::Dispatch(plain_call(1, "POST", "/ticket")))
            .await;
        let messages = collect(&mut exchange).await;
        assert_eq!(outcome(&messages), Some(Outcome::Unknown), "{messages:?}");
        assert_eq!(fleet.plain.calls(), 1);
    });
}
