//! Keeps the region's documents of one process up to date: configuration, poison
//! list and drain marks.
//!
//! A few [`Agent`]s of a data centre watch the store; the others long-poll their
//! peers. Every agent answers sync requests. The decisions are made by
//! [`lentil_policy::config_sync::ConfigSync`] and
//! [`lentil_policy::membership::Membership`]; this crate does the I/O for them.

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
