//! Small stand-ins for what lentilglade meets outside, for tests and the demo.
//!
//! Every stand-in has switches that bring faults about; see the methods of
//! [`Engine`] and [`Plain`]. `docs/engines.md` gives the engines' protocol.

mod engine;
mod plain;
mod platform;
mod platform_faults;
mod server;

pub use engine::{AppliedOrder, Engine, EngineSettings, Order, StreamFault};
pub use plain::{Plain, PlainSettings};
pub use platform::{Platform, PlatformSettings};
pub use platform_faults::Faults;
