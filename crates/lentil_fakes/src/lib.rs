//! Small stand-ins for engines, plain services and the platform, for tests and
//! the demo.
//!
//! Every stand-in can inject faults; see the methods of [`Engine`] and
//! [`Plain`], and [`Faults`]. `docs/engines.md` gives the engines' protocol.

mod engine;
mod plain;
mod platform;
mod platform_faults;
mod server;

pub use engine::{AppliedOrder, Engine, EngineSettings, Order, StreamFault};
pub use plain::{Plain, PlainSettings};
pub use platform::{Platform, PlatformSettings};
pub use platform_faults::Faults;
