//! Serves the requests of one caller's connection.

use std::{net, rc, time};

use bytes::Bytes;
use lentil_policy::forward::routing;
use lentil_process::{
    metrics::Counter,
    panics::{self, Panicked},
};
use smol::net::TcpStream;

use super::{Router, answer::Answer, body_memory::BodyReservation, plan::Request, request};
use crate::h1::{self, ReadError};

/// Most bytes of pipelined requests that are read while one is answered. Beyond
/// this, a disconnect is noticed only after the answer.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;

enum ReadResult {
    /// A complete request and the memory reserved for its body.
    Request(Request, BodyReservation),
    /// The caller disconnected or was idle for too long.
    Closed,
    /// The request is answered with this status and the connection closed.
    Rejected(u16),
}

/// Serves the requests of a connection in order until it is closed.
pub async fn serve(router: rc::Rc<Router>, stream: TcpStream) {
    let mut connection = h1::Connection::new(stream);
    loop {
        let (request, reservation) = match read_request(&router, &mut connection).await {
            ReadResult::Request(request, reservation) => (request, reservation),
            ReadResult::Closed => return,
            ReadResult::Rejected(status) => {
                let mut answer = Answer::new(router.clone(), connection.stream(), true, true);
                log::info!(status; "closing a connection after a rejected request");
                let retry = (router.names.retry_after, router.settings.retry_after);
                let retry = (status == 503).then_some(retry);
                if answer.write_own(status, retry).await.is_ok() {
                    linger(&router, connection).await;
                }
                return;
            }
        };
        let (stream, chunked) = (connection.stream(), request.head.chunked);
        let close = !request.head.keep_alive;
        let mut answer = Answer::new(router.clone(), stream, chunked, close);
        let serve = async {
            // On the heap: a connection without a request takes less memory.
            let served = Box::pin(request::serve(&router, &request, &mut answer));
            if let Err(panicked) = panics::contain(&router.metrics, served).await {
                on_panic(&router, &request, &mut answer, panicked).await;
            }
            true
        };
        let is_connected = futures_lite::future::or(serve, disconnected(&mut connection)).await;
        drop(reservation);
        if !is_connected {
            router.metrics.count(Counter::CallersGone);
            log_disconnect(&router, &request);
            return;
        }
        if !answer.keeps_alive() {
            if !answer.is_incomplete() {
                linger(&router, connection).await;
            }
            return;
        }
    }
}

/// Ends the answer to a request whose handling has panicked. Nobody knows any more whether
/// it has run, so the status promises nothing.
async fn on_panic(router: &Router, request: &Request, answer: &mut Answer, error: Panicked) {
    let id = request.head.headers.text(router.names.request_id);
    log::error!(id, error:%; "a request has failed");
    if !answer.has_started() && answer.write_own(502, None).await.is_ok() {
        answer.close();
    } else {
        answer.abort();
    }
}

fn log_disconnect(router: &Router, request: &Request) {
    if !router.log_quota.try_take(router.now()) {
        return;
    }
    let headers = &request.head.headers;
    log::info!(
        request = headers.text(router.names.request_id).unwrap_or("-"),
        age_ms = router.now().since(request.received).as_millis(),
        deadline_ms = headers.text(router.names.deadline).unwrap_or("-");
        "caller disconnected before its answer was complete"
    );
}

