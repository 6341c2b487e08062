//! Bodies of messages.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncReadExt as _};

use crate::framing;

/// Largest read of a body, in bytes.
pub(crate) const READ_BYTES: usize = 16 * 1024;

/// Reads a body of any size. Fails when too many bytes arrive that belong to no body.
#[derive(Debug)]
pub struct Body<R> {
    inner: R,
    /// Bytes that may be read before the next byte of the body.
    allowance: usize,
}

impl<R> Body<R> {
    /// A reader of `inner`, a body of the HTTP library.
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            allowance: framing::MAX_FRAMING_BYTES,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Body<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let size = buffer.len().min(READ_BYTES);
        let buffer = &mut buffer[..size];
        let poll = || Pin::new(&mut this.inner).poll_read(context, buffer);
        let (result, left) = framing::with_allowance(this.allowance, poll);
        this.allowance = match result {
            Poll::Ready(Ok(read)) => framing::refilled(left, read),
            _ => left,
        };
        result
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`io::ErrorKind::FileTooLarge`] when it is larger, and the errors of the body.
pub async fn read_all(body: impl AsyncRead + Unpin, limit: usize) -> io::Result<Vec<u8>> {
    let mut body = Body::new(body);
    let mut bytes = Vec::new();
    let mut buffer = vec![0; READ_BYTES.min(limit.saturating_add(1))];
    loop {
        let read = body.read(&mut buffer).await?;
        if read == 0 {
            return Ok(bytes);
        }
        if bytes.len() + read > limit {
            let message = format!("the body has more than {limit} bytes");
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
}
