//! In-memory store.

use std::{
    sync::{Mutex, PoisonError},
    time,
};

use lentil_policy::store::{ObjectKey, ObjectVersion};
use lentil_types::{PlaceName, Table};

use crate::{
    Instance, InstanceList, Object, ObjectInfo, ObjectStore, StoreError, StoreFuture, store,
};

/// Keeps objects and the instance list in this process, for tests.
#[derive(Debug, Default)]
pub struct InMemoryStore {
    objects: Mutex<Table<ObjectKey, Object>>,
    instances: Mutex<Vec<Instance>>,
    changed: event_listener::Event,
}

impl InMemoryStore {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the instance list.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        *lock(&self.instances) = instances;
    }

    /// The object; version 0 when it does not exist.
    pub fn get(&self, key: &ObjectKey) -> Object {
        lock(&self.objects).get(key).cloned().unwrap_or_default()
    }

    /// Writes `value` if the object still has version `expect`; 0 creates it.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] on another version, [`StoreError::TooLarge`].
    pub fn put(
        &self,
        key: &ObjectKey,
        expect: ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ObjectVersion, StoreError> {
        store::check_value(&value)?;
        let mut objects = lock(&self.objects);
        let found = objects
            .get(key)
            .map_or_else(ObjectVersion::default, |object| object.version);
        if found != expect {
            return Err(StoreError::Conflict(found));
        }
        let version = ObjectVersion(found.0 + 1);
        objects.insert(key.clone(), Object { version, value });
        drop(objects);
        self.changed.notify(usize::MAX);
        Ok(version)
    }

    /// Names and versions of a kind's objects, in name order.
    pub fn list_kind(&self, kind: &str) -> Vec<ObjectInfo> {
        let objects = lock(&self.objects);
        let of_kind = objects.iter().filter(|(key, _)| key.kind == kind);
        let info = |(key, object): (&ObjectKey, &Object)| ObjectInfo {
            name: key.name.clone(),
            version: object.version,
        };
        of_kind.map(info).collect()
    }

    /// Waits until the object has a version above `after`.
    pub async fn wait_for(&self, key: &ObjectKey, after: ObjectVersion) -> Object {
        loop {
            let listener = self.changed.listen();
            let object = self.get(key);
            if object.version > after {
                return object;
            }
            listener.await;
        }
    }
}

impl ObjectStore for InMemoryStore {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Object> {
        Box::pin(async move { Ok(self.get(key)) })
    }

    fn update<'a>(
        &'a self,
        key: &'a ObjectKey,
        expect: ObjectVersion,
        value: Vec<u8>,
    ) -> StoreFuture<'a, ObjectVersion> {
        Box::pin(async move { self.put(key, expect, value) })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: ObjectVersion,
        wait: time::Duration,
    ) -> StoreFuture<'a, Option<Object>> {
        let change = async move { Some(self.wait_for(key, after).await) };
        let timer = async move {
            smol::Timer::after(wait).await;
            None
        };
        Box::pin(async move { Ok(smol::future::or(change, timer).await) })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Vec<ObjectInfo>> {
        Box::pin(async move { Ok(self.list_kind(kind)) })
    }
}

impl InstanceList for InMemoryStore {
    fn instances<'a>(&'a self, place: Option<&'a PlaceName>) -> StoreFuture<'a, Vec<Instance>> {
        let in_place =
            move |instance: &Instance| place.is_none_or(|place| instance.place == *place);
        Box::pin(async move {
            let instances = lock(&self.instances);
            Ok(instances.iter().filter(|i| in_place(i)).cloned().collect())
        })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
