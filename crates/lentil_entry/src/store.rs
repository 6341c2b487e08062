//! Replaces the object store where no platform is configured.

use std::{future, time};

use lentil_platform::{Object, ObjectInfo, ObjectStore, StoreError, StoreFuture};
use lentil_policy::store::{ObjectKey, ObjectVersion};

/// Fails every call, so that at-most-once calls are refused as not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoStore;

fn unreachable_error<'a, T: Send + 'a>() -> StoreFuture<'a, T> {
    let error = StoreError::Unreachable("no platform is configured".to_owned());
    Box::pin(future::ready(Err(error)))
}

impl ObjectStore for NoStore {
    fn read<'a>(&'a self, _key: &'a ObjectKey) -> StoreFuture<'a, Object> {
        unreachable_error()
    }

    fn update<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _expect: ObjectVersion,
        _value: Vec<u8>,
    ) -> StoreFuture<'a, ObjectVersion> {
        unreachable_error()
    }

    fn watch<'a>(
        &'a self,
        _key: &'a ObjectKey,
        _after: ObjectVersion,
        _wait: time::Duration,
    ) -> StoreFuture<'a, Option<Object>> {
        unreachable_error()
    }

    fn list<'a>(&'a self, _kind: &'a str) -> StoreFuture<'a, Vec<ObjectInfo>> {
        unreachable_error()
    }
}
