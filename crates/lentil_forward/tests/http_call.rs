//! Calls to the store, agents' runners and other routers.

use std::time;

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use lentil_forward::{ByteBudget, Call, CallError};
use rstest::rstest;
use smol::net::TcpListener;

#[rstest]
#[case::before_the_head("")]
#[case::within_the_first_line("HTTP/1.1 200 O")]
#[case::at_the_end_of_a_line("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")]
#[case::within_the_empty_line("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r")]
#[case::before_the_body("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")]
#[case::within_the_body("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{")]
#[case::before_the_last_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")]
fn an_answer_that_breaks_off_is_an_error(#[case] answer: &'static str) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(answer.as_bytes()).await.unwrap();
        };
        let call = Call::default();
        let reply = call.send(address, call.timeout);
        let (reply, ()) = futures_lite::future::zip(reply, serve).await;
        assert!(reply.is_err(), "{reply:?}");
    });
}

/// Largest answer of one call, and of all at once.
const LIMIT: usize = 1 << 20;
const ALL_LIMIT: usize = 4 << 20;
const CALLS: usize = 16;

/// Answers each request with `head` and then `part` without end, or `count` times.
async fn serve(listener: TcpListener, head: &'static str, part: Vec<u8>, count: usize) {
    let executor = smol::LocalExecutor::new();
    let accept = async {
        while let Ok((mut stream, _)) = listener.accept().await {
            let part = part.clone();
            let answer = async move {
                let mut request = [0; 1_024];
                let read = stream.read(&mut request).await;
                if read.is_err() || stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                for _ in 0..count {
                    if stream.write_all(&part).await.is_err() {
                        return;
                    }
                }
            };
            executor.spawn(answer).detach();
        }
    };
    executor.run(accept).await;
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\n\r\n";

fn chunk() -> Vec<u8> {
    format!("1000\r\n{}\r\n", "x".repeat(0x1000)).into_bytes()
}

#[rstest]
#[case::chunks(CHUNKED, chunk())]
#[case::until_close(UNTIL_CLOSE, vec![b'x'; 4_096])]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", vec![b'x'; 4_096])]
#[case::chunk_line(CHUNKED, vec![b'0'; 4_096])]
#[case::extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", vec![b'x'; 4_096])]
#[case::head("HTTP/1.1 200 OK\r\nX: ", vec![b'x'; 4_096])]
fn many_answers_without_end_fail_within_one_budget(
    #[case] head: &'static str,
    #[case] part: Vec<u8>,
) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let budget = ByteBudget::new(ALL_LIMIT);
        let executor = smol::LocalExecutor::new();
        let calls: Vec<_> = (0..CALLS)
            .map(|_| {
                let budget = budget.clone();
                executor.spawn(async move {
                    let call = Call {
                        limit: LIMIT,
                        budget: Some(budget.clone()),
                        timeout: time::Duration::from_secs(20),
                        ..Call::default()
                    };
                    let reply = call.send(address, call.timeout).await;
                    (reply, budget.used())
                })
            })
            .collect();
        let all = executor.run(async {
            for call in calls {
                let (reply, used) = call.await;
                assert!(matches!(reply, Err(CallError::Read(_))), "{reply:?}");
                assert!(used <= ALL_LIMIT, "{used} bytes");
            }
        });
        futures_lite::future::or(all, serve(listener, head, part, usize::MAX)).await;
        assert_eq!(budget.used(), 0);
    });
}

#[test]
fn sound_answers_as_large_as_the_limit_are_read_one_after_the_other() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let budget = ByteBudget::new(LIMIT);
        let calls = async {
            for _ in 0..8 {
                let call = Call {
                    limit: LIMIT,
                    budget: Some(budget.clone()),
                    timeout: time::Duration::from_secs(20),
                    ..Call::default()
                };
                let reply = call.send(address, call.timeout).await.unwrap();
                assert_eq!(reply.body.len(), LIMIT);
            }
        };
        let part = vec![b'x'; 4_096];
        let server = serve(listener, UNTIL_CLOSE, part, LIMIT / 4_096);
        futures_lite::future::or(calls, server).await;
    });
}

#[rstest]
#[case(b"HTTP/1.1 000 -\r\nContent-Length: 2\r\n\r\n{}")]
#[case(b"HTTP/1.1 600 -\r\nContent-Length: 2\r\n\r\n{}")]
fn an_answer_with_a_status_that_http_does_not_know_is_an_error(#[case] answer: &'static [u8]) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(answer).await.unwrap();
        };
        let call = Call::default();
        let reply = call.send(address, call.timeout);
        let (reply, ()) = futures_lite::future::zip(reply, serve).await;
        assert!(matches!(reply, Err(CallError::Read(_))), "{reply:?}");
    });
}
