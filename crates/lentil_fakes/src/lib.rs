//! Small stand-ins for what lentilglade meets outside, for tests and the demo.

mod engine;
mod plain;
mod platform;
mod platform_faults;

pub use engine::{Engine, EngineSettings};
pub use plain::{Plain, PlainSettings};
pub use platform::{Platform, PlatformSettings};
pub use platform_faults::Faults;
