//! Routes a caller's request at an entry process and retries or resumes it.

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
