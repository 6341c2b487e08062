//! Interface of stores whose objects are listed and watched by kind.

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
    /// Its content, as stored.
    pub value: Vec<u8>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub documents: Vec<Document>,
    /// Version of the whole store that the list shows; a watch continues from here.
    pub revision: ObjectVersion,
}

/// A change of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object was created or its content replaced.
    Changed(Document),
    /// The object of this name was removed.
    Removed(CompactString),
}

/// Changes to the objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Version of the whole store that the changes lead up to.
    pub revision: ObjectVersion,
}

/// A store whose objects are listed and watched by kind.
pub trait KindStore: Send + Sync {
    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Listing>;

    /// Waits for changes of a kind after store version `after`, at most for `wait`.
    /// Fails with [`crate::StoreError::HistoryGone`] when the store no longer has
    /// them.
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
