//! How often this process may call the platform's object API.
//!
//! Each purpose has a budget of calls a second, so that one cannot starve
//! another. A circuit breaker over all of them stops calls while the store
//! fails and lets single probes through after a wait that doubles and is drawn
//! at random, so that many processes do not come back at once. When it closes,
//! budgets start empty, so that a process comes back at its rate.

mod breaker;
mod budget;
mod purpose;

pub use breaker::{Breaker, BreakerSettings};
pub use budget::{Budget, CallResult, Denied, Settings, Tally};
pub use purpose::{Action, Purpose};
