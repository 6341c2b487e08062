//! Command-line tool for the simulations of `lentil_replay`.

use std::process::ExitCode;

use lentil_replay::commands;

/// Replays recorded traces through the policy and checks the results.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Claims(commands::claims::Args),
    Compare(commands::compare::Args),
    Faults(commands::faults::Args),
    Generate(commands::generate::Args),
    Verify(commands::verify::Args),
}

fn main() -> anyhow::Result<ExitCode> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Claims(args) => Ok(commands::claims::run(&args)),
        Command::Compare(args) => Ok(commands::compare::run(&args)?),
        Command::Faults(args) => Ok(commands::faults::run(&args)),
        Command::Generate(args) => Ok(commands::generate::run(&args)?),
        Command::Verify(args) => Ok(commands::verify::run(&args)?),
    }
}
