//! Infrastructure that every process of lentilglade shares.
//!
//! - [`settings`]: a TOML file, overridden by environment variables and flags.
//! - [`admin`]: health, readiness, state dump and drain over HTTP.
//! - [`metrics`]: counters and timings, sent to StatsD.
//! - [`logs`]: text or JSON lines on standard error or standard output.
//! - [`signals`]: Unix signals that stop or reload a process.
//! - [`Clock`]: the monotonic time that is passed to the policies.

pub mod admin;
mod clock;
pub mod logs;
pub mod metrics;
mod secret;
pub mod settings;
pub mod signals;

pub use clock::Clock;
pub use secret::Secret;
