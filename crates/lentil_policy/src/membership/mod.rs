//! Which processes exist and how they are.
//!
//! Two sources are put together: the platform's instance list, which is late
//! and may not be had at all, and what processes say themselves, which counts
//! more. A process that does not answer is silent, not gone: it may only be cut
//! off from here, and keeps serving its own callers.

mod meter;
mod table;

pub use meter::Meter;
pub use table::{Event, ListedProcess, Member, Membership, Settings};
