//! Writes answers to callers.

use std::{fmt::Write as _, io, rc, time};

use bytes::{BufMut as _, Bytes, BytesMut};
use futures_lite::AsyncWriteExt as _;
use smol::net::TcpStream;

use super::{Router, body_memory::BodyReservation};
use crate::h1;

/// A complete answer of a runner or the router.
pub(super) struct CompleteAnswer {
    pub(super) status: u16,
    pub(super) reason: compact_str::CompactString,
    pub(super) headers: h1::Headers,
    /// Length that the head names. An answer to a HEAD request, or with status 304, names
    /// that of a body which does not follow.
    pub(super) length: Option<u64>,
    pub(super) body: Bytes,
    /// Memory of the body; `None` for an answer of the router itself.
    pub(super) _reservation: Option<BodyReservation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    NotStarted,
    /// The head of a stream was written.
    Streaming,
    Done,
    /// Only part of it was written, or writing failed.
    Incomplete,
}

/// Writes the answer to one request of a caller.
pub(super) struct Answer {
    router: rc::Rc<Router>,
    stream: TcpStream,
    stage: Stage,
    /// Whether the caller supports chunked transfer encoding.
    chunked: bool,
    /// Whether the connection is closed after the answer.
    close: bool,
}

impl Answer {
    pub(super) fn new(
        router: rc::Rc<Router>,
        stream: TcpStream,
        chunked: bool,
        close: bool,
    ) -> Self {
        Self {
            router,
            stream,
            stage: Stage::NotStarted,
            chunked,
            close,
        }
    }

    /// Whether any bytes may have been written.
    pub(super) fn has_started(&self) -> bool {
        self.stage != Stage::NotStarted
    }

    /// Whether the connection can serve another request after this answer.
    pub(super) fn keeps_alive(&self) -> bool {
        self.stage == Stage::Done && !self.close
    }

    pub(super) fn is_incomplete(&self) -> bool {
        self.stage == Stage::Incomplete
    }

    pub(super) async fn write_complete(&mut self, complete: &CompleteAnswer) -> io::Result<()> {
        let mut bytes = self.head_bytes(complete.status, &complete.reason, &complete.headers);
        if let Some(length) = complete.length {
            let _ = write!(bytes, "Content-Length: {length}\r\n");
        }
        bytes.put_slice(b"\r\n");
        bytes.put_slice(&complete.body);
        self.stage = Stage::Incomplete;
        self.stream.write_all(&bytes).await?;
        self.stage = Stage::Done;
        Ok(())
    }

    /// Writes an answer of the router itself, with an empty body.
    pub(super) async fn write_own(
        &mut self,
        status: u16,
        retry_after: Option<(&str, time::Duration)>,
    ) -> io::Result<()> {
        let mut headers = h1::Headers::default();
        if let Some((name, after)) = retry_after {
            headers.push(name, format!("{:.2}", after.as_secs_f64()));
        }
        let complete = CompleteAnswer {
            status,
            reason: reason_phrase(status).into(),
            headers,
            length: Some(0),
            body: Bytes::new(),
            _reservation: None,
        };
        self.write_complete(&complete).await
    }

    /// Writes the head of a stream and its first events.
    pub(super) async fn begin_stream(
        &mut self,
        status: u16,
        reason: &str,
        headers: &h1::Headers,
        first: &[u8],
    ) -> io::Result<()> {
        if !self.chunked {
            self.close = true;
            // The end of the connection ends the stream, so that only a reset leaves it
            // incomplete.
            h1::set_reset_on_close(&self.stream, true)?;
        }
        let mut bytes = self.head_bytes(status, reason, headers);
        if self.chunked {
            bytes.put_slice(b"Transfer-Encoding: chunked\r\n");
        }
        bytes.put_slice(b"\r\n");
        self.push_chunk(&mut bytes, first);
        self.stage = Stage::Streaming;
        self.write(&bytes).await
    }

    /// Writes further complete events of a stream.
    pub(super) async fn write_events(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = BytesMut::with_capacity(events.len() + 16);
        self.push_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    pub(super) async fn end_stream(&mut self) -> io::Result<()> {
        if self.chunked {
            self.write(b"0\r\n\r\n").await?;
        } else {
            h1::set_reset_on_close(&self.stream, false)?;
        }
        self.stage = Stage::Done;
        Ok(())
    }

    /// Leaves the answer incomplete, and has the connection closed.
    pub(super) fn abort(&mut self) {
        self.stage = Stage::Incomplete;
        self.close = true;
    }

    /// Has the connection closed after the answer.
    pub(super) fn close(&mut self) {
        self.close = true;
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.write_all(bytes).await;
        if written.is_err() {
            self.abort();
        }
        written
    }

    fn push_chunk(&self, out: &mut BytesMut, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        if self.chunked {
            let _ = write!(out, "{:x}\r\n", bytes.len());
            out.put_slice(bytes);
            out.put_slice(b"\r\n");
        } else {
            out.put_slice(bytes);
        }
    }

    fn head_bytes(&mut self, status: u16, reason: &str, headers: &h1::Headers) -> BytesMut {
        // Also if the shutdown has begun since the request was read.
        self.close |= self.router.is_stopping();
        let mut bytes = BytesMut::with_capacity(512);
        let _ = write!(bytes, "HTTP/1.1 {status} {reason}\r\n");
        headers.write(&mut bytes);
        if self.close {
            bytes.put_slice(b"Connection: close\r\n");
        }
        bytes
    }
}

/// Reason phrase of the statuses in the router's own answers.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
