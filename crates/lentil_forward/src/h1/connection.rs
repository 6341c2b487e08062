//! A TCP connection with its read buffer.

use std::{
    future, io, net, pin,
    sync::Arc,
    task::{self, Poll},
    time,
};

use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncRead as _, AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::TcpStream;

use super::{
    error::ReadError,
    head::{self, RequestHead, ResponseHead},
};
use crate::byte_budget::ByteBudget;

/// Most bytes per read.
const READ_BYTES: usize = 16 * 1024;
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Size of a head from which on it counts towards the budget of large ones.
const SMALL_HEAD_BYTES: usize = 8 * 1024;
/// Most informational (1xx) responses before the final one.
const MAX_INFORMATIONAL: usize = 4;

/// A TCP connection and the bytes read but not yet used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    pub(super) buffer: BytesMut,
    answers: u64,
    received: u64,
    /// What large heads of several connections take together.
    head_budget: Option<Arc<ByteBudget>>,
}

impl Connection {
    /// Wraps an open connection of which nothing was read.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            answers: 0,
            received: 0,
            head_budget: None,
        }
    }

    /// Has large heads take their memory from a budget.
    pub(crate) fn with_head_budget(mut self, budget: Arc<ByteBudget>) -> Self {
        self.head_budget = Some(budget);
        self
    }

    /// Heads of final answers read so far.
    pub fn answers(&self) -> u64 {
        self.answers
    }

    /// Connects to `address`.
    ///
    /// # Errors
    /// An I/O error when the connection is refused, or not open within `timeout`.
    pub async fn open(address: net::SocketAddr, timeout: time::Duration) -> io::Result<Self> {
        let timeout = async {
            smol::Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = futures_lite::future::or(TcpStream::connect(address), timeout).await?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    /// Another handle of the socket, to write while a task reads.
    pub fn stream(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads more bytes into the buffer. Returns 0 when the peer closed its sending
    /// side.
    ///
    /// # Errors
    /// An I/O error when the connection broke.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let start = self.buffer.len();
        self.buffer.resize(start + READ_BYTES, 0);
        let mut guard = Truncate {
            buffer: &mut self.buffer,
            size: start,
        };
        let read = self.stream.read(&mut guard.buffer[start..]).await?;
        guard.size = start + read;
        self.received += read as u64;
        Ok(read)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// An I/O error when the connection broke.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Makes the end of the connection a reset: what is written and has not arrived is
    /// lost, and not delivered later.
    pub fn reset_on_close(&self) {
        if let Err(error) = set_reset_on_close(&self.stream, true) {
            log::debug!(error:%; "cannot make the end of a connection a reset");
        }
    }

    /// Discards the buffer and the next bytes that arrive. Returns `false` once the
    /// connection has ended.
    pub async fn skip(&mut self) -> bool {
        self.buffer.clear();
        matches!(self.fill().await, Ok(1..))
    }

    /// Bytes read so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Bytes read but not yet used.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the connection is open and no bytes have arrived unasked.
    pub async fn is_idle(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let poll = |cx: &mut task::Context<'_>| {
            let stream = pin::Pin::new(&mut self.stream);
            Poll::Ready(stream.poll_read(cx, &mut byte).is_pending())
        };
        future::poll_fn(poll).await
    }

    /// Reads a request head. `None`: the peer closed before sending one.
    ///
    /// # Errors
    /// [`ReadError`] when the head is truncated, invalid or larger than `limit`
    /// bytes.
    pub async fn request_head(&mut self, limit: usize) -> Result<Option<RequestHead>, ReadError> {
        match self.head(limit).await {
            Ok(head) => Ok(Some(RequestHead::parse(&head)?)),
            Err(ReadError::Closed) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the final head of the answer to a request with `method`, skipping
    /// informational ones.
    ///
    /// # Errors
    /// [`ReadError`] when the head is truncated, invalid or too large.
    pub async fn response_head(&mut self, method: &str) -> Result<ResponseHead, ReadError> {
        for _ in 0..=MAX_INFORMATIONAL {
            let head = self.head(MAX_RESPONSE_HEAD_BYTES).await?;
            let head = ResponseHead::parse(&head, method)?;
            if head.status >= 200 {
                self.answers += 1;
                return Ok(head);
            }
        }
        Err(ReadError::Head(super::error::BadHead::Syntax))
    }

    async fn head(&mut self, limit: usize) -> Result<Bytes, ReadError> {
        let mut reserved = self.head_budget.as_ref().map(ByteBudget::reservation);
        loop {
            if let Some(size) = head::head_size(&self.buffer) {
                if size > limit {
                    return Err(head::too_large(limit));
                }
                return Ok(self.buffer.split_to(size).freeze());
            }
            head::check_lines(&self.buffer)?;
            if self.buffer.len() > limit {
                return Err(head::too_large(limit));
            }
            let is_large = self.buffer.len() >= SMALL_HEAD_BYTES;
            if let Some(reserved) = reserved.as_mut().filter(|_| is_large)
                && !reserved.grow(READ_BYTES)
            {
                return Err(head::too_large(self.buffer.len()));
            }
            if self.fill().await? == 0 {
                return Err(match self.buffer.len() {
                    0 => ReadError::Closed,
                    _ => ReadError::Truncated,
                });
            }
        }
    }
}

/// Whether a connection ends with a reset, however it is closed, also by the end of the
/// process.
///
/// # Errors
/// An I/O error when the option cannot be set.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    let linger = resets.then_some(time::Duration::ZERO);
    Ok(rustix::net::sockopt::set_socket_linger(stream, linger)?)
}

/// Truncates a buffer to the bytes read so far, also when a read is cancelled.
struct Truncate<'a> {
    buffer: &'a mut BytesMut,
    size: usize,
}

impl Drop for Truncate<'_> {
    fn drop(&mut self) {
        self.buffer.truncate(self.size);
    }
}
