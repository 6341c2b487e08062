//! Leases in the platform's object API, with fencing numbers.
//!
//! A [`Lease`] runs in each contending process. It acquires the lease by
//! conditional update, renews it, and is asked right before each order whether
//! it still holds it. A tenure is timed from before the call that acquired or
//! renewed it, on this process's monotonic clock, so a holder always stops
//! before another may start, even if it was paused. If the pause fell between
//! check and order, its fencing number is lower than its successor's and a
//! [`FencingGate`] refuses the order.

mod gate;
mod holder;
mod record;

pub use gate::{FencingGate, GateError};
pub use holder::{Lease, Settings, key};
pub use record::{Record, RecordError};
