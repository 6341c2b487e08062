//! Detection of requests that crash the engines that run them.
//!
//! See `docs/poison.md`.

mod document;
mod suspects;

pub use document::{CrashRecord, Document, DocumentError, MAX_ENTRIES, RETENTION};
pub use suspects::{POISON_CRASHES, Suspects, SuspectsSettings};
