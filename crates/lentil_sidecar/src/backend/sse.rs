//! Reads server-sent events from an HTTP answer, with a bound on their size.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time,
};

use eventsource_stream::{Event, EventStreamError, Eventsource as _};
use futures_lite::{AsyncRead, AsyncReadExt as _, Stream, StreamExt as _, stream};

use super::error::BackendError;

/// Size of a read buffer, in bytes.
pub(super) const READ_BYTES: usize = 16 * 1024;
/// Limits on the events of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Largest event, in bytes.
    pub(super) event_bytes: usize,
    /// Most bytes read in a [`PACE_PERIOD`].
    pub(super) paced_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            event_bytes: 4 * 1024 * 1024,
            paced_bytes: usize::MAX,
        }
    }
}

/// Period over which reading is paced.
const PACE_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Limits how fast a stream is read.
struct Pace {
    limit: usize,
    begun: time::Instant,
    read: usize,
}

impl Pace {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            begun: time::Instant::now(),
            read: 0,
        }
    }

    /// Waits until more may be read.
    async fn wait(&mut self) {
        if self.begun.elapsed() < PACE_PERIOD {
            if self.read < self.limit {
                return;
            }
            smol::Timer::at(self.begun + PACE_PERIOD).await;
        }
        *self = Self::new(self.limit);
    }
}

type Events<'a> = dyn Stream<Item = Result<Event, EventStreamError<io::Error>>> + Send + 'a;

pub(super) struct EventReader<'a> {
    events: Pin<Box<Events<'a>>>,
    /// Bytes read since the last event.
    pending_bytes: Arc<AtomicUsize>,
    limits: Limits,
}

impl<'a> EventReader<'a> {
    pub(super) fn new(body: impl AsyncRead + Send + Unpin + 'a, limits: Limits) -> Self {
        let body = lentil_http::Body::new(body);
        let pending_bytes = Arc::new(AtomicUsize::new(0));
        let reader = (body, pending_bytes.clone(), Pace::new(limits.paced_bytes));
        let chunks = stream::unfold(reader, move |(mut body, pending, mut pace)| async move {
            pace.wait().await;
            match read(&mut body, &pending, limits.event_bytes).await {
                Ok(chunk) if chunk.is_empty() => None,
                chunk => {
                    pace.read += chunk.as_ref().map_or(0, Vec::len);
                    Some((chunk, (body, pending, pace)))
                }
            }
        });
        Self {
            events: Box::pin(chunks.eventsource()),
            pending_bytes,
            limits,
        }
    }

    /// The next event, or `None` when the answer ends.
    pub(super) async fn next(&mut self) -> Result<Option<Event>, BackendError> {
        let event = self.events.next().await.transpose();
        self.pending_bytes.store(0, Ordering::Relaxed);
        event.map_err(|error| match error {
            EventStreamError::Transport(io) if io.kind() == io::ErrorKind::FileTooLarge => {
                BackendError::TooLarge(self.limits.event_bytes)
            }
            EventStreamError::Transport(io) => BackendError::AnswerCut(io),
            other => BackendError::Events(other.to_string()),
        })
    }
}

async fn read(
    body: &mut (impl AsyncRead + Unpin),
    pending: &AtomicUsize,
    limit: usize,
) -> io::Result<Vec<u8>> {
    let mut buffer = vec![0; READ_BYTES];
    let read = body.read(&mut buffer).await?;
    if pending.fetch_add(read, Ordering::Relaxed) + read > limit {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    buffer.truncate(read);
    Ok(buffer)
}
