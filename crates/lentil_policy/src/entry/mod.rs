//! Handles a caller's request at an entry process, from arrival to the end of
//! its answer: routing, claims, retries, resumed streams and deadlines.

mod answers;
mod attempts;
mod buffered;
mod call;
mod claims;
mod counters;
mod expiry;
mod message;
mod planning;
mod policy;
mod retry;
mod stream;

pub use counters::Counters;
pub use message::{Arrival, Command, Ending, Event};
pub use policy::{EntryPolicy, Settings};
