//! One module a subcommand.

pub mod faults;
pub mod generate;
