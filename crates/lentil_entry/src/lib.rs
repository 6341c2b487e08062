//! The entry process as a library: callers' HTTP requests in, whole answers
//! out.
//!
//! [`Entry`] turns HTTP requests and what sidecars say into events for
//! [`lentil_policy::entry::EntryPolicy`], and carries out its commands.

mod caller;
mod driver;
mod entry;
mod http;
mod links;
mod reply;

pub use entry::{Entry, Settings};
