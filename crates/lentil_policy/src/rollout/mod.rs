//! Rollout of new weights over the runners of each service.
//!
//! The desired state is the operators' configuration; the observed state is what
//! each runner's sidecar reports. Everything else follows from the two, so the next
//! controller resumes after a crash, and orders are idempotent. Only failures are
//! recorded, so that it does not restart a stopped rollout.

mod message;
mod policy;
mod progress;

pub use message::{Command, Event, Order, OrderFault, RunnerStatus, Target};
pub use policy::{Rollout, Settings};
pub use progress::{Progress, ProgressError, StopReason};
