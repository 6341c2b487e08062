//! Replays recorded traces through the policy and checks stated outcomes.

pub mod claims;
pub mod commands;
mod error;
pub mod faults;

pub use error::ReplayError;
