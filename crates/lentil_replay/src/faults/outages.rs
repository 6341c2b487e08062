//! How the store answers and fails.

use lentil_policy::entry;

use super::{FaultKind, network::What, world::World};

impl World {
    pub(super) fn on_store_call(
        &mut self,
        entry: usize,
        life: u32,
        call: lentil_policy::store::StoreCall,
    ) {
        use lentil_policy::store::{StoreCall, StoreReply};
        let (StoreCall::Read { op, .. } | StoreCall::Update { op, .. }) = &call;
        let op = *op;
        let is_write = matches!(call, StoreCall::Update { .. });
        let reply = if self.store_down {
            self.note_fault(FaultKind::StoreDown);
            StoreReply::Refused { op }
        } else if is_write && self.strikes(FaultKind::StoreWriteLate, 0.02) {
            let at = self.now + self.millis(1, 8_000);
            self.agenda.push(at, What::LateWrite(Box::new(call)));
            StoreReply::Lost { op }
        } else {
            let reply = self.store.call(call);
            if self.strikes(FaultKind::StoreAnswerLost, 0.04) {
                StoreReply::Lost { op }
            } else {
                reply
            }
        };
        let at = self.now + self.latency();
        let what = What::ToEntry(entry, life, Box::new(entry::Event::Store(reply)));
        self.agenda.push(at, what);
    }
}