/// Returns when the caller closes its connection.
async fn disconnected(connection: &mut h1::Connection) -> bool {
    while connection.buffered() < MAX_PIPELINED_BYTES {
        match connection.fill().await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

async fn read_request(router: &rc::Rc<Router>, connection: &mut h1::Connection) -> ReadResult {
    let limits = match router.state().routing() {
        Some(routing) => routing.limits,
        None => routing::Limits::default(),
    };
    if connection.buffered() == 0 && !wait_for_request(router, connection, limits.idle_time).await {
        return ReadResult::Closed;
    }
    let stopped = async {
        router.last_answers().await;
        ReadResult::Rejected(503)
    };
    futures_lite::future::or(read_whole(router, connection, &limits), stopped).await
}

/// Reads a request of which the first bytes have arrived.
async fn read_whole(
    router: &rc::Rc<Router>,
    connection: &mut h1::Connection,
    limits: &routing::Limits,
) -> ReadResult {
    let timeout = async {
        smol::Timer::after(limits.head_time).await;
        Err(None)
    };
    let head = async {
        let head = connection.request_head(limits.head_bytes).await;
        head.map_err(Some)
    };
    let head = match futures_lite::future::or(head, timeout).await {
        Ok(Some(head)) => head,
        Ok(None) => return ReadResult::Closed,
        Err(None) => return ReadResult::Rejected(408),
        Err(Some(error)) => return rejection(&error),
    };
    let Some(reservation) = BodyReservation::for_request(router, body_size(&head, limits)) else {
        return ReadResult::Rejected(503);
    };
    match read_body(connection, &head, limits).await {
        Ok(body) => {
            let request = Request {
                head,
                body,
                received: router.now(),
            };
            ReadResult::Request(request, reservation)
        }
        Err(None) => ReadResult::Rejected(408),
        Err(Some(error)) => rejection(&error),
    }
}

/// Waits for the first byte of a request; `false` if none arrives in time.
async fn wait_for_request(
    router: &Router,
    connection: &mut h1::Connection,
    idle_time: time::Duration,
) -> bool {
    let byte = async { matches!(connection.fill().await, Ok(1..)) };
    let timeout = async {
        smol::Timer::after(idle_time).await;
        false
    };
    let stop = async {
        router.idle_close().await;
        false
    };
    let end = futures_lite::future::or(timeout, stop);
    futures_lite::future::or(byte, end).await
}

/// Bytes to reserve for the body of a request.
fn body_size(head: &h1::RequestHead, limits: &routing::Limits) -> usize {
    match head.framing {
        h1::Framing::Empty => 0,
        // A larger body is rejected with 413 when it is read.
        h1::Framing::Length(size) => {
            usize::try_from(size).map_or(limits.body_bytes, |size| size.min(limits.body_bytes))
        }
        h1::Framing::Chunked | h1::Framing::UntilClose => limits.body_bytes,
    }
}

/// Reads the body of a request. Fails with `None` on a timeout.
async fn read_body(
    connection: &mut h1::Connection,
    head: &h1::RequestHead,
    limits: &routing::Limits,
) -> Result<Bytes, Option<ReadError>> {
    if head.framing == h1::Framing::Empty {
        return Ok(Bytes::new());
    }
    if head.headers.lists("expect", "100-continue") {
        let written = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|error| Some(error.into()))?;
    }
    let timeout = async {
        smol::Timer::after(limits.idle_time).await;
        Err(None)
    };
    let mut reader = h1::BodyReader::new(head.framing);
    let all = async {
        let body = reader.all(connection, limits.body_bytes).await;
        body.map_err(Some)
    };
    futures_lite::future::or(all, timeout).await
}

/// Status for a request that cannot be read; none if the connection is gone.
fn rejection(error: &ReadError) -> ReadResult {
    match error {
        ReadError::Closed | ReadError::Truncated | ReadError::Broken(_) => ReadResult::Closed,
        ReadError::HeadTooLarge(_) => ReadResult::Rejected(431),
        ReadError::BodyTooLarge(_) => ReadResult::Rejected(413),
        ReadError::Head(_) | ReadError::Chunk => ReadResult::Rejected(400),
    }
}

/// Closes the write side and discards input for a moment: closing a connection with
/// unread bytes resets it, and the answer could be lost.
async fn linger(router: &Router, mut connection: h1::Connection) {
    if connection.stream().shutdown(net::Shutdown::Write).is_err() {
        return;
    }
    let read = async { while connection.skip().await {} };
    let timeout = async {
        smol::Timer::after(router.settings.linger).await;
    };
    futures_lite::future::or(read, timeout).await;
}
