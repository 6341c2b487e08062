//! The life of a caller's request at an entry process.

mod answers;
mod attempts;
mod call;
mod claims;
mod counters;
mod expiry;
mod held;
mod message;
mod planning;
mod policy;
mod retry;
mod stream;

pub use counters::Counters;
pub use message::{Arrival, Command, Ending, Event};
pub use policy::{EntryPolicy, Settings};
