//! Splits an event stream (`text/event-stream`) into whole events.

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

/// Largest event, in bytes. An event of a few tokens takes some hundred.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits an event stream into whole events and keeps the last event's id, from
/// which an interrupted stream is resumed.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<CompactString>,
}

/// An event is larger than a megabyte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event has more than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventSplitter {
    /// A splitter for a stream that continues after the event with id `last_id`.
    pub fn after(last_id: Option<CompactString>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
        }
    }

    /// Adds bytes of the stream and returns the events that they complete; often
    /// none.
    ///
    /// # Errors
    /// [`EventTooLarge`] when an event exceeds the limit without an end.
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

    /// Whether there are no bytes after the last whole event.
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<&CompactString> {
        self.last_id.as_ref()
    }
}

/// Where the last whole event in `bytes` ends: after an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|w| w == b"\n\n")
        .map(|at| at + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<CompactString> {
    let lines = events.split(|&b| b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    Some(id.trim().into())
}
