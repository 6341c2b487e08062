//! Parsing of HTTP/1.1 messages, valid and hostile.

use bytes::Bytes;
use futures_lite::AsyncWriteExt as _;
use lentil_forward::h1::{
    BadHead, BodyReader, Connection, Framing, ReadError, RequestHead, ResponseHead,
};
use proptest::prelude::*;
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};

/// A connection on which the peer sends `bytes` and then closes it cleanly.
async fn connection(bytes: &[u8]) -> Connection {
    let (connection, mut writer) = pair().await;
    writer.write_all(bytes).await.unwrap();
    writer.close().await.unwrap();
    connection
}

/// A connection and its peer's end.
async fn pair() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let writer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (reader, _) = listener.accept().await.unwrap();
    (Connection::new(reader), writer)
}

fn request(head: &str) -> Result<RequestHead, BadHead> {
    RequestHead::parse(&Bytes::copy_from_slice(head.as_bytes()))
}

#[rstest]
#[case(
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    BadHead::Framing
)]
#[case("Content-Length: 3\r\nContent-Length: 4\r\n", BadHead::Framing)]
#[case("Content-Length: 3\r\nContent-Length: 3\r\n", BadHead::Framing)]
#[case("Content-Length: +3\r\n", BadHead::Framing)]
#[case("Content-Length: 3, 3\r\n", BadHead::Framing)]
#[case("Content-Length: \r\n", BadHead::Framing)]
#[case("Transfer-Encoding: gzip, chunked\r\n", BadHead::Framing)]
#[case("Transfer-Encoding: xchunked\r\n", BadHead::Framing)]
#[case(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    BadHead::Framing
)]
#[case("Transfer-Encoding : chunked\r\n", BadHead::Syntax)]
#[case("X: a\r\n b\r\n", BadHead::Syntax)]
#[case("X: a\nY: b\r\n", BadHead::LineEnd)]
#[case("Host: other\r\n", BadHead::Repeated)]
fn ambiguous_heads_are_rejected(#[case] fields: &str, #[case] bad: BadHead) {
    let head = format!("POST /a/ HTTP/1.1\r\nHost: a.example\r\n{fields}\r\n");
    assert_eq!(request(&head), Err(bad));
}

#[test]
fn a_request_without_a_host_is_rejected_and_the_target_is_split() {
    assert_eq!(request("GET / HTTP/1.1\r\n\r\n"), Err(BadHead::Repeated));
    let head = request("GET /a/b?c=/d/ HTTP/1.1\r\nHost: A.example:80\r\n\r\n").unwrap();
    assert_eq!(head.host(), Some("A.example"));
    assert_eq!(head.path(), "/a/b");
    assert_eq!(head.target, "/a/b?c=/d/");
    assert_eq!(head.framing, Framing::Empty);
}

#[rstest]
#[case("HTTP/1.1", "", true)]
#[case("HTTP/1.1", "Connection: close\r\n", false)]
#[case("HTTP/1.1", "Connection: x, Close\r\n", false)]
#[case("HTTP/1.0", "", false)]
#[case("HTTP/1.0", "Connection: keep-alive\r\n", true)]
fn a_connection_is_kept_alive_as_the_head_says(
    #[case] version: &str,
    #[case] field: &str,
    #[case] is_kept: bool,
) {
    let head = request(&format!("GET / {version}\r\nHost: a\r\n{field}\r\n")).unwrap();
    assert_eq!(head.keep_alive, is_kept);
}

