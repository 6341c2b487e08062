//! How documents that every process needs reach every process.
//!
//! Documents are the operators' text, the list of requests that crash engines,
//! and the marks of what drains. Each is one object of the platform, and a
//! process applies only a higher version than the one it has.
//!
//! In each data centre a few processes watch the store: the first by rendezvous
//! hash among those that this process knows to be live. Every other one asks a
//! process before it in the same order, so that asks form a tree with a bounded
//! number of children. An ask waits at its parent until something is newer, so
//! a change passes each level at once. Nothing is elected: processes that know
//! of different peers differ only in whom they ask.
//!
//! Each answer says how long ago the store confirmed what it carries. A process
//! whose confirmation grows old asks others, and the number of watchers doubles
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
