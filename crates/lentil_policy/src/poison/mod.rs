//! Requests that crash the engines that run them.
//!
//! See `docs/poison.md`.

mod document;
mod suspects;

pub use document::{Document, DocumentError, Entry, MAX_ENTRIES, RETENTION};
pub use suspects::{POISON_CRASHES, Suspects, SuspectsSettings};
