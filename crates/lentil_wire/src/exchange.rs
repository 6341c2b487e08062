//! One stream of messages in both directions.

use std::{future, sync::Arc, time};

use bytes::{Bytes, BytesMut};

use crate::{
    Message, WireError, codec,
    generated::message::Body,
    usage::{Busy, Room, Usage},
};

/// What holds for every stream of a connection.
#[derive(Clone, Debug)]
pub(crate) struct Terms {
    pub(crate) usage: Arc<Usage>,
    /// Minor version that both sides have.
    pub(crate) minor: u32,
    /// Largest frame that is accepted, in bytes.
    pub(crate) limit: usize,
}

/// One stream of messages in both directions.
#[derive(Debug)]
pub struct Exchange {
    /// Sends to the other side.
    pub sender: Sender,
    /// Receives from the other side.
    pub receiver: Receiver,
}

impl Exchange {
    /// A stream that this process opened.
    pub(crate) fn opened(
        terms: &Terms,
        stream: h2::SendStream<Bytes>,
        response: h2::client::ResponseFuture,
    ) -> Self {
        let mut sender = Sender::new(terms, stream);
        sender.busy = Some(Busy::new(&terms.usage));
        let receiver = Receiver::new(terms, Source::Response(response));
        Self { sender, receiver }
    }

    /// A stream that the other side opened.
    pub(crate) fn accepted(
        terms: &Terms,
        stream: h2::SendStream<Bytes>,
        source: h2::RecvStream,
    ) -> Self {
        let mut receiver = Receiver::new(terms, Source::Stream(source));
        receiver.busy = Some(Busy::new(&terms.usage));
        Self {
            sender: Sender::new(terms, stream),
            receiver,
        }
    }
}

/// The sending half of an [`Exchange`]. Dropped before [`Sender::finish`], it
/// resets the stream, so that the other side never takes a part for the whole.
#[derive(Debug)]
pub struct Sender {
    stream: h2::SendStream<Bytes>,
    minor: u32,
    finished: bool,
    busy: Option<Busy>,
}

impl Sender {
    fn new(terms: &Terms, stream: h2::SendStream<Bytes>) -> Self {
        Self {
            stream,
            minor: terms.minor,
            finished: false,
            busy: None,
        }
    }

    /// Sends a message and waits until `h2` has taken it whole.
    ///
    /// # Errors
    /// [`WireError`] when the message is too large, is not of the other side's
    /// version, or the stream is closed.
    pub async fn send(&mut self, message: Message) -> Result<(), WireError> {
        if message.since() > self.minor {
            return Err(WireError::UnsupportedByPeer {
                name: message.name(),
                since: message.since(),
                theirs: self.minor,
            });
        }
        if matches!(message, Message::Watch) {
            self.busy = None;
        }
        self.write(codec::encode(message)?).await
    }

    /// Closes this direction after what was sent. Where the other side has
    /// closed the whole stream already, the receiver says how it ended.
    pub fn finish(&mut self) {
        self.finished = true;
        if let Err(error) = self.stream.send_data(Bytes::new(), true) {
            log::debug!("a stream was closed before its end was sent: {error}");
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
    room: Room,
    limit: usize,
    busy: Option<Busy>,
}

/// Where bytes come from: at a client only once the response has begun.
#[derive(Debug)]
enum Source {
    Response(h2::client::ResponseFuture),
    Stream(h2::RecvStream),
}

impl Receiver {
    fn new(terms: &Terms, source: Source) -> Self {
        Self {
            source,
            buffer: BytesMut::new(),
            room: Room::new(terms.usage.clone()),
            limit: terms.limit,
            busy: None,
        }
    }

    /// The next message, or `None` after the last.
    ///
    /// # Errors
    /// [`WireError`] when the stream broke off or carries no valid message.
    /// After [`WireError::UnknownMessage`] the next message can be received.
    pub async fn recv(&mut self) -> Result<Option<Message>, WireError> {
        let Some(body) = self.recv_body().await? else {
            return Ok(None);
        };
        let message = Message::from_generated(body)?;
        if matches!(message, Message::Watch) {
            self.busy = None;
        }
        Ok(Some(message))
    }

    pub(crate) async fn recv_body(&mut self) -> Result<Option<Body>, WireError> {
        loop {
            if let Some(body) = codec::decode_body(&mut self.buffer, self.limit)? {
                self.room.resize(self.buffer.len())?;
                return Ok(Some(body));
            }
            self.make_room()?;
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

    /// Accounts for the frame that is coming.
    fn make_room(&mut self) -> Result<(), WireError> {
        let frame = codec::frame_size(&self.buffer, self.limit)?.unwrap_or(0);
        let bytes = self.buffer.len().max(frame + codec::LENGTH_BYTES);
        self.room.resize(bytes)
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