#[test]
fn a_response_head_gives_framing_and_keep_alive() {
    let parse =
        |text: &str| ResponseHead::parse(&Bytes::copy_from_slice(text.as_bytes()), "GET").unwrap();
    let head = parse("HTTP/1.1 200 OK\r\nX: 1\r\n\r\n");
    assert_eq!(
        (head.framing, head.keep_alive),
        (Framing::UntilClose, false)
    );
    let head = parse("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!((head.framing, head.keep_alive), (Framing::Empty, true));
    let head =
        parse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=7, max=3\r\n\r\n");
    assert_eq!(head.idle_time(), Some(std::time::Duration::from_secs(7)));
}

fn body(bytes: &[u8], framing: Framing, limit: usize) -> Result<Vec<u8>, ReadError> {
    smol::block_on(async {
        let mut connection = connection(bytes).await;
        let body = BodyReader::new(framing).all(&mut connection, limit).await;
        body.map(|body| body.to_vec())
    })
}

#[test]
fn chunks_are_joined_and_trailers_dropped() {
    let bytes = b"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\nnext";
    assert_eq!(body(bytes, Framing::Chunked, 100).unwrap(), b"abcde");
}

#[rstest]
#[case(b"3\r\nabcX\r\n0\r\n\r\n")]
#[case(b"-1\r\n\r\n")]
#[case(b"0x3\r\nabc\r\n0\r\n\r\n")]
#[case(b"3\nabc\r\n0\r\n\r\n")]
#[case(b"ffffffffffffffffff\r\n")]
#[case(b"\r\n")]
fn malformed_chunks_are_rejected(#[case] bytes: &[u8]) {
    assert!(matches!(
        body(bytes, Framing::Chunked, 100),
        Err(ReadError::Chunk)
    ));
}

#[rstest]
#[case(b"ab", Framing::Length(3))]
#[case(b"3\r\nab", Framing::Chunked)]
#[case(b"3\r\nabc\r\n", Framing::Chunked)]
#[case(b"3\r\nabc\r\n0\r\n", Framing::Chunked)]
fn a_body_that_ends_early_is_truncated(#[case] bytes: &[u8], #[case] framing: Framing) {
    assert!(matches!(
        body(bytes, framing, 100),
        Err(ReadError::Truncated)
    ));
}

#[rstest]
#[case(b"abcd", Framing::Length(4))]
#[case(b"4\r\nabcd\r\n0\r\n\r\n", Framing::Chunked)]
#[case(b"abcd", Framing::UntilClose)]
fn a_body_over_the_limit_is_rejected(#[case] bytes: &[u8], #[case] framing: Framing) {
    assert!(matches!(
        body(bytes, framing, 3),
        Err(ReadError::BodyTooLarge(3))
    ));
    assert_eq!(body(bytes, framing, 4).unwrap(), b"abcd");
}

#[test]
fn a_reset_does_not_complete_a_body_without_a_length() {
    smol::block_on(async {
        let (mut connection, mut writer) = pair().await;
        writer.write_all(b"abc").await.unwrap();
        // Closing a socket with unread bytes sends a reset.
        connection.write(b"unread").await.unwrap();
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
        drop(writer);
        let mut reader = BodyReader::new(Framing::UntilClose);
        let body = reader.all(&mut connection, 100).await;
        assert!(matches!(body, Err(ReadError::Broken(_))), "{body:?}");
    });
}

#[test]
fn heads_are_limited_and_the_bytes_after_them_stay_buffered() {
    smol::block_on(async {
        let bytes = b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n";
        let mut both = connection(bytes).await;
        assert_eq!(both.request_head(100).await.unwrap().unwrap().target, "/");
        assert_eq!(both.request_head(100).await.unwrap().unwrap().target, "/2");
        assert!(both.request_head(100).await.unwrap().is_none());
        let mut long = connection(bytes).await;
        let error = long.request_head(10).await.unwrap_err();
        assert!(matches!(error, ReadError::HeadTooLarge(10)));
        let mut truncated = connection(&bytes[..20]).await;
        assert!(matches!(
            truncated.request_head(100).await.unwrap_err(),
            ReadError::Truncated
        ));
    });
}

#[test]
fn informational_responses_are_skipped() {
    smol::block_on(async {
        let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        let mut connection = connection(bytes).await;
        assert_eq!(connection.response_head("GET").await.unwrap().status, 200);
    });
}

#[test]
fn a_connection_is_idle_until_bytes_arrive_or_it_is_closed() {
    smol::block_on(async {
        let (mut open, mut writer) = pair().await;
        assert!(open.is_idle().await);
        writer.write_all(b"x").await.unwrap();
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
        assert!(!open.is_idle().await);
        let (mut closed, writer) = pair().await;
        drop(writer);
        smol::Timer::after(std::time::Duration::from_millis(50)).await;
        assert!(!closed.is_idle().await);
    });
}

proptest! {
    #[test]
    fn parsers_do_not_panic_on_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let head = Bytes::from(bytes);
        let _ = RequestHead::parse(&head);
        let _ = ResponseHead::parse(&head, "GET");
    }

    #[test]
    fn request_accessors_do_not_panic_on_random_heads(text in "(GET|POST) /[a-z/]{0,8} HTTP/1.[01]\r\n([A-Za-z-]{1,18}: ?[ -~]{0,12}\r\n){0,4}\r\n") {
        if let Ok(head) = request(&text) {
            let _ = (head.path(), head.host());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn body_reader_does_not_panic_on_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        for framing in [Framing::Chunked, Framing::Length(50), Framing::UntilClose] {
            let _ = body(&bytes, framing, 100);
        }
    }

    #[test]
    fn a_chunked_body_round_trips(chunks in proptest::collection::vec("[a-z]{1,20}", 0..8)) {
        let chunk = |text: &String| format!("{:x}\r\n{text}\r\n", text.len());
        let bytes: String = chunks.iter().map(chunk).collect::<String>() + "0\r\n\r\n";
        let read = body(bytes.as_bytes(), Framing::Chunked, 1_000).unwrap();
        prop_assert_eq!(read, chunks.concat().into_bytes());
    }
}
