//! Stores that list and watch objects by kind.

use std::time;

use compact_str::CompactString;
use lentil_policy::store::ObjectVersion;

use crate::StoreFuture;

/// An object with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Name within its kind.
    pub name: CompactString,
    /// Its version.
    pub version: ObjectVersion,
    /// Content, as stored.
    pub value: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Its objects.
    pub documents: Vec<Document>,
    /// Store version of the list; a watch continues from here.
    pub revision: ObjectVersion,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Created, or content replaced.
    Changed(Document),
    /// The object with this name was removed.
    Removed(CompactString),
}

/// Changes of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Store version after the changes.
    pub revision: ObjectVersion,
}

/// A store that lists and watches objects by kind.
pub trait KindStore: Send + Sync {
    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing>;

    /// Waits for changes of a kind after store version `after`, at most for `wait`.
    /// [`crate::StoreError::HistoryGone`] when the store no longer has them,
    /// [`crate::StoreError::Restored`] when it has lost some.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: ObjectVersion,
        wait: time::Duration,
    ) -> StoreFuture<'a, Changes>;

    /// Creates an object or replaces its content, and returns its version.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        value: &'a [u8],
    ) -> StoreFuture<'a, ObjectVersion>;

    /// Later calls are made on new connections: those that are idle may be dead.
    fn renew_connections(&self) {}
}
