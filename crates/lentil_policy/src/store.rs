//! Calls that policies make to the platform's object API, and the replies.

use compact_str::CompactString;

/// Identifies a call to the object API, to match its reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Version of an object; 0 if it does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u64);

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Kind, such as `claims`.
    pub kind: CompactString,
    /// Name within the kind.
    pub name: CompactString,
}

/// A call to the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// Identifies this call.
        op: OpId,
        /// The object.
        key: ObjectKey,
    },
    /// Writes an object if it still has the expected version (compare-and-swap).
    Update {
        /// Identifies this call.
        op: OpId,
        /// The object.
        key: ObjectKey,
        /// The version that the value is based on; 0 creates the object.
        expect: ObjectVersion,
        /// The new value, at most a megabyte.
        value: Vec<u8>,
    },
}

/// Reply of the object API, or what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The current object; version 0 and an empty value if it does not exist.
    Found {
        /// The call that this replies to.
        op: OpId,
        /// Current version.
        version: ObjectVersion,
        /// Current value.
        value: Vec<u8>,
    },
    /// The update took effect.
    Updated {
        /// The call that this replies to.
        op: OpId,
        /// The object's new version.
        version: ObjectVersion,
    },
    /// The object has a different version; nothing was written.
    Conflict {
        /// The call that this replies to.
        op: OpId,
    },
    /// The call never reached the store, or the store refused it unprocessed.
    Refused {
        /// The call that this replies to.
        op: OpId,
    },
    /// No reply arrived. An update may have taken effect.
    Lost {
        /// The call that this replies to.
        op: OpId,
    },
}
