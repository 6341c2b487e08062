//! The operators' command line.

use std::{path, process};

use anyhow::Context as _;
use lentil_config::Market;

/// Looks after a lentilglade system.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(CheckArgs),
}

/// check an operators' text and print every fault
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// the text
    #[argh(positional)]
    file: path::PathBuf,
}

fn main() -> anyhow::Result<process::ExitCode> {
    let args: Args = argh::from_env();
    let Command::Check(args) = args.command;
    let text = std::fs::read_to_string(&args.file)
        .with_context(|| format!("cannot read {}", args.file.display()))?;
    Ok(match Market::parse(&text) {
        Ok(_) => process::ExitCode::SUCCESS,
        Err(faults) => {
            eprintln!("{faults}");
            process::ExitCode::FAILURE
        }
    })
}
