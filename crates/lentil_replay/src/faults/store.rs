//! An in-memory store of versioned objects.

use lentil_policy::store::{ObjectKey, ObjectVersion, StoreCall, StoreReply};
use lentil_types::Table;

#[derive(Debug, Default)]
pub(super) struct Store {
    objects: Table<ObjectKey, (ObjectVersion, Vec<u8>)>,
}

impl Store {
    pub(super) fn call(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { op, key } => {
                let (version, value) = self.objects.get(&key).cloned().unwrap_or_default();
                StoreReply::Found { op, version, value }
            }
            StoreCall::Update {
                op,
                key,
                expect,
                value,
            } => {
                let found = self.objects.get(&key).map(|(version, _)| *version);
                if found.unwrap_or_default() != expect {
                    return StoreReply::Conflict { op };
                }
                let version = ObjectVersion(expect.0 + 1);
                self.objects.insert(key, (version, value));
                StoreReply::Updated { op, version }
            }
        }
    }
}
