//! The state machine of a sidecar, which serves one backend server.
//!
//! It bids on offers, queues dispatched attempts, passes answers to the entries
//! and records how attempts ended, so that it can prove that one never ran.

mod active_attempt;
mod attempt_records;
mod backend;
mod engine;
mod message;
mod policy;
mod requests;

pub use attempt_records::RecordSettings;
pub use message::{CacheChange, CacheEvent, Command, EngineFault, Event, LinkId};
pub use policy::{Settings, SidecarPolicy};

use active_attempt::RecordedAnswer;
