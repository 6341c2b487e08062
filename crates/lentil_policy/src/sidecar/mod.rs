//! The work of one backend server.

mod message;
mod policy;

pub use message::{CacheChange, CacheEvent, Command, EngineFault, Event, LinkId};
pub use policy::{Settings, SidecarPolicy};
