//! Keeps one process's documents up to date.
//!
//! An [`Agent`] watches the store where it is one of the few that do, asks peers
//! otherwise, and answers the peers that ask it. The decisions are
//! [`lentil_policy::config_sync::ConfigSync`] and
//! [`lentil_policy::membership::Membership`]; this crate is the I/O around them.

mod agent;
mod crashes;
mod links;
mod listener;
mod setup;
mod shared;
mod subject;
mod worker;

pub use agent::{Agent, Applied, Settings, Status, TextError};
pub use crashes::record_crashes;
pub use links::{Links, ask};
pub use setup::{SetupError, start, subject};
pub use subject::Controlled;
