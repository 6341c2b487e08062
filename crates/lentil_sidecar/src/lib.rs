//! The sidecar process beside each backend server, as a library.
//!
//! [`Sidecar`] listens for entries, turns what they and the backend server say
//! into events for [`lentil_policy::sidecar::SidecarPolicy`], and carries out
//! its commands.

mod backend;
mod driver;
mod service;
mod sidecar;

pub use sidecar::{BackendKind, Settings, Sidecar};
