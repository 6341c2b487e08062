//! Streams an answer as the body of an HTTP response.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time,
};

use futures_lite::AsyncRead;
use lentil_policy::entry;
use smol::Timer;

use crate::{
    reply::{Reply, ReplyReceiver},
    transport::DisconnectFuture,
};

/// Bytes that are encoded before the caller reads them.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time without output after which [`Encode::keep_alive`] is written, so that a
/// dead connection is noticed and proxies keep a live one open.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Encodes the parts of an answer.
pub(crate) trait Encode: Send + Sync + Unpin + 'static {
    fn piece(&mut self, offset: u64, data: &[u8], out: &mut Vec<u8>);

    /// Encodes the end.
    ///
    /// # Errors
    /// An I/O error where only closing the connection can signal the failure.
    fn end(&mut self, ending: entry::Ending, out: &mut Vec<u8>) -> io::Result<()>;

    /// Bytes that are written after a time without output; empty for none.
    fn keep_alive(&self) -> &'static [u8];
}

/// Reads an answer while it arrives.
pub(crate) struct AnswerReader<E> {
    replies: ReplyReceiver,
    encoder: E,
    buffer: Vec<u8>,
    read_bytes: usize,
    has_ended: bool,
    keep_alive_timer: Timer,
    disconnected: DisconnectFuture,
}

impl<E: Encode> AnswerReader<E> {
    /// Continues an answer whose head has been read; `initial` begins its body.
    pub(crate) fn new(
        replies: ReplyReceiver,
        encoder: E,
        initial: Vec<u8>,
        disconnected: DisconnectFuture,
    ) -> Self {
        Self {
            replies,
            encoder,
            buffer: initial,
            read_bytes: 0,
            has_ended: false,
            keep_alive_timer: Timer::after(KEEP_ALIVE_INTERVAL),
            disconnected,
        }
    }

    /// Encodes the replies that have arrived.
    fn fill(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while !self.has_ended && self.buffer.len() < BUFFER_BYTES {
            match self.replies.poll_next(context) {
                Poll::Ready(Some(reply)) => self.encode(reply)?,
                // The process stops and its driver is gone.
                Poll::Ready(None) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Poll::Pending => break,
            }
        }
        Ok(())
    }

    fn encode(&mut self, reply: Reply) -> io::Result<()> {
        match reply {
            Reply::Head { .. } => {}
            Reply::Piece { offset, data } => {
                self.encoder.piece(offset, &data, &mut self.buffer);
            }
            Reply::End(ending) => {
                self.has_ended = true;
                self.encoder.end(ending, &mut self.buffer)?;
            }
        }
        Ok(())
    }

    fn is_keep_alive_due(&mut self, context: &mut Context<'_>) -> bool {
        if self.encoder.keep_alive().is_empty()
            || Pin::new(&mut self.keep_alive_timer)
                .poll(context)
                .is_pending()
        {
            return false;
        }
        // The expired timer is set again and must be polled to wake this task.
        self.keep_alive_timer.set_after(KEEP_ALIVE_INTERVAL);
        Pin::new(&mut self.keep_alive_timer)
            .poll(context)
            .is_pending()
    }
}

impl<E: Encode> AsyncRead for AnswerReader<E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.read_bytes == this.buffer.len() {
            this.buffer.clear();
            this.read_bytes = 0;
            this.fill(context)?;
            if this.buffer.is_empty() {
                if this.has_ended {
                    return Poll::Ready(Ok(0));
                }
                if this.disconnected.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                if !this.is_keep_alive_due(context) {
                    return Poll::Pending;
                }
                this.buffer.extend_from_slice(this.encoder.keep_alive());
            }
            this.keep_alive_timer.set_after(KEEP_ALIVE_INTERVAL);
        }
        let rest = &this.buffer[this.read_bytes..];
        let count = rest.len().min(out.len());
        out[..count].copy_from_slice(&rest[..count]);
        this.read_bytes += count;
        Poll::Ready(Ok(count))
    }
}
