//! Fixtures for failure tests, which run the real entry and sidecar against
//! stand-ins.
//!
//! - [`Fleet`]: entries, sidecars and stand-ins in this process.
//! - [`Process`]: a real binary in a process of its own.
//! - [`Caller`]: an OpenAI client.
//! - [`RawLink`]: an entry's connection to a sidecar, without the entry's policy.
//! - [`wait`]: waits for conditions, with a timeout.

mod caller;
mod fleet;
mod process;
mod raw;
pub mod wait;

pub use caller::{Answer, Caller, Streamed};
pub use fleet::{FLEET_KEY, Fleet, FleetSettings, MODEL, config_text, identity};
pub use process::{Process, binaries};
pub use raw::{RawLink, dispatch, offer};
