//! Callers that disconnect or are slow, drains, and new documents.

use std::{sync::Arc, time};

use crate::support::{Bench, Event, Script, Step, auth, config, run, wait_until};
use lentil_control::AppliedDocument;
use lentil_policy::{config_sync::Doc, poison, protocol, store::ObjectVersion};
use lentil_process::admin::ManagedProcess as _;
use lentil_types::ConfigVersion;
use serde_json::json;
use smol::channel;

/// Pieces of an answer that is much larger than all buffers between runner and caller.
const PIECE_COUNT: usize = 1_536;
/// Size of each piece, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

fn chunk(text: &str) -> Step {
    let chunk = json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
    Step::Piece(chunk.to_string().into_bytes())
}

fn request_body(stream: bool) -> Vec<u8> {
    let request_body = json!({ "model": "sortmind-7b", "stream": stream, "messages": [] });
    request_body.to_string().into_bytes()
}

#[rstest::rstest]
#[case::waiting(vec![], false)]
#[case::gathering(vec![(); 1], false)]
#[case::streaming(vec![(); 1], true)]
fn a_disconnected_caller_cancels_its_attempt(#[case] started: Vec<()>, #[case] stream: bool) {
    run(async {
        let script: Script = Box::new(move |_| {
            let mut steps: Vec<Step> = started
                .iter()
                .map(|()| Step::Head(200, Vec::new()))
                .collect();
            steps.extend(started.iter().map(|()| chunk("spring")));
            steps.push(Step::Hold);
            steps
        });
        let bench = Bench::start(script).await;
        let mut caller = bench.caller().await;
        caller
            .request(
                "POST",
                "/v1/chat/completions",
                &auth(),
                &request_body(stream),
            )
            .await;
        bench.runner.dispatch().await;
        if stream {
            caller.head().await;
        }
        drop(caller);
        bench.runner.cancelled().await;
    });
}

#[test]
fn a_slow_caller_exerts_backpressure_and_gets_the_whole_answer() {
    run(async {
        let script: Script = Box::new(|_| {
            let mut steps = vec![Step::Head(200, Vec::new())];
            steps.extend((0..PIECE_COUNT).map(|_| Step::Piece(vec![b'x'; PIECE_BYTES])));
            steps.push(Step::End(protocol::Usage::default()));
            steps
        });
        let bench = Bench::start(script).await;
        let mut caller = bench.caller().await;
        caller
            .request("GET", "/services/dockdesk/log", &auth(), b"")
            .await;
        bench.runner.dispatch().await;
        // Backpressure stops the runner, however long this waits.
        smol::Timer::after(std::time::Duration::from_millis(300)).await;
        let sent = std::iter::from_fn(|| bench.runner.events.try_recv().ok());
        let sent = sent.filter(|seen| matches!(seen, Event::Sent)).count();
        assert!(sent < PIECE_COUNT, "{sent} pieces left the runner");
        let response = caller.response().await;
        assert!(response.is_complete);
        assert_eq!(response.body.len(), PIECE_COUNT * PIECE_BYTES);
    });
}

#[test]
fn a_drain_lets_everything_in_flight_finish() {
    run(async {
        let (release, released) = channel::bounded(1);
        let script: Script = Box::new(move |_| {
            vec![
                Step::Head(200, Vec::new()),
                chunk("spring"),
                Step::Wait(released.clone()),
                chunk("foam"),
                Step::End(protocol::Usage::default()),
            ]
        });
        let bench = Bench::start(script).await;
        let subject = bench.entry.admin_handle();
        assert!(subject.ready().is_ok());
        let mut streaming = bench.caller().await;
        streaming
            .request("POST", "/v1/chat/completions", &auth(), &request_body(true))
            .await;
        let mut idle = bench.caller().await;
        idle.request("GET", "/v1/models", &auth(), b"").await;
        assert_eq!(idle.response().await.status, 200);
        bench.runner.dispatch().await;

        let drain = bench.entry.drain();
        let calls = async {
            wait_until(|| subject.ready().is_err()).await;
            idle.request("GET", "/services/dockdesk/tag", &auth(), b"")
                .await;
            let refused = idle.response().await;
            assert_eq!(refused.status, 503);
            assert_eq!(refused.json()["error"]["code"], "leaving");
            assert_eq!(refused.header("x-lentil-outcome"), Some("not-run"));
            assert!(refused.header("retry-after").is_some());
            assert_eq!(refused.header("connection"), Some("close"));
            release.send(()).await.expect("the script waits");
            let response = streaming.response().await;
            assert!(response.is_complete && response.text().ends_with("data: [DONE]\n\n"));
            assert!(response.text().contains("foam"));
        };
        smol::future::zip(drain, calls).await;
    });
}

