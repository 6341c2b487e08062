//! One connection of a caller.

use std::{net, rc, time};

use bytes::Bytes;
use lentil_policy::forward::routing;
use lentil_process::metrics::Counter;
use smol::net::TcpStream;

use super::{Router, answer::Answer, body_memory::BodyReservation, plan::Request, request};
use crate::h1::{self, ReadError};

/// Most bytes of further requests that are read while one is answered. A caller
/// that sends more cannot be seen leaving until it is answered.
const MAX_AHEAD: usize = 64 * 1024;

/// What was read of a connection.
enum Read {
    /// A whole request, with its share of the memory.
    Request(Request, BodyReservation),
    /// The caller left, or was idle for too long.
    Nothing,
    /// What came is answered with this status, and the connection is closed.
    Bad(u16),
}

/// Serves the requests of one connection in order.
pub(super) async fn serve(router: rc::Rc<Router>, stream: TcpStream) {
    let mut connection = h1::Connection::new(stream);
    loop {
        let (request, reservation) = match read(&router, &mut connection).await {
            Read::Request(request, reservation) => (request, reservation),
            Read::Nothing => return,
            Read::Bad(status) => {
                let mut answer = Answer::new(connection.stream(), true, true);
                log::info!(status; "closing a connection after a bad request");
                let retry = (router.names.retry_after, router.settings.retry_after);
                let retry = (status == 503).then_some(retry);
                if answer.own(status, retry).await.is_ok() {
                    linger(&router, connection).await;
                }
                return;
            }
        };
        let close = !request.head.keep_alive || router.stopped().is_some();
        let mut answer = Answer::new(connection.stream(), request.head.chunked, close);
        let serve = async {
            request::serve(&router, &request, &mut answer).await;
            true
        };
        let is_here = futures_lite::future::or(serve, left(&mut connection)).await;
        drop(reservation);
        if !is_here {
            router.metrics.count(Counter::CallersGone);
            note_left(&router, &request);
            return;
        }
        if !answer.keeps_open() {
            if !answer.is_broken() {
                linger(&router, connection).await;
            }
            return;
        }
    }
}

/// Logs that a caller left before its answer was whole.
fn note_left(router: &Router, request: &Request) {
    if !router.lines.take(router.now()) {
        return;
    }
    let headers = &request.head.headers;
    log::info!(
        request = headers.text(router.names.request_id).unwrap_or("-"),
        age_ms = router.now().since(request.received).as_millis(),
        deadline_ms = headers.text(router.names.deadline).unwrap_or("-");
        "caller left before its answer"
    );
}

/// Ends when the caller closes its connection.
async fn left(connection: &mut h1::Connection) -> bool {
    while connection.buffered() < MAX_AHEAD {
        match connection.fill().await {
            Ok(0) | Err(_) => return false,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

async fn read(router: &rc::Rc<Router>, connection: &mut h1::Connection) -> Read {
    let limits = match router.state().routing() {
        Some(routing) => routing.limits,
        None => routing::Limits::default(),
    };
    if connection.buffered() == 0 && !wait(router, connection, limits.idle_time).await {
        return Read::Nothing;
    }
    let late = async {
        smol::Timer::after(limits.head_time).await;
        Err(None)
    };
    let head = async {
        let head = connection.request_head(limits.head_bytes).await;
        head.map_err(Some)
    };
    let head = match futures_lite::future::or(head, late).await {
        Ok(Some(head)) => head,
        Ok(None) => return Read::Nothing,
        Err(None) => return Read::Bad(408),
        Err(Some(error)) => return bad(&error),
    };
    let Some(reservation) = BodyReservation::take(router, body_size(&head, &limits)) else {
        return Read::Bad(503);
    };
    match body(connection, &head, &limits).await {
        Ok(body) => {
            let request = Request {
                head,
                body,
                received: router.now(),
            };
            Read::Request(request, reservation)
        }
        Err(None) => Read::Bad(408),
        Err(Some(error)) => bad(&error),
    }
}

/// Waits for the first byte of a request. `false`: none came.
async fn wait(router: &Router, connection: &mut h1::Connection, idle: time::Duration) -> bool {
    let byte = async { matches!(connection.fill().await, Ok(1..)) };
    let late = async {
        smol::Timer::after(idle).await;
        false
    };
    let stop = async {
        router.idle_close().await;
        false
    };
    let end = futures_lite::future::or(late, stop);
    futures_lite::future::or(byte, end).await
}

/// Memory that the body of a request may take, in bytes.
fn body_size(head: &h1::RequestHead, limits: &routing::Limits) -> usize {
    match head.framing {
        h1::Framing::Empty => 0,
        // A larger one is refused for its size.
        h1::Framing::Length(size) => {
            usize::try_from(size).map_or(limits.body_bytes, |size| size.min(limits.body_bytes))
        }
        h1::Framing::Chunked | h1::Framing::UntilClose => limits.body_bytes,
    }
}

/// The body of a request. An error of `None`: it came too slowly.
async fn body(
    connection: &mut h1::Connection,
    head: &h1::RequestHead,
    limits: &routing::Limits,
) -> Result<Bytes, Option<ReadError>> {
    if head.framing == h1::Framing::Empty {
        return Ok(Bytes::new());
    }
    if head.headers.lists("expect", "100-continue") {
        let go_on = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        go_on.map_err(|error| Some(error.into()))?;
    }
    let late = async {
        smol::Timer::after(limits.idle_time).await;
        Err(None)
    };
    let mut reader = h1::BodyReader::new(head.framing);
    let all = async {
        let body = reader.all(connection, limits.body_bytes).await;
        body.map_err(Some)
    };
    futures_lite::future::or(all, late).await
}

/// What a caller that sent something unacceptable is told.
fn bad(error: &ReadError) -> Read {
    match error {
        ReadError::Closed | ReadError::Truncated | ReadError::Broken(_) => Read::Nothing,
        ReadError::HeadTooLarge(_) => Read::Bad(431),
        ReadError::BodyTooLarge(_) => Read::Bad(413),
        ReadError::Head(_) | ReadError::Chunk => Read::Bad(400),
    }
}

/// Closes this side and reads the other one on for a moment: closing a
/// connection with unread bytes resets it, and the answer could be lost.
async fn linger(router: &Router, mut connection: h1::Connection) {
    if connection.stream().shutdown(net::Shutdown::Write).is_err() {
        return;
    }
    let read = async { while connection.skip().await {} };
    let late = async {
        smol::Timer::after(router.settings.linger).await;
    };
    futures_lite::future::or(read, late).await;
}
