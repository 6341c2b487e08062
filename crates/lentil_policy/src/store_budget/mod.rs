//! Rate limits for this process's calls to the platform's object API.
//!
//! Each purpose has a budget of calls per second, so that one cannot starve
//! another. A circuit breaker over all of them stops calls while the store fails
//! and admits single probes, with exponential backoff and jitter so that many
//! processes do not come back at once. When it closes, budgets start empty, so
//! that a process resumes at its rate.

mod breaker;
mod budget;
mod purpose;

pub use breaker::{Breaker, BreakerSettings};
pub use budget::{Budget, CallResult, Denied, Settings, Tally};
pub use purpose::{Action, Purpose};
