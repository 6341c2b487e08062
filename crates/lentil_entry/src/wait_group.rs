//! Counts open items and waits until enough of them are closed.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use event_listener::Event;

/// Counts open items, such as requests or connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitGroup {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    count: AtomicUsize,
    released: Event,
}

/// Counts as one open item until dropped.
#[derive(Debug)]
pub(crate) struct WaitGroupGuard {
    inner: Arc<Inner>,
}

impl WaitGroup {
    /// Adds one item, which stays open until the guard is dropped.
    pub(crate) fn add(&self) -> WaitGroupGuard {
        self.inner.count.fetch_add(1, Ordering::AcqRel);
        WaitGroupGuard {
            inner: self.inner.clone(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.inner.count.load(Ordering::Acquire)
    }

    /// Waits until fewer than `limit` items are open.
    pub(crate) async fn wait_below(&self, limit: usize) {
        while self.count() >= limit {
            let released = self.inner.released.listen();
            if self.count() >= limit {
                released.await;
            }
        }
    }
}

impl Drop for WaitGroupGuard {
    fn drop(&mut self) {
        self.inner.count.fetch_sub(1, Ordering::AcqRel);
        self.inner.released.notify(usize::MAX);
    }
}
