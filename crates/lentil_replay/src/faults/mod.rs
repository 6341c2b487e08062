//! A seeded search for broken promises.
//!
//! Each seed is one run of a few entries, sidecars, engines, plain services and
//! a store, all in memory, on the daemons' own policies. Messages are lost,
//! late, doubled and crossed; processes pause, crash and restart; the store
//! fails and loses answers. Every run is the same on every machine.

mod backend;
mod backends;
mod checks;
mod entries;
mod exchanges;
mod fault;
mod network;
mod outages;
mod plan;
mod promise;
mod router;
mod search;
mod settings;
mod sidecars;
mod store;
mod traffic;
mod world;

pub use fault::FaultKind;
pub use promise::{Promise, Violation};
pub use search::{Report, run_seed, search};
pub use settings::{Sabotage, Settings};
