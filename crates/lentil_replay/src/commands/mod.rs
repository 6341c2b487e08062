//! One module a subcommand.

pub mod compare;
pub mod generate;
