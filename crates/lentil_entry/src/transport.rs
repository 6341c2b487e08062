//! A caller's connection with timeouts.

use std::{
    future, io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::{Timer, net::TcpStream};

use crate::limits::Limits;

/// Bytes of further requests that are read while a request is being answered.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Phase of the request on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request has arrived.
    #[default]
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving. Its reader enforces the timeout.
    Body,
    /// A request is being answered.
    Answer,
}

/// Sets the phase of the request on a [`Transport`]. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Progress {
    phase: Arc<Mutex<Phase>>,
    /// Whether the connection ends with a body that was not read.
    is_unread: Arc<AtomicBool>,
}

impl Progress {
    /// Call when the head is complete.
    pub(crate) fn begin_body(&self) {
        self.replace(Phase::Body);
    }

    /// Call when the body is complete.
    pub(crate) fn begin_answer(&self) {
        self.replace(Phase::Answer);
    }

    /// Call when the answer has been sent.
    pub(crate) fn end(&self) {
        self.replace(Phase::Idle);
    }

    /// Whether the body of the request was not read.
    pub(crate) fn is_in_body(&self) -> bool {
        self.get() == Phase::Body
    }

    /// The connection ends with a body that was not read.
    pub(crate) fn set_unread(&self) {
        self.is_unread.store(true, Ordering::Relaxed);
    }

    /// Whether the connection ends with a body that was not read.
    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread.load(Ordering::Relaxed)
    }

    /// Whether a head has begun and is not complete.
    pub(crate) fn is_in_head(&self) -> bool {
        self.get() == Phase::Head
    }

    fn get(&self) -> Phase {
        *self
            .phase
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn replace(&self, phase: Phase) {
        *self
            .phase
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = phase;
    }
}

/// Resolves when a caller has disconnected.
pub(crate) type DisconnectFuture = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A caller's connection. It fails with [`io::ErrorKind::TimedOut`] when a head
/// takes too long, the connection is idle for too long or the caller stops reading.
pub(crate) struct Transport {
    stream: TcpStream,
    limits: Limits,
    progress: Progress,
    read_timer: Option<(Phase, Timer)>,
    write_timer: Option<Timer>,
    pipelined_bytes: usize,
}

impl Transport {
    pub(crate) fn new(stream: TcpStream, limits: Limits, progress: Progress) -> Self {
        Self {
            stream,
            limits,
            progress,
            read_timer: None,
            write_timer: None,
            pipelined_bytes: 0,
        }
    }

    /// Resolves when the caller has disconnected, and never if the caller has
    /// sent more bytes instead.
    pub(crate) fn disconnected(&self) -> DisconnectFuture {
        let stream = self.stream.clone();
        Box::pin(async move {
            let mut byte = [0];
            if stream.peek(&mut byte).await.is_ok_and(|peeked| peeked > 0) {
                future::pending::<()>().await;
            }
        })
    }

    /// Whether the read timeout of this phase has expired.
    fn is_overdue(&mut self, context: &mut Context<'_>, phase: Phase) -> bool {
        let limit = match phase {
            Phase::Idle => self.limits.idle_time,
            Phase::Head => self.limits.head_time,
            Phase::Body | Phase::Answer => return false,
        };
        if self
            .read_timer
            .as_ref()
            .is_none_or(|(timed_phase, _)| *timed_phase != phase)
        {
            self.read_timer = Some((phase, Timer::after(limit)));
        }
        self.read_timer
            .as_mut()
            .is_some_and(|(_, timer)| has_expired(timer, context))
    }

    fn record_read(&mut self, phase: Phase, read: usize) -> io::Result<usize> {
        lentil_http::framing::on_read(read);
        match phase {
            Phase::Idle if read > 0 => {
                self.progress.replace(Phase::Head);
                self.pipelined_bytes = 0;
            }
            Phase::Answer => self.pipelined_bytes += read,
            Phase::Idle | Phase::Head | Phase::Body => {}
        }
        Ok(read)
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let phase = this.progress.get();
        if phase == Phase::Answer && this.pipelined_bytes >= MAX_PIPELINED_BYTES {
            // Nothing more is read before the answer has been sent.
            return Poll::Pending;
        }
        lentil_http::framing::check()?;
        match Pin::new(&mut this.stream).poll_read(context, buffer) {
            Poll::Ready(read) => Poll::Ready(read.and_then(|read| this.record_read(phase, read))),
            Poll::Pending if this.is_overdue(context, phase) => {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        match Pin::new(&mut this.stream).poll_write(context, bytes) {
            Poll::Ready(written) => {
                this.write_timer = None;
                Poll::Ready(written)
            }
            Poll::Pending => {
                let limit = this.limits.stall_time;
                let timer = this.write_timer.get_or_insert_with(|| Timer::after(limit));
                if has_expired(timer, context) {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

fn has_expired(timer: &mut Timer, context: &mut Context<'_>) -> bool {
    Pin::new(timer).poll(context).is_ready()
}
