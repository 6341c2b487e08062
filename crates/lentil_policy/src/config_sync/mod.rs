//! Distribution of the shared documents to every process.
//!
//! The documents are the operators' configuration, the list of requests that
//! crash engines, and the drain marks. Each is one object of the platform, and a
//! process applies only a higher version than the one it has.
//!
//! In each data centre a few processes watch the store: the first by rendezvous
//! hash among those that this process knows to be live. Every other process asks
//! one before it in the same order, which forms a tree with a bounded number of
//! children. A parent holds the request until something is newer, so a change
//! passes each level at once. There is no leader election: processes that know of
//! different peers only ask different parents.
//!
//! Each answer carries the time since the store confirmed it. A process whose
//! confirmation is stale asks other sources, and the number of watchers doubles
//! with each further period, up to a limit.

mod document;
mod edit;
mod message;
mod sync;
mod tree;

pub use document::{Doc, Document, KnownVersion};
pub use edit::{Edit, EditError};
pub use message::{Command, Event, NotReady, Peer, Reply, StoreState, Update, UpdateBody};
pub use sync::{ConfigSync, Settings};
pub use tree::Tree;
