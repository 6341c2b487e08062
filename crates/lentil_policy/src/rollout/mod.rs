//! Rollout of new weights over the runners of each service.
//!
//! The desired state is the operators' text; the observed state is what each
//! runner's sidecar says. Everything else follows from the two, so a controller
//! that crashed is resumed by the next one, and an order given twice does no
//! harm. Only a stopped rollout is recorded, so that the next controller does
//! not begin it again.

mod message;
mod policy;
mod progress;

pub use message::{Command, Event, Order, OrderFault, RunnerStatus, Target};
pub use policy::{Rollout, Settings};
pub use progress::{Progress, ProgressError, StopReason};
