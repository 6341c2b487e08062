//! Calls to plain services.

use crate::support::{Bench, Response, Script, Step, auth, run};
use lentil_policy::protocol;
use lentil_types::{Class, FailReason, Outcome};

fn service(pieces: Vec<Vec<u8>>) -> Script {
    Box::new(move |_| {
        let headers = vec![
            ("content-type", "application/octet-stream"),
            ("x-scale", "7"),
            ("connection", "x-hop"),
            ("transfer-encoding", "chunked"),
            ("x-lentil-outcome", "unknown"),
        ];
        let mut steps = vec![Step::Head(207, headers)];
        steps.extend(pieces.iter().cloned().map(Step::Piece));
        steps.push(Step::End(protocol::Usage::default()));
        steps
    })
}

#[rstest::rstest]
#[case("GET")]
#[case("PUT")]
#[case("PATCH")]
#[case("DELETE")]
#[case("OPTIONS")]
fn a_call_is_forwarded_unchanged(#[case] method: &str) {
    run(async {
        let bench = Bench::start(service(vec![vec![0xff, 0x00], vec![0xfe]])).await;
        let headers = format!(
            "{}x-lot: 1\r\nx-lot: 2\r\naccept: */*\r\nconnection: x-hop\r\nx-hop: 1\r\n\
             x-lentil-class: patient\r\n",
            auth()
        );
        let response = bench
            .call(
                method,
                "/services/dockdesk/tag/a%20b?lot=1&x=%2f",
                &headers,
                b"\xff\x00\xfe",
            )
            .await;
        assert_eq!(response.status, 207);
        assert_eq!(response.body, [0xff, 0x00, 0xfe]);
        assert_eq!(response.header("x-scale"), Some("7"));
        assert_eq!(response.header("x-lentil-outcome"), Some("done"));
        assert_eq!(response.header("transfer-encoding"), None);

        let dispatch = bench.runner.dispatch().await;
        assert_eq!(dispatch.call.method, method);
        assert_eq!(dispatch.call.path, "/tag/a%20b?lot=1&x=%2f");
        assert_eq!(*dispatch.call.body, *b"\xff\x00\xfe");
        assert_eq!(dispatch.offer.work.class, Class::Patient);
        let mut sent: Vec<_> = dispatch
            .call
            .headers
            .iter()
            .map(|header| (header.name.as_str(), header.value.as_str()))
            .collect();
        sent.sort_unstable();
        assert_eq!(sent, [("accept", "*/*"), ("x-lot", "1"), ("x-lot", "2")]);
    });
}

#[test]
fn a_call_without_a_class_gets_the_default_of_its_service() {
    run(async {
        let bench = Bench::start(service(Vec::new())).await;
        bench.call("GET", "/services/dockdesk", &auth(), b"").await;
        let dispatch = bench.runner.dispatch().await;
        assert_eq!(dispatch.offer.work.class, Class::Urgent);
        assert_eq!(dispatch.call.path, "/");
    });
}

#[test]
fn a_large_answer_is_streamed_completely() {
    run(async {
        let pieces: Vec<Vec<u8>> = (0..64).map(|index| vec![index; 16 * 1024]).collect();
        let expected = pieces.concat();
        let bench = Bench::start(service(pieces)).await;
        let response = bench
            .call("GET", "/services/dockdesk/log", &auth(), b"")
            .await;
        assert!(response.is_complete, "{:?}", response.headers);
        assert_eq!(response.header("transfer-encoding"), Some("chunked"));
        assert!(response.body == expected);
    });
}

#[test]
fn a_failure_after_the_head_closes_the_connection() {
    run(async {
        let script = |_: &_| {
            let mut steps = vec![Step::Head(200, Vec::new())];
            // More than is buffered for another attempt.
            steps.extend((0..80).map(|_| Step::Piece(vec![b'x'; 16 * 1024])));
            steps.push(Step::Fail(Outcome::Unknown, FailReason::Backend, None));
            steps
        };
        let bench = Bench::start(Box::new(script)).await;
        let headers = format!("{}x-lentil-deadline-ms: 500\r\n", auth());
        let response = bench
            .call("GET", "/services/dockdesk/log", &headers, b"")
            .await;
        assert_eq!((response.status, response.is_complete), (200, false));
        assert_eq!(response.header("x-lentil-outcome"), None);
    });
}

/// The response to a caller of HTTP/1.0, without framing for a body of unknown length.
async fn ask_1_0(script: Script) -> Response {
    let bench = Bench::start(script).await;
    let mut caller = bench.caller().await;
    let headers = format!("{}x-lentil-deadline-ms: 500\r\n", auth());
    let request = format!("GET /services/dockdesk/log HTTP/1.0\r\nhost: entry\r\n{headers}\r\n");
    caller.write(request.as_bytes()).await;
    let response = caller.response().await;
    assert_eq!(response.header("transfer-encoding"), None);
    assert!(response.header("content-length").is_some());
    assert!(caller.is_closed().await, "nothing follows");
    response
}

#[test]
fn a_failure_after_the_head_looks_complete_to_no_caller_of_http_1_0() {
    run(async {
        let script = |_: &_| {
            let mut steps = vec![Step::Head(200, Vec::new())];
            steps.extend((0..80).map(|_| Step::Piece(vec![b'x'; 16 * 1024])));
            steps.push(Step::Fail(Outcome::Unknown, FailReason::Backend, None));
            steps
        };
        let response = ask_1_0(Box::new(script)).await;
        assert_eq!(response.status, 502);
        assert_eq!(response.header("x-lentil-outcome"), Some("unknown"));
    });
}

#[test]
fn a_large_answer_reaches_a_caller_of_http_1_0_unchanged() {
    run(async {
        let pieces: Vec<Vec<u8>> = (0..80).map(|index| vec![index; 16 * 1024]).collect();
        let expected = pieces.concat();
        let response = ask_1_0(service(pieces)).await;
        assert_eq!((response.status, response.is_complete), (207, true));
        assert!(response.body == expected);
    });
}
