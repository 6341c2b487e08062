//! What happens to a [`ConfigSync`](super::ConfigSync) and what it wants done.

use std::{fmt, time};

use lentil_types::{NodeName, PlaceName};

use super::{Doc, Document, Edit, KnownVersion};
use crate::store;

/// A process that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// The data centre it is in.
    pub place: PlaceName,
}

/// One document in a [`Reply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The document.
    pub doc: Doc,
    /// The version that it brings.
    pub version: store::ObjectVersion,
    /// What it brings.
    pub body: UpdateBody,
}

/// What an [`Update`] brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateBody {
    /// The whole document.
    Full(Vec<u8>),
    /// The edits since the version that the asker has, oldest first.
    Edits {
        /// The version that they start from.
        base: store::ObjectVersion,
        /// The edits.
        edits: Vec<Edit>,
    },
}

/// Answer of a peer that was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What is newer than the asker's.
    pub updates: Vec<Update>,
    /// How long ago the store confirmed that nothing newer existed; `None` when
    /// it never did.
    pub age: Option<time::Duration>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The processes that are known to be live, in every data centre.
    Peers(Vec<Peer>),
    /// The store answered a read or watch: `None` when nothing is newer.
    StoreAnswered(Doc, Option<Document>),
    /// The store did not answer.
    StoreFailed(Doc),
    /// A peer answered an ask.
    Replied(NodeName, Reply),
    /// A peer did not answer an ask.
    Unanswered(NodeName),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Read a document from the store, or wait there for a newer version.
    Watch {
        /// The document.
        doc: Doc,
        /// The version that is known.
        after: store::ObjectVersion,
        /// Longest wait; zero reads at once.
        wait: time::Duration,
    },
    /// Ask a peer for what is newer.
    Ask {
        /// The peer.
        peer: NodeName,
        /// What this process has.
        known: Vec<KnownVersion>,
        /// Longest that the peer may wait for something newer.
        wait: time::Duration,
    },
    /// Put a document in force.
    Apply(Doc, Document),
}

/// What the store was last heard to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum StoreState {
    /// It was not asked or has not answered yet.
    #[default]
    Silent,
    /// It answered.
    Up,
    /// It failed.
    Down,
}

/// Why a process has no text and so serves nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotReady {
    /// What the store was last heard to do.
    pub store: StoreState,
    /// Peers that are known.
    pub peers: usize,
    /// Peers that answered and had no text either.
    pub answered: usize,
}

impl fmt::Display for NotReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            store,
            peers,
            answered,
        } = self;
        write!(
            f,
            "no configuration: the store is {store}; {answered} of {peers} peers answered, none with a text"
        )
    }
}
