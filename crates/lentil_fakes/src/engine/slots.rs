//! Slots of an engine's batch, granted by priority.

use std::sync::{Arc, Mutex};

use lentil_types::Class;

struct Waiter {
    class: Class,
    number: u64,
    sender: smol::channel::Sender<Slot>,
}

struct Inner {
    free: usize,
    last_number: u64,
    waiters: Vec<Waiter>,
}

/// A priority semaphore over the slots of an engine's batch.
#[derive(Clone)]
pub(super) struct Slots(Arc<Mutex<Inner>>);

/// An acquired slot. Dropping it releases the slot.
pub(super) struct Slot(Slots);

impl Slots {
    pub(super) fn new(free: usize) -> Self {
        let inner = Inner {
            free,
            last_number: 0,
            waiters: Vec::new(),
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Waits for a slot, after every more urgent request and every earlier one of
    /// the same class.
    pub(super) async fn acquire(&self, class: Class) -> Slot {
        let (sender, receiver) = smol::channel::bounded(1);
        {
            let mut inner = self.0.lock().expect("no holder panics");
            inner.last_number += 1;
            let number = inner.last_number;
            inner.waiters.push(Waiter {
                class,
                number,
                sender,
            });
        }
        self.grant_slots();
        let slot = receiver.recv().await;
        slot.expect("a waiter's sender lives until it has sent")
    }

    /// Hands free slots to the next waiters.
    fn grant_slots(&self) {
        for waiter in self.take_next() {
            // A cancelled waiter drops the slot, which releases it.
            let _ = waiter.sender.try_send(Slot(self.clone()));
        }
    }

    /// Removes the waiters that get a free slot now.
    fn take_next(&self) -> Vec<Waiter> {
        let mut inner = self.0.lock().expect("no holder panics");
        let mut granted = Vec::new();
        inner
            .waiters
            .sort_by_key(|waiter| (waiter.class, waiter.number));
        while inner.free > 0 && !inner.waiters.is_empty() {
            inner.free -= 1;
            granted.push(inner.waiters.remove(0));
        }
        granted
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.0.lock().expect("no holder panics").free += 1;
        self.0.grant_slots();
    }
}
