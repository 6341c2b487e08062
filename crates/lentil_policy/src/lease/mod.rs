//! Leases in the platform's object API, with fencing numbers.
//!
//! A [`Lease`] is one process's part: it takes the lease by conditional update,
//! renews it, and says right before each order whether it still holds it. The
//! time of a tenure counts from before the call that took or renewed it, on
//! this process's monotonic clock, so a holder always stops before another may
//! begin. A holder that was paused past its time stops itself; should it act
//! between check and order, its fencing number is lower than its successor's
//! and a [`FencingGate`] refuses it.

mod gate;
mod holder;
mod record;

pub use gate::{FencingGate, GateError};
pub use holder::{Lease, Settings, key};
pub use record::{Record, RecordError};
