//! Stores whose objects are listed and watched by kind.

use std::time;

use compact_str::CompactString;
use lentil_policy::store::ObjectVersion;

use crate::StoreFuture;

/// An object with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Name within its kind.
    pub name: CompactString,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Its content, as the store spells it.
    pub value: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub documents: Vec<Document>,
    /// Version of the store that the list shows.
    pub revision: ObjectVersion,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is new or has new content.
    Changed(Document),
    /// It was removed.
    Removed(CompactString),
}

/// Changes of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Version of the store up to which they go.
    pub revision: ObjectVersion,
}

/// Keeps objects that are listed and watched by kind.
pub trait KindStore: Send + Sync {
    /// Lists a kind.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing>;

    /// Waits, at most for `wait`, for changes of a kind after version `after`.
    /// [`crate::StoreError::HistoryGone`] when the store no longer has them.
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
}
