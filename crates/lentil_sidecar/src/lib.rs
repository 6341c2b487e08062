//! The sidecar process beside each backend server, as a library.
//!
//! [`Sidecar`] accepts entries, turns their messages and the backend server's
//! answers into events for [`lentil_policy::sidecar::SidecarPolicy`], and
//! executes its commands.

mod backend;
mod control;
mod driver;
mod follow;
mod links;
mod orders;
mod service;
mod sidecar;
mod state;

pub use control::Control;
pub use follow::follow;
pub use lentil_process::settings::BackendKind;
pub use orders::learn_fencing;
pub use sidecar::{AdminHandle, Settings, Sidecar};
