//! An answer as the body of an HTTP response.

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
    reply::{Replies, Reply},
    transport::HangUp,
};

/// Bytes that are encoded ahead of the caller.
const BUFFER_BYTES: usize = 16 * 1024;
/// Silence after which [`Encode::idle`] is written, so that a caller that has
/// vanished is noticed and proxies keep the connection.
const IDLE_TIME: time::Duration = time::Duration::from_secs(5);

/// Writes the parts of an answer.
pub(crate) trait Encode: Send + Sync + Unpin + 'static {
    /// The next piece.
    fn piece(&mut self, offset: u64, data: &[u8], out: &mut Vec<u8>);

    /// The end.
    ///
    /// # Errors
    /// An I/O error where the caller can only be told by cutting it off.
    fn end(&mut self, ending: entry::Ending, out: &mut Vec<u8>) -> io::Result<()>;

    /// What is written when there was nothing to write for a while.
    fn idle(&self) -> &'static [u8];
}

/// Reads an answer as it comes.
pub(crate) struct AnswerReader<E> {
    replies: Replies,
    encoder: E,
    buffer: Vec<u8>,
    read: usize,
    ended: bool,
    idle: Timer,
    hang_up: HangUp,
}

impl<E: Encode> AnswerReader<E> {
    /// An answer of which the head and what `begun` holds have been read.
    pub(crate) fn new(replies: Replies, encoder: E, begun: Vec<u8>, hang_up: HangUp) -> Self {
        Self {
            replies,
            encoder,
            buffer: begun,
            read: 0,
            ended: false,
            idle: Timer::after(IDLE_TIME),
            hang_up,
        }
    }

    /// Encodes what is there.
    fn fill(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while !self.ended && self.buffer.len() < BUFFER_BYTES {
            match self.replies.poll_next(context) {
                Poll::Ready(Some(reply)) => self.take_in(reply)?,
                // The process stops and its driver is gone.
                Poll::Ready(None) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Poll::Pending => break,
            }
        }
        Ok(())
    }

    fn take_in(&mut self, reply: Reply) -> io::Result<()> {
        match reply {
            Reply::Head { .. } => {}
            Reply::Piece { offset, data } => {
                self.encoder.piece(offset, &data, &mut self.buffer);
            }
            Reply::End(ending) => {
                self.ended = true;
                self.encoder.end(ending, &mut self.buffer)?;
            }
        }
        Ok(())
    }

    fn is_idle(&mut self, context: &mut Context<'_>) -> bool {
        if self.encoder.idle().is_empty() || Pin::new(&mut self.idle).poll(context).is_pending() {
            return false;
        }
        // A timer that is due is set again and must be polled to fire.
        self.idle.set_after(IDLE_TIME);
        Pin::new(&mut self.idle).poll(context).is_pending()
    }
}

impl<E: Encode> AsyncRead for AnswerReader<E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.read == this.buffer.len() {
            this.buffer.clear();
            this.read = 0;
            this.fill(context)?;
            if this.buffer.is_empty() {
                if this.ended {
                    return Poll::Ready(Ok(0));
                }
                if this.hang_up.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                if !this.is_idle(context) {
                    return Poll::Pending;
                }
                this.buffer.extend_from_slice(this.encoder.idle());
            }
            this.idle.set_after(IDLE_TIME);
        }
        let rest = &this.buffer[this.read..];
        let count = rest.len().min(out.len());
        out[..count].copy_from_slice(&rest[..count]);
        this.read += count;
        Poll::Ready(Ok(count))
    }
}
