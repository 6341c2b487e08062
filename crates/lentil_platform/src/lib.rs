//! Client of the platform's object API and instance list.
//!
//! [`ObjectStore`], [`KindStore`] and [`InstanceList`] are the borders. [`Platform`] speaks to
//! the real platform over HTTP; [`InMemoryStore`] keeps everything in this process,
//! for tests. [`GuardedStore`] puts budgets and a circuit breaker before any store.
//!
//! The protocol is written down in `docs/configuration.md`.

mod error;
mod guarded_store;
mod in_memory_store;
mod instance;
mod kinds;
mod platform;
mod store;

pub use error::StoreError;
pub use guarded_store::GuardedStore;
pub use in_memory_store::InMemoryStore;
pub use instance::{Instance, InstanceList, InstanceRole};
pub use kinds::{Change, Changes, Document, KindStore, Listing};
pub use platform::{Platform, Settings, VERSION_HEADER};
pub use store::{
    MAX_VALUE_BYTES, Object, ObjectInfo, ObjectStore, StoreFuture, check_value, execute_call,
};
