//! The platform's object API, as the entry needs it.

use std::sync::Arc;

use lentil_policy::store;
use smol::future::{self, Boxed};

/// Carries calls to the platform's object API.
pub trait ObjectStore: Send + Sync {
    /// Makes a call. Every call gets an answer: when none came from the
    /// platform, [`store::StoreReply::Refused`] or [`store::StoreReply::Lost`].
    fn call(&self, call: store::StoreCall) -> Boxed<store::StoreReply>;
}

/// Stands where no object API is configured: it refuses every call, so that
/// calls that may not be repeated are refused as not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoStore;

impl ObjectStore for NoStore {
    fn call(&self, call: store::StoreCall) -> Boxed<store::StoreReply> {
        let (store::StoreCall::Read { op, .. } | store::StoreCall::Update { op, .. }) = call;
        Box::pin(future::ready(store::StoreReply::Refused { op }))
    }
}

/// The platform's object API.
#[derive(Clone)]
pub struct PlatformStore(pub Arc<dyn lentil_platform::ObjectStore>);

impl ObjectStore for PlatformStore {
    fn call(&self, call: store::StoreCall) -> Boxed<store::StoreReply> {
        let store = self.0.clone();
        Box::pin(async move { lentil_platform::carry_out(&*store, call).await })
    }
}
