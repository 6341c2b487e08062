//! Reads server-sent events from an HTTP answer, with a bound on their size.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use eventsource_stream::{Event, EventStreamError, Eventsource as _};
use futures_lite::{AsyncRead, AsyncReadExt as _, Stream, StreamExt as _, stream};

use super::error::BackendError;

/// Size of a read buffer, in bytes.
pub(super) const READ_BYTES: usize = 16 * 1024;
/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

type Events<'a> = dyn Stream<Item = Result<Event, EventStreamError<io::Error>>> + Send + 'a;

pub(super) struct EventReader<'a> {
    events: Pin<Box<Events<'a>>>,
    /// Bytes read since the last event.
    pending_bytes: Arc<AtomicUsize>,
}

impl<'a> EventReader<'a> {
    pub(super) fn new(body: impl AsyncRead + Send + Unpin + 'a) -> Self {
        let pending_bytes = Arc::new(AtomicUsize::new(0));
        let reader = (body, pending_bytes.clone());
        let chunks = stream::unfold(reader, |(mut body, pending)| async move {
            match read(&mut body, &pending).await {
                Ok(chunk) if chunk.is_empty() => None,
                chunk => Some((chunk, (body, pending))),
            }
        });
        Self {
            events: Box::pin(chunks.eventsource()),
            pending_bytes,
        }
    }

    /// The next event, or `None` when the answer ends.
    pub(super) async fn next(&mut self) -> Result<Option<Event>, BackendError> {
        let event = self.events.next().await.transpose();
        self.pending_bytes.store(0, Ordering::Relaxed);
        event.map_err(|error| match error {
            EventStreamError::Transport(io) if io.kind() == io::ErrorKind::FileTooLarge => {
                BackendError::TooLarge(MAX_EVENT_BYTES)
            }
            EventStreamError::Transport(io) => BackendError::AnswerCut(io),
            other => BackendError::Events(other.to_string()),
        })
    }
}

async fn read(body: &mut (impl AsyncRead + Unpin), pending: &AtomicUsize) -> io::Result<Vec<u8>> {
    let mut buffer = vec![0; READ_BYTES];
    let read = body.read(&mut buffer).await?;
    if pending.fetch_add(read, Ordering::Relaxed) + read > MAX_EVENT_BYTES {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    buffer.truncate(read);
    Ok(buffer)
}
