//! Calls to the store, agents' runners and other routers.

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use lentil_forward::Call;
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
