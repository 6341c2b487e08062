//! Bidirectional streams of messages.

use std::{future, sync::Arc, time};

use bytes::{Bytes, BytesMut};

use crate::{
    Message, WireError, codec,
    generated::message::Body,
    usage::{BufferReservation, ConnectionUsage, InFlightGuard},
};

/// Limits and accounting of a connection's streams.
#[derive(Clone, Debug)]
pub(crate) struct StreamContext {
    pub(crate) usage: Arc<ConnectionUsage>,
    /// Lower of both sides' minor versions.
    pub(crate) minor: u32,
    /// Largest frame that is accepted, in bytes.
    pub(crate) limit: usize,
}

/// A bidirectional stream of messages.
#[derive(Debug)]
pub struct Exchange {
    /// Sending half.
    pub sender: Sender,
    /// Receiving half.
    pub receiver: Receiver,
}

impl Exchange {
    /// Wraps a stream that this process opened.
    pub(crate) fn opened(
        context: &StreamContext,
        stream: h2::SendStream<Bytes>,
        response: h2::client::ResponseFuture,
    ) -> Self {
        let mut sender = Sender::new(context, stream);
        sender.in_flight = Some(InFlightGuard::new(&context.usage));
        let receiver = Receiver::new(context, Source::Response(response));
        Self { sender, receiver }
    }

    /// Wraps a stream that the peer opened.
    pub(crate) fn accepted(
        context: &StreamContext,
        stream: h2::SendStream<Bytes>,
        source: h2::RecvStream,
    ) -> Self {
        let mut receiver = Receiver::new(context, Source::Stream(source));
        receiver.in_flight = Some(InFlightGuard::new(&context.usage));
        Self {
            sender: Sender::new(context, stream),
            receiver,
        }
    }
}

/// Sending half of an [`Exchange`]. Dropping it before [`Sender::finish`] resets
/// the stream, so that the peer cannot mistake it for complete.
#[derive(Debug)]
pub struct Sender {
    stream: h2::SendStream<Bytes>,
    minor: u32,
    finished: bool,
    in_flight: Option<InFlightGuard>,
}

impl Sender {
    fn new(context: &StreamContext, stream: h2::SendStream<Bytes>) -> Self {
        Self {
            stream,
            minor: context.minor,
            finished: false,
            in_flight: None,
        }
    }

    /// Sends a message and waits until `h2` has accepted all of it.
    ///
    /// # Errors
    /// [`WireError`] when the message is too large, the peer's version does not
    /// have it, or the stream is closed.
    pub async fn send(&mut self, message: Message) -> Result<(), WireError> {
        if message.since() > self.minor {
            return Err(WireError::UnsupportedByPeer {
                name: message.name(),
                since: message.since(),
                theirs: self.minor,
            });
        }
        if matches!(message, Message::Watch) {
            self.in_flight = None;
        }
        self.write(codec::encode(message)?).await
    }

    /// Closes this direction. If the peer has closed the stream already, that is only
    /// logged: the receiver reports how it ended.
    pub fn finish(&mut self) {
        self.finished = true;
        if let Err(error) = self.stream.send_data(Bytes::new(), true) {
            log::debug!("cannot close a stream that the peer has closed: {error}");
        }
    }

    pub(crate) async fn send_body(&mut self, body: &Body) -> Result<(), WireError> {
        self.write(codec::encode_body(body)?).await
    }

    async fn write(&mut self, mut frame: Bytes) -> Result<(), WireError> {
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let capacity = future::poll_fn(|context| self.stream.poll_capacity(context)).await;
            let capacity = capacity.ok_or(WireError::Truncated)??;
            if capacity > 0 {
                let chunk = frame.split_to(capacity.min(frame.len()));
                self.stream.send_data(chunk, false)?;
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

/// Receiving half of an [`Exchange`].
#[derive(Debug)]
pub struct Receiver {
    source: Source,
    buffer: BytesMut,
    reservation: BufferReservation,
    limit: usize,
    in_flight: Option<InFlightGuard>,
}

/// Source of received bytes. A client's stream begins with the response.
#[derive(Debug)]
enum Source {
    Response(h2::client::ResponseFuture),
    Stream(h2::RecvStream),
}

impl Receiver {
    fn new(context: &StreamContext, source: Source) -> Self {
        Self {
            source,
            buffer: BytesMut::new(),
            reservation: BufferReservation::new(context.usage.clone()),
            limit: context.limit,
            in_flight: None,
        }
    }

    /// Receives the next message, or `None` at the end of the stream.
    ///
    /// # Errors
    /// [`WireError`] when the stream broke off or the message is invalid.
    /// After [`WireError::UnknownMessage`] the next message can be received.
    pub async fn recv(&mut self) -> Result<Option<Message>, WireError> {
        let Some(body) = self.recv_body().await? else {
            return Ok(None);
        };
        let message = Message::from_generated(body)?;
        if matches!(message, Message::Watch) {
            self.in_flight = None;
        }
        Ok(Some(message))
    }

    pub(crate) async fn recv_body(&mut self) -> Result<Option<Body>, WireError> {
        loop {
            if let Some(body) = codec::decode_body(&mut self.buffer, self.limit)? {
                self.reservation.resize(self.buffer.len())?;
                return Ok(Some(body));
            }
            self.reserve_frame()?;
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

    /// Reserves memory for the incomplete frame.
    fn reserve_frame(&mut self) -> Result<(), WireError> {
        let frame = codec::frame_size(&self.buffer, self.limit)?.unwrap_or(0);
        let bytes = self.buffer.len().max(frame + codec::LENGTH_BYTES);
        self.reservation.resize(bytes)
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

/// Runs a handshake; [`WireError::HandshakeTimeout`] after `limit`.
pub(crate) async fn with_timeout<T>(
    limit: time::Duration,
    handshake: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    let timeout = async {
        smol::Timer::after(limit).await;
        Err(WireError::HandshakeTimeout(limit))
    };
    smol::future::or(handshake, timeout).await
}
