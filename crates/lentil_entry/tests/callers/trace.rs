//! Traces of requests, read from the admin server.

use std::sync::Arc;

use lentil_process::admin;
use lentil_types::Class;

use crate::support::{Bench, Caller, Step, auth, run};

#[test]
fn a_trace_contains_the_requests_that_arrive_while_it_is_read() {
    run(async {
        let script = |_: &_| vec![Step::Head(200, Vec::new()), Step::End(Default::default())];
        let bench = Bench::start(Box::new(script)).await;
        let (settings, subject) = (
            admin::Settings::default(),
            Arc::new(bench.entry.admin_handle()),
        );
        let server = admin::Server::start(settings, subject, bench.entry.trace_handler());
        let server = server.await.expect("the admin server listens");
        let plain = bench
            .call("GET", "/services/dockdesk/1", &auth(), b"")
            .await;
        assert_eq!(plain.status, 200);

        let body = serde_json::json!({
            "model": "sortmind-7b", "max_tokens": 7,
            "messages": [{ "role": "user", "content": "rules ".repeat(1_000) }],
        });
        let (headers, body) = (
            format!("{}x-lentil-class: patient\r\n", auth()),
            body.to_string(),
        );
        let traffic = async {
            loop {
                bench
                    .call("POST", "/v1/chat/completions", &headers, body.as_bytes())
                    .await;
            }
        };
        let mut reader = Caller::connect(server.address()).await;
        reader.request("GET", "/trace?seconds=1", "", b"").await;
        let trace = smol::future::or(reader.response(), traffic).await;
        assert_eq!((trace.status, trace.is_complete), (200, true));
        let records = lentil_trace::Reader::new(trace.body.as_slice()).expect("there is a header");
        let records: Vec<_> = records.map(|record| record.expect("a record")).collect();
        assert!(!records.is_empty());
        let models = records.iter().map(|record| record.model.as_deref());
        assert!(models.clone().all(|model| model == Some("sortmind-7b")));
        assert_eq!(records[0].team.as_str(), "recycler-a");
        assert_eq!(records[0].class, Class::Patient);
        assert_eq!(records[0].pieces.len(), 2);
        assert_eq!(records[0].output.0, 7);
    });
}

#[rstest::rstest]
#[case("seconds=0")]
#[case("seconds=3601")]
#[case("seconds=x")]
fn an_invalid_trace_duration_is_refused(#[case] query: &str) {
    run(async {
        let bench = Bench::start(Box::new(|_| Vec::new())).await;
        let (settings, subject) = (
            admin::Settings::default(),
            Arc::new(bench.entry.admin_handle()),
        );
        let server = admin::Server::start(settings, subject, bench.entry.trace_handler());
        let server = server.await.expect("the admin server listens");
        let mut reader = Caller::connect(server.address()).await;
        reader
            .request("GET", &format!("/trace?{query}"), "", b"")
            .await;
        assert_eq!(reader.head().await.status, 400);
    });
}
