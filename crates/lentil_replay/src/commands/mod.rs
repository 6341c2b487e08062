//! The subcommands, one module each.

pub mod claims;
pub mod compare;
pub mod faults;
pub mod generate;
pub mod verify;
