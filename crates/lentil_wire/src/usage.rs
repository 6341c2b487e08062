//! What the streams of one connection take together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::WireError;

/// Bytes of unfinished frames that one connection may make this process hold.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// What the streams of one connection take together.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    buffered: AtomicUsize,
    busy: AtomicUsize,
}

impl Usage {
    /// Whether a request is in flight on the connection.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }
}

/// Room for one unfinished frame. It is given back when dropped.
#[derive(Debug)]
pub(crate) struct Room {
    usage: Arc<Usage>,
    bytes: usize,
}

impl Room {
    pub(crate) fn new(usage: Arc<Usage>) -> Self {
        Self { usage, bytes: 0 }
    }

    /// Makes this room `bytes` large.
    ///
    /// # Errors
    /// [`WireError::BufferLimit`] when the connection's streams hold too much.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), WireError> {
        let buffered = &self.usage.buffered;
        let others = buffered.fetch_sub(self.bytes, Ordering::Relaxed) - self.bytes;
        self.bytes = 0;
        if others.saturating_add(bytes) > MAX_BUFFERED_BYTES {
            return Err(WireError::BufferLimit);
        }
        buffered.fetch_add(bytes, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.usage.buffered.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request in flight. The connection is checked for as long as one lives.
#[derive(Debug)]
pub(crate) struct Busy(Arc<Usage>);

impl Busy {
    pub(crate) fn new(usage: &Arc<Usage>) -> Self {
        usage.busy.fetch_add(1, Ordering::Relaxed);
        Self(usage.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}
