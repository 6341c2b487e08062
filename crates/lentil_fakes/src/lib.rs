//! Small stand-ins for what lentilglade meets outside, for tests and the demo.

mod engine;
mod plain;

pub use engine::{Engine, EngineSettings};
pub use plain::{Plain, PlainSettings};
