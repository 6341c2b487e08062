//! Slots of an engine's batch, given by priority.

use std::sync::{Arc, Mutex};

use lentil_types::Class;

struct Waiter {
    class: Class,
    number: u64,
    wake: smol::channel::Sender<Slot>,
}

struct Inner {
    free: usize,
    next: u64,
    waiters: Vec<Waiter>,
}

/// Slots of an engine's batch.
#[derive(Clone)]
pub(super) struct Slots(Arc<Mutex<Inner>>);

/// A taken slot. It is free again when dropped.
pub(super) struct Slot(Slots);

impl Slots {
    pub(super) fn new(free: usize) -> Self {
        let inner = Inner {
            free,
            next: 0,
            waiters: Vec::new(),
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    /// Waits for a slot, behind every more urgent or earlier request.
    pub(super) async fn take(&self, class: Class) -> Slot {
        let (wake, woken) = smol::channel::bounded(1);
        {
            let mut inner = self.0.lock().expect("no holder panics");
            inner.next += 1;
            let number = inner.next;
            inner.waiters.push(Waiter {
                class,
                number,
                wake,
            });
        }
        self.hand_out();
        let slot = woken.recv().await;
        slot.expect("a waiter's sender lives until it has sent")
    }

    /// Gives free slots to the waiters whose turn it is.
    fn hand_out(&self) {
        for waiter in self.turns() {
            // A waiter that is gone drops the slot, which frees it.
            let _ = waiter.wake.try_send(Slot(self.clone()));
        }
    }

    /// Takes out the waiters that get a slot now.
    fn turns(&self) -> Vec<Waiter> {
        let mut inner = self.0.lock().expect("no holder panics");
        let mut turns = Vec::new();
        inner
            .waiters
            .sort_by_key(|waiter| (waiter.class, waiter.number));
        while inner.free > 0 && !inner.waiters.is_empty() {
            inner.free -= 1;
            turns.push(inner.waiters.remove(0));
        }
        turns
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.0.lock().expect("no holder panics").free += 1;
        self.0.hand_out();
    }
}
