//! What a policy asks of the platform's object API.

use compact_str::CompactString;

/// Names one call to the object API, so that its answer finds its asker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Version of an object. 0: it does not exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u64);

/// Names an object.
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
        /// Names this call.
        op: OpId,
        /// The object.
        key: ObjectKey,
    },
    /// Writes an object if it still has the expected version.
    Update {
        /// Names this call.
        op: OpId,
        /// The object.
        key: ObjectKey,
        /// The version that the value was made from; 0 creates.
        expect: ObjectVersion,
        /// The new value, at most a megabyte.
        value: Vec<u8>,
    },
}

/// Answer of the object API, or what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object as it is; version 0 and no value when it does not exist.
    Found {
        /// The call that this answers.
        op: OpId,
        /// Version of the object.
        version: ObjectVersion,
        /// Its value.
        value: Vec<u8>,
    },
    /// The update is in force.
    Updated {
        /// The call that this answers.
        op: OpId,
        /// The object's new version.
        version: ObjectVersion,
    },
    /// The object has another version; nothing was written.
    Conflict {
        /// The call that this answers.
        op: OpId,
    },
    /// The call never reached the store, or the store refused it unread.
    Refused {
        /// The call that this answers.
        op: OpId,
    },
    /// No answer came. An update may be in force.
    Lost {
        /// The call that this answers.
        op: OpId,
    },
}
