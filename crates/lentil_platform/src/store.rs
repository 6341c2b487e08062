//! Object store interface.

use std::{future, pin, time};

use compact_str::CompactString;
use lentil_policy::store::{ObjectKey, ObjectVersion, StoreCall, StoreReply};

use crate::StoreError;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Result of a store call.
pub type StoreFuture<'a, T> =
    pin::Pin<Box<dyn future::Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// An object. The default (version 0, no value) means that it does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// Its version.
    pub version: ObjectVersion,
    /// Its value.
    pub value: Vec<u8>,
}

/// Name and version of a listed object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectInfo {
    /// Name within the kind.
    pub name: CompactString,
    /// Its version.
    pub version: ObjectVersion,
}

/// A store of versioned objects with compare-and-swap updates.
pub trait ObjectStore: Send + Sync {
    /// Reads an object. One that does not exist has version 0.
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Object>;

    /// Writes `value` if the object still has version `expect`; 0 creates it.
    /// Returns the new version.
    fn update<'a>(
        &'a self,
        key: &'a ObjectKey,
        expect: ObjectVersion,
        value: Vec<u8>,
    ) -> StoreFuture<'a, ObjectVersion>;

    /// Waits until the object has a version above `after`, at most for `wait`.
    /// `None` when the wait expired.
    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: ObjectVersion,
        wait: time::Duration,
    ) -> StoreFuture<'a, Option<Object>>;

    /// Names and versions of a kind's objects, in name order.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Vec<ObjectInfo>>;
}

/// Executes a policy's store call. [`StoreReply::Lost`] means that it may have taken
/// effect.
pub async fn execute_call(store: &dyn ObjectStore, call: StoreCall) -> StoreReply {
    match call {
        StoreCall::Read { op, key } => match store.read(&key).await {
            Ok(Object { version, value }) => StoreReply::Found { op, version, value },
            Err(error) if error.is_outcome_unknown() => StoreReply::Lost { op },
            Err(_) => StoreReply::Refused { op },
        },
        StoreCall::Update {
            op,
            key,
            expect,
            value,
        } => match store.update(&key, expect, value).await {
            Ok(version) => StoreReply::Updated { op, version },
            Err(StoreError::Conflict(_)) => StoreReply::Conflict { op },
            Err(error) if error.is_outcome_unknown() => StoreReply::Lost { op },
            Err(_) => StoreReply::Refused { op },
        },
    }
}

/// Checks the size of a value.
///
/// # Errors
/// [`StoreError::TooLarge`] above [`MAX_VALUE_BYTES`].
pub fn check_value(value: &[u8]) -> Result<(), StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(StoreError::TooLarge { bytes: value.len() });
    }
    Ok(())
}
