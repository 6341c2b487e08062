//! Replays recorded traces through the policy and checks stated outcomes.

pub mod commands;
mod error;

pub use error::ReplayError;
