//! Memory and in-flight accounting of a connection.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use crate::WireError;

/// Limit of a connection's incomplete frames, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Totals over the streams of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionUsage {
    buffered_bytes: AtomicUsize,
    in_flight: AtomicUsize,
}

impl ConnectionUsage {
    /// Whether a request is in flight.
    pub(crate) fn has_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }
}

/// Memory reserved for an incomplete frame, released on drop.
#[derive(Debug)]
pub(crate) struct BufferReservation {
    usage: Arc<ConnectionUsage>,
    bytes: usize,
}

impl BufferReservation {
    pub(crate) fn new(usage: Arc<ConnectionUsage>) -> Self {
        Self { usage, bytes: 0 }
    }

    /// Changes the reservation to `bytes`.
    ///
    /// # Errors
    /// [`WireError::BufferLimit`] when the connection would exceed
    /// [`MAX_BUFFERED_BYTES`]. Nothing is reserved then.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), WireError> {
        let buffered = &self.usage.buffered_bytes;
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

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.usage
            .buffered_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Counts a request as in flight until dropped. Meanwhile the connection is pinged.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<ConnectionUsage>);

impl InFlightGuard {
    pub(crate) fn new(usage: &Arc<ConnectionUsage>) -> Self {
        usage.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(usage.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
