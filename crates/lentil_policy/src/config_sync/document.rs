//! Documents that every process has.

use std::sync;

use compact_str::CompactString;
use lentil_types::RegionName;

use crate::store;

/// A kind of document. The number is sent on the wire.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::FromRepr,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
#[repr(u8)]
pub enum Doc {
    /// The operators' configuration.
    Config = 0,
    /// Requests that crash engines.
    Poison = 1,
    /// Drain marks.
    Drain = 2,
}

impl Doc {
    /// Object of this document in a region.
    pub fn key(self, region: &RegionName) -> store::ObjectKey {
        let kind: &'static str = self.into();
        store::ObjectKey {
            kind: kind.into(),
            name: CompactString::from(region.as_str()),
        }
    }
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Version of its object.
    pub version: store::ObjectVersion,
    /// Content as stored.
    pub value: sync::Arc<[u8]>,
}

/// A process's version of a document; 0 if none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownVersion {
    /// Which document.
    pub doc: Doc,
    /// Version in force.
    pub version: store::ObjectVersion,
}
