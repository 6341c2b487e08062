//! Store calls and their faults.

use lentil_policy::entry;

use super::{FaultKind, events::Event, world::World};

impl World {
    pub(super) fn on_store_call(
        &mut self,
        entry: usize,
        incarnation: u32,
        call: lentil_policy::store::StoreCall,
    ) {
        use lentil_policy::store::{StoreCall, StoreReply};
        let (StoreCall::Read { op, .. } | StoreCall::Update { op, .. }) = &call;
        let op = *op;
        let is_write = matches!(call, StoreCall::Update { .. });
        let reply = if self.store_down {
            self.count_fault(FaultKind::StoreDown);
            StoreReply::Refused { op }
        } else if is_write && self.inject_fault(FaultKind::StoreWriteLate, 0.02) {
            let at = self.now + self.random_millis(1, 8_000);
            self.queue.push(at, Event::LateWrite(Box::new(call)));
            StoreReply::Lost { op }
        } else {
            let reply = self.store.call(call);
            if self.inject_fault(FaultKind::StoreAnswerLost, 0.04) {
                StoreReply::Lost { op }
            } else {
                reply
            }
        };
        let at = self.now + self.random_latency();
        let event = Event::ToEntry(entry, incarnation, Box::new(entry::Event::Store(reply)));
        self.queue.push(at, event);
    }
}
