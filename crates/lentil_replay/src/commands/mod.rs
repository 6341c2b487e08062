//! One module a subcommand.

pub mod claims;
pub mod faults;
pub mod generate;
