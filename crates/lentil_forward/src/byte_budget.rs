//! Bounds the memory that unfinished answers take together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that several answers may take together.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Bytes reserved of a budget until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes; `false` if the budget does not allow it.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let grown = self
            .budget
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
