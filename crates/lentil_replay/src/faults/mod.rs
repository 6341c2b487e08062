//! A seeded search for violated invariants.
//!
//! Each seed is one run of a few entries, sidecars, engines, plain services and
//! a store, all in memory, with the policies that the daemons run. Messages are
//! lost, delayed, duplicated and reordered; processes pause, crash and restart;
//! the store fails and loses replies. A seed gives the same run on every machine.

mod backend;
mod backends;
mod checks;
mod entries;
mod events;
mod exchanges;
mod fault;
mod invariant;
mod outages;
mod plan;
mod router;
mod search;
mod settings;
mod sidecars;
mod store;
mod traffic;
mod world;

pub use fault::FaultKind;
pub use invariant::{Invariant, Violation};
pub use search::{Report, run_seed, search};
pub use settings::{Mutation, Settings};
