//! `lentilctl diff`.

use std::path;

use crate::{
    check,
    error::CtlError,
    output::{Answer, Output},
};

/// print what differs between two texts; exit code 1 when anything does
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Args {
    /// the older text
    #[argh(positional)]
    old: path::PathBuf,
    /// the newer text
    #[argh(positional)]
    new: path::PathBuf,
}

pub(crate) fn run(args: &Args, output: Output) -> Result<Answer, CtlError> {
    let (old, new) = (check::read(&args.old)?, check::read(&args.new)?);
    let changes = lentil_config::diff(&old, &new);
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    output.print(&lines.join("\n"), &changes);
    Ok(if changes.is_empty() {
        Answer::Yes
    } else {
        Answer::No
    })
}
