//! `lentilctl diff`.

use std::path;

use crate::{
    check,
    error::CtlError,
    output::{Exit, Output},
};

/// print the differences between two configuration files; exit code 1 if there are
/// any
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Args {
    /// the older configuration file
    #[argh(positional)]
    old: path::PathBuf,
    /// the newer configuration file
    #[argh(positional)]
    new: path::PathBuf,
}

pub(crate) fn run(args: &Args, output: Output) -> Result<Exit, CtlError> {
    let (old, new) = (check::read(&args.old)?, check::read(&args.new)?);
    let changes = lentil_config::diff(&old, &new);
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    output.print(&lines.join("\n"), &changes);
    Ok(if changes.is_empty() {
        Exit::Success
    } else {
        Exit::Negative
    })
}
