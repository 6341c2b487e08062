//! Client of the platform's object API and instance list.
//!
//! [`Platform`] implements [`ObjectStore`] and [`InstanceList`] over HTTP,
//! [`InMemoryStore`] in memory for tests. [`KindStore`] lists and watches by kind.
//! [`GuardedStore`] adds budgets and a circuit breaker.
//!
//! `docs/configuration.md` describes the protocol.

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
