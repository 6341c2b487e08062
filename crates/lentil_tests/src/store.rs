//! The platform's object API, in this process.

use std::sync::Arc;

use lentil_platform::Memory;
use lentil_policy::store;
use smol::future::Boxed;

/// Carries an entry's calls to a store that several entries share.
pub(crate) struct SharedStore(pub(crate) Arc<Memory>);

impl lentil_entry::ObjectStore for SharedStore {
    fn call(&self, call: store::StoreCall) -> Boxed<store::StoreReply> {
        let memory = self.0.clone();
        Box::pin(async move { lentil_platform::carry_out(&*memory, call).await })
    }
}
