//! What every process of lentilglade has.
//!
//! - [`settings`]: a TOML file, overridden by the environment and by flags.
//! - [`admin`]: health, readiness, state dump and drain over HTTP.
//! - [`metrics`]: counters and timings, sent as StatsD.
//! - [`logs`]: text or JSON lines on standard error.
//! - [`signals`]: what ends a process.
//! - [`Clock`]: the monotonic time that the policies are given.

pub mod admin;
mod clock;
pub mod logs;
pub mod metrics;
mod secret;
pub mod settings;
pub mod signals;

pub use clock::Clock;
pub use secret::Secret;
