//! Event streams (`text/event-stream`).

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// An event of a few tokens takes some hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into whole events and keeps the last id, from which an
/// interrupted stream resumes.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<CompactString>,
}

/// An event is larger than 1 MiB.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventSplitter {
    /// A splitter for a stream that continues after event `last_id`.
    pub fn after(last_id: Option<CompactString>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes and returns the events that they complete; often none.
    ///
    /// # Errors
    /// [`EventTooLarge`] when an event does not end within 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventTooLarge> {
        let from = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.rest[from..]) else {
            if self.rest.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(Bytes::new());
        };
        let whole = self.rest.split_to(from + end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// Takes the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Bytes kept of an event that is not whole yet.
    pub fn unfinished_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Whether no bytes follow the last whole event.
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    /// Id of the last whole event that had one.
    pub fn last(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

/// End of the last whole event: after an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|index| index + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|index| index + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|&b| b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().into())
}
