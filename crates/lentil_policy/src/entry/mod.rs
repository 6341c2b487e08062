//! The life of a caller's request at an entry process.

mod call;
mod message;
mod policy;

pub use message::{Arrival, Command, Ending, Event};
pub use policy::{EntryPolicy, Settings};
