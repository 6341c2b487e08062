//! Chunked bodies whose chunks end anywhere in what is read.

use std::time;

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use rstest::rstest;
use smol::net::TcpListener;

/// Enough for several reads.
const CHUNKS: usize = 1_000;
const CHUNK_BYTES: usize = 200;

/// A chunked answer with `count` chunks of `size` bytes.
fn answer(size: usize, count: usize) -> Vec<u8> {
    let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for _ in 0..count {
        let line = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
        bytes.extend_from_slice(line.as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Serves one answer in two parts.
async fn serve(listener: TcpListener, first: Vec<u8>, second: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1_024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    stream.write_all(&first).await.unwrap();
    smol::Timer::after(time::Duration::from_millis(40)).await;
    // Fails when the client has closed the connection.
    let _ = stream.write_all(&second).await;
}

// Sound answers were cut if a read ended within the line of a chunk and the next one filled
// its buffer.
#[rstest]
fn a_body_is_read_to_its_end_wherever_a_read_ends(
    #[values(0, 1, 2, 3, 4, 5, 100, 203, 204, 205, 206)] rest: usize,
    #[values(1_024, 16_384, 65_536)] buffer: usize,
) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = answer(CHUNK_BYTES, CHUNKS);
        let head = bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        let (first, second) = bytes.split_at(head + 206 + rest);
        let serve = serve(listener, first.to_vec(), second.to_vec());
        let read = async {
            let client = lentil_http::client();
            let mut conn = client.get(format!("http://{address}/")).await.unwrap();
            let mut body = lentil_http::Body::new(conn.response_body());
            let mut data = vec![0; buffer];
            let mut size = body.read(&mut data).await.unwrap();
            // The second part is waiting.
            smol::Timer::after(time::Duration::from_millis(100)).await;
            loop {
                match body.read(&mut data).await.unwrap() {
                    0 => return size,
                    read => size += read,
                }
            }
        };
        let (size, ()) = futures_lite::future::zip(read, serve).await;
        assert_eq!(size, CHUNKS * CHUNK_BYTES);
    });
}

#[rstest]
#[case::of_one_byte(1, 40_000, false)]
#[case::of_one_byte_in_a_small_body(1, 1_000, true)]
#[case::of_two_bytes(2, 40_000, true)]
fn chunks_of_one_byte_are_not_read_without_end(
    #[case] size: usize,
    #[case] count: usize,
    #[case] is_read: bool,
) {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = serve(listener, answer(size, count), Vec::new());
        let read = async {
            let client = lentil_http::client();
            let mut conn = client.get(format!("http://{address}/")).await.unwrap();
            lentil_http::read_all(conn.response_body(), usize::MAX).await
        };
        let (body, ()) = futures_lite::future::zip(read, serve).await;
        match body {
            Ok(body) => assert_eq!((body.len(), is_read), (size * count, true)),
            Err(error) => assert!(!is_read, "{error}"),
        }
    });
}