#[test]
fn a_new_configuration_applies_to_later_requests_and_never_reverts() {
    run(async {
        let (release, released) = channel::bounded(1);
        let script: Script = Box::new(move |_| {
            vec![
                Step::Head(200, Vec::new()),
                Step::Wait(released.clone()),
                chunk("spring"),
                Step::End(protocol::Usage::default()),
            ]
        });
        let bench = Bench::start(script).await;
        let mut in_flight = bench.caller().await;
        in_flight
            .request("POST", "/v1/chat/completions", &auth(), &request_body(true))
            .await;
        bench.runner.dispatch().await;

        let more = "[[model]]\nname = \"newer\"\nservice = \"sortmind\"\nweights = 2\n";
        let newer = Arc::new(config(bench.runner.addresses, more));
        let older = Arc::new(config(bench.runner.addresses, ""));
        assert!(bench.entry.set_config(ConfigVersion(3), &newer));
        assert!(!bench.entry.set_config(ConfigVersion(2), &older));
        assert!(!bench.entry.set_config(ConfigVersion(3), &older));
        let models = bench.call("GET", "/v1/models", &auth(), b"").await.json();
        assert_eq!(models["data"][1]["id"], "newer");

        release.send(()).await.expect("the script waits");
        let response = in_flight.response().await;
        assert!(response.text().contains("spring"));
        assert!(response.text().ends_with("data: [DONE]\n\n"));
    });
}

#[test]
fn an_event_is_sent_before_the_next_one_arrives() {
    run(async {
        let script: Script =
            Box::new(|_| vec![Step::Head(200, Vec::new()), chunk("spring"), Step::Hold]);
        let bench = Bench::start(script).await;
        let mut caller = bench.caller().await;
        caller
            .request("POST", "/v1/chat/completions", &auth(), &request_body(true))
            .await;
        while !caller.line().await.contains("spring") {}
    });
}

#[test]
fn a_request_in_the_poison_document_is_refused() {
    run(async {
        let usage = protocol::Usage::default();
        let script: Script = Box::new(move |_| vec![Step::Head(200, Vec::new()), Step::End(usage)]);
        let bench = Bench::start(script).await;
        let path = "/services/dockdesk/tag";
        let first = bench.call("GET", path, &auth(), b"").await;
        assert_eq!(first.status, 200);
        let fingerprint = bench.runner.dispatch().await.fingerprint;

        let mut document = poison::Document::default();
        document.add(fingerprint, poison::POISON_CRASHES, time::Duration::ZERO);
        let (agent, applied) = channel::unbounded();
        let next = AppliedDocument {
            doc: Doc::Poison,
            version: ObjectVersion(1),
            value: document.to_bytes().into(),
        };
        agent.try_send(next).expect("it is open");
        drop(agent);
        lentil_entry::follow(bench.entry.control(), applied).await;

        let again = bench.call("GET", path, &auth(), b"").await;
        assert_eq!(again.status, 422);
        assert_eq!(again.header("x-lentil-outcome"), Some("not-run"));
        assert_eq!(again.json()["error"]["code"], "poison");
    });
}
