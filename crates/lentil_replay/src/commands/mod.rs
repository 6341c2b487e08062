//! One module a subcommand.

pub mod generate;
