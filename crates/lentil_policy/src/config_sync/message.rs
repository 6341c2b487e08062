//! Events and commands of a [`ConfigSync`](super::ConfigSync).

use std::{fmt, time};

use lentil_types::{NodeName, PlaceName};

use super::{Doc, Document, Edit, KnownVersion};
use crate::store;

/// A process that can be asked for documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// Its data centre.
    pub place: PlaceName,
}

/// One document in a [`Reply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Which document.
    pub doc: Doc,
    /// Version after the update.
    pub version: store::ObjectVersion,
    /// The new content.
    pub body: UpdateBody,
}

/// Content of an [`Update`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateBody {
    /// The whole document.
    Full(Vec<u8>),
    /// Edits to the version of the asking process.
    Edits {
        /// Version to which the first edit applies.
        base: store::ObjectVersion,
        /// The edits, oldest first.
        edits: Vec<Edit>,
    },
}

/// A peer's answer to [`Command::Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Documents newer than those of the asking process.
    pub updates: Vec<Update>,
    /// Time since the store confirmed these as newest; `None` if it never did.
    pub age: Option<time::Duration>,
}

/// An input to a [`ConfigSync`](super::ConfigSync).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The processes known to be live, in all data centres.
    Peers(Vec<Peer>),
    /// The store answered a read or watch; `None` if nothing is newer.
    StoreAnswered(Doc, Option<Document>),
    /// The store did not answer.
    StoreFailed(Doc),
    /// A peer answered [`Command::Ask`].
    Replied(NodeName, Reply),
    /// A peer did not answer [`Command::Ask`].
    Unanswered(NodeName),
}

/// An action for the shell to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Watch the store for a newer version of a document, or read it.
    Watch {
        /// Which document.
        doc: Doc,
        /// Version in force here.
        after: store::ObjectVersion,
        /// Longest wait; zero for a read.
        wait: time::Duration,
    },
    /// Long-poll a peer for newer documents.
    Ask {
        /// The peer to ask.
        peer: NodeName,
        /// Versions in force here.
        known: Vec<KnownVersion>,
        /// Longest wait of the peer for a newer document.
        wait: time::Duration,
    },
    /// Put a document in force.
    Apply(Doc, Document),
}

/// State of the store, as of its last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum StoreState {
    /// It has not answered yet.
    #[default]
    Silent,
    /// Its last call succeeded.
    Up,
    /// Its last call failed.
    Down,
}

/// Why a process has no configuration and can't serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotReady {
    /// State of the store.
    pub store: StoreState,
    /// Peers known.
    pub peers: usize,
    /// Peers that answered, without a configuration either.
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
