//! Back pressure from a caller to the sidecar that answers it.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use event_listener::Event;

/// Bytes of an answer that may wait for its caller before the entry stops
/// reading from the sidecar.
const MAX_WAITING_BYTES: usize = 256 * 1024;

/// Counts the bytes of one answer that wait for its caller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flow {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    waiting: AtomicUsize,
    taken: Event,
}

impl Flow {
    /// Bytes were put in the caller's queue.
    pub(crate) fn put(&self, bytes: usize) {
        self.inner.waiting.fetch_add(bytes, Ordering::AcqRel);
    }

    /// The caller took bytes out of its queue.
    pub(crate) fn take(&self, bytes: usize) {
        self.inner.waiting.fetch_sub(bytes, Ordering::AcqRel);
        self.inner.taken.notify(usize::MAX);
    }

    /// Waits until the caller's queue has room.
    pub(crate) async fn room(&self) {
        while self.is_full() {
            let taken = self.inner.taken.listen();
            if self.is_full() {
                taken.await;
            }
        }
    }

    fn is_full(&self) -> bool {
        self.inner.waiting.load(Ordering::Acquire) >= MAX_WAITING_BYTES
    }
}
