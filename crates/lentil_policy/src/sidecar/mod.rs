//! The work of one backend server.

mod backend;
mod engine;
mod memory;
mod message;
mod policy;
mod requests;
mod run;

pub use memory::RecordSettings;
pub use message::{CacheChange, CacheEvent, Command, EngineFault, Event, LinkId};
pub use policy::{Settings, SidecarPolicy};

use run::Answered;
