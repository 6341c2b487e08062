//! The state machine of a sidecar: bids, queueing, answers, and the records that
//! prove that an attempt never ran.

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
