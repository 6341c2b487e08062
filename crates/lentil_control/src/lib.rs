//! Keeps one process's documents up to date.
//!
//! An [`Agent`] watches the store where it is one of the few that do, asks peers
//! otherwise, and answers the peers that ask it. The decisions are
//! [`lentil_policy::config_sync::ConfigSync`] and
//! [`lentil_policy::membership::Membership`]; this crate is the I/O around them.

mod admin;
mod agent;
mod crashes;
mod listener;
mod peer_links;
mod setup;
mod shared;
mod worker;

pub use admin::WithAgentStatus;
pub use agent::{Agent, AppliedDocument, ConfigError, Settings, Status};
pub use crashes::record_crashes;
pub use peer_links::{PeerLinks, request_sync};
pub use setup::{SetupError, start, with_agent_status};
