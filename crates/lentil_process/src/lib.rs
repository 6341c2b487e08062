//! Infrastructure shared by lentilglade's processes.
//!
//! - [`settings`]: TOML file, overridden by environment variables and flags.
//! - [`admin`]: health, readiness, state dump and drain over HTTP.
//! - [`metrics`]: counters and timings, sent to StatsD.
//! - [`logs`]: text or JSON lines on standard error or standard output.
//! - [`panics`]: a panic ends a task, not the process.
//! - [`signals`]: Unix signals that stop or reload a process.
//! - [`Clock`]: monotonic time for the policies.

pub mod admin;
mod clock;
pub mod logs;
pub mod metrics;
pub mod panics;
mod secret;
pub mod settings;
pub mod signals;

pub use clock::Clock;
pub use secret::Secret;
