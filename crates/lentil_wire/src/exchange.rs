//! One stream of messages in both directions.

use std::{future, time};

use bytes::{Bytes, BytesMut};

use crate::{Message, WireError, codec, generated};

/// One stream of messages in both directions.
#[derive(Debug)]
pub struct Exchange {
    /// Sends to the other side.
    pub sender: Sender,
    /// Receives from the other side.
    pub receiver: Receiver,
}

/// The sending half of an [`Exchange`]. Dropped before [`Sender::finish`], it
/// resets the stream, so that the other side never takes a part for the whole.
#[derive(Debug)]
pub struct Sender {
    stream: h2::SendStream<Bytes>,
    finished: bool,
}

impl Sender {
    pub(crate) fn new(stream: h2::SendStream<Bytes>) -> Self {
        Self {
            stream,
            finished: false,
        }
    }

    /// Sends a message and waits until `h2` has taken it whole.
    ///
    /// # Errors
    /// [`WireError`] when the message is too large or the stream is closed.
    pub async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        self.write(codec::encode(message)?).await
    }

    /// Closes this direction after what was sent.
    ///
    /// # Errors
    /// [`WireError::H2`] when the stream is closed already.
    pub fn finish(&mut self) -> Result<(), WireError> {
        self.finished = true;
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    pub(crate) async fn send_generated(
        &mut self,
        body: &generated::message::Body,
    ) -> Result<(), WireError> {
        self.write(codec::encode_generated(body)?).await
    }

    async fn write(&mut self, mut frame: Bytes) -> Result<(), WireError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = future::poll_fn(|context| self.stream.poll_capacity(context)).await;
            let capacity = capacity.ok_or(WireError::Truncated)??;
            if capacity > 0 {
                let part = frame.split_to(capacity.min(frame.len()));
                self.stream.send_data(part, false)?;
            }
        }
        Ok(())
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.finished {
            self.stream.send_reset(h2::Reason::CANCEL);
        }
    }
}

/// The receiving half of an [`Exchange`].
#[derive(Debug)]
pub struct Receiver {
    source: Source,
    buffer: BytesMut,
}

/// Where bytes come from: at a client only once the response has begun.
#[derive(Debug)]
enum Source {
    Response(h2::client::ResponseFuture),
    Stream(h2::RecvStream),
}

impl Receiver {
    pub(crate) fn from_response(response: h2::client::ResponseFuture) -> Self {
        Self {
            source: Source::Response(response),
            buffer: BytesMut::new(),
        }
    }

    pub(crate) fn from_stream(stream: h2::RecvStream) -> Self {
        Self {
            source: Source::Stream(stream),
            buffer: BytesMut::new(),
        }
    }

    /// The next message, or `None` after the last.
    ///
    /// # Errors
    /// [`WireError`] when the stream broke off or carries no valid message.
    pub async fn recv(&mut self) -> Result<Option<Message>, WireError> {
        match self.recv_generated().await? {
            Some(body) => Ok(Some(Message::from_generated(body)?)),
            None => Ok(None),
        }
    }

    pub(crate) async fn recv_generated(
        &mut self,
    ) -> Result<Option<generated::message::Body>, WireError> {
        loop {
            if let Some(body) = codec::decode_generated(&mut self.buffer)? {
                return Ok(Some(body));
            }
            let stream = self.stream().await?;
            match stream.data().await {
                Some(data) => {
                    let data = data?;
                    stream.flow_control().release_capacity(data.len())?;
                    self.buffer.extend_from_slice(&data);
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(WireError::Truncated),
            }
        }
    }

    async fn stream(&mut self) -> Result<&mut h2::RecvStream, WireError> {
        if let Source::Response(response) = &mut self.source {
            let stream = response.await?.into_body();
            self.source = Source::Stream(stream);
        }
        match &mut self.source {
            Source::Stream(stream) => Ok(stream),
            Source::Response(_) => Err(WireError::Truncated),
        }
    }
}

/// Waits for `work`, at most for `limit`.
pub(crate) async fn within<T>(
    limit: time::Duration,
    work: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    let timeout = async {
        smol::Timer::after(limit).await;
        Err(WireError::HandshakeTimeout(limit))
    };
    smol::future::or(work, timeout).await
}
