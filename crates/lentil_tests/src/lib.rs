//! Fixtures for tests of failures: the real entry and sidecar against the
//! stand-ins.
//!
//! - [`Fleet`]: entries, sidecars and stand-ins in this process.
//! - [`Process`]: a real binary as a process of its own.
//! - [`Caller`]: what an OpenAI client does.
//! - [`RawLink`]: an entry's side of the wire, without its policy.
//! - [`wait`]: waits for conditions.

mod caller;
mod fleet;
mod process;
mod raw;
pub mod wait;

pub use caller::{Answer, Caller, Streamed};
pub use fleet::{FLEET_KEY, Fleet, FleetSettings, MODEL, config_text, identity};
pub use process::{Process, binaries};
pub use raw::{RawLink, dispatch, offer};
