//! The object API of a demo.

use lentil_entry::ObjectStore;
use lentil_platform::{Memory, StoreError};
use lentil_policy::store::{StoreCall, StoreReply};
use smol::future::{self, Boxed};

/// Objects that live as long as the demo.
#[derive(Debug, Default)]
pub(crate) struct DemoStore(Memory);

impl ObjectStore for DemoStore {
    fn call(&self, call: StoreCall) -> Boxed<StoreReply> {
        let reply = match call {
            StoreCall::Read { op, key } => {
                let object = self.0.get(&key);
                StoreReply::Found {
                    op,
                    version: object.version,
                    value: object.value,
                }
            }
            StoreCall::Update {
                op,
                key,
                expect,
                value,
            } => match self.0.put(&key, expect, value) {
                Ok(version) => StoreReply::Updated { op, version },
                Err(StoreError::Conflict(_)) => StoreReply::Conflict { op },
                Err(_) => StoreReply::Refused { op },
            },
        };
        Box::pin(future::ready(reply))
    }
}
