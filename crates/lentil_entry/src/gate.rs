//! Counts what is open and waits for it to close.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use event_listener::Event;

/// Counts what is open. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    open: AtomicUsize,
    closed: Event,
}

/// One thing that is open until this is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    inner: Arc<Inner>,
}

impl Gate {
    /// Lets one more in.
    pub(crate) fn enter(&self) -> Pass {
        self.inner.open.fetch_add(1, Ordering::AcqRel);
        Pass {
            inner: self.inner.clone(),
        }
    }

    /// How many are in.
    pub(crate) fn open(&self) -> usize {
        self.inner.open.load(Ordering::Acquire)
    }

    /// Waits until fewer than `limit` are in.
    pub(crate) async fn below(&self, limit: usize) {
        while self.open() >= limit {
            let closed = self.inner.closed.listen();
            if self.open() >= limit {
                closed.await;
            }
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.inner.open.fetch_sub(1, Ordering::AcqRel);
        self.inner.closed.notify(usize::MAX);
    }
}
