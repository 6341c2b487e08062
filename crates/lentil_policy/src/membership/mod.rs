//! Which processes exist, and their states.
//!
//! The table merges two sources: the platform's instance list, which lags and may
//! be unavailable, and the processes' own reports, which take precedence. A
//! process that does not answer is silent, not gone: it may only be partitioned
//! from this one and still serve its own callers.

mod meter;
mod table;

pub use meter::Meter;
pub use table::{Event, ListedProcess, Member, Membership, Settings};
