//! Backpressure from a slow caller to the sidecar that answers it.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use event_listener::Event;

/// Bytes of an answer that may be queued for its caller before the entry stops
/// reading from the sidecar.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// Counts the bytes of one answer that are queued for its caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backpressure {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    queued_bytes: AtomicUsize,
    drained: Event,
}

impl Backpressure {
    /// Counts bytes that were added to the caller's queue.
    pub(crate) fn add(&self, bytes: usize) {
        self.inner.queued_bytes.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Counts bytes that were taken from the caller's queue.
    pub(crate) fn remove(&self, bytes: usize) {
        self.inner.queued_bytes.fetch_sub(bytes, Ordering::AcqRel);
        self.inner.drained.notify(usize::MAX);
    }

    /// Waits until the caller's queue has room.
    pub(crate) async fn wait_for_room(&self) {
        while self.is_full() {
            let drained = self.inner.drained.listen();
            if self.is_full() {
                drained.await;
            }
        }
    }

    fn is_full(&self) -> bool {
        self.inner.queued_bytes.load(Ordering::Acquire) >= MAX_QUEUED_BYTES
    }
}
