//! Keeps a region's configuration, poison list and drain marks up to date.
//!
//! A few [`Agent`]s of a data centre watch the store; the others long-poll peers.
//! Every agent answers sync requests. This crate does the I/O;
//! [`lentil_policy::config_sync::ConfigSync`] and
//! [`lentil_policy::membership::Membership`] decide.

mod admin;
mod agent;
mod crashes;
mod listener;
mod peer_links;
mod setup;
mod state;
mod worker;

pub use admin::WithAgentStatus;
pub use agent::{Agent, AppliedDocument, ConfigError, Settings, Status};
pub use crashes::record_crashes;
pub use peer_links::{PeerLinks, request_sync};
pub use setup::{SetupError, start, with_agent_status};
