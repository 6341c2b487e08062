//! The command line for operators.
//!
//! Exit codes: 0 success; 1 the checked condition does not hold (an invalid
//! configuration, configurations that differ or do not exist, a process that lags
//! or has not drained); 2 the call cannot be carried out as written; 3 the process
//! or the platform could not be reached; 4 the configuration was changed
//! concurrently. `--json` prints one JSON document instead of text, also for errors.

mod apply;
mod check;
mod client;
mod diff;
mod drain;
mod dump;
mod error;
mod output;
mod platform;
mod reference;
mod show;
mod status;
mod trace;

use std::process;

/// Operate a lentilglade system.
#[derive(argh::FromArgs)]
struct Args {
    /// print one JSON document instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(apply::Args),
    Check(check::Args),
    Diff(diff::Args),
    Dump(dump::Args),
    Drain(drain::Args),
    Trace(trace::Args),
    Reference(reference::Args),
    Show(show::Args),
    Status(status::Args),
}

fn main() -> process::ExitCode {
    let args = parse();
    let output = output::Output { json: args.json };
    let outcome = match args.command {
        Command::Apply(args) => smol::block_on(apply::run(args, output)),
        Command::Check(args) => check::run(&args, output),
        Command::Diff(args) => diff::run(&args, output),
        Command::Dump(args) => smol::block_on(dump::run(args, output)),
        Command::Drain(args) => smol::block_on(drain::run(args, output)),
        Command::Trace(args) => smol::block_on(trace::run(args)),
        Command::Reference(_) => Ok(reference::run()),
        Command::Show(args) => smol::block_on(show::run(args, output)),
        Command::Status(args) => smol::block_on(status::run(args, output)),
    };
    match outcome {
        Ok(output::Exit::Success) => process::ExitCode::SUCCESS,
        Ok(output::Exit::Negative) => process::ExitCode::from(1),
        Err(error) => {
            output.error(&error);
            process::ExitCode::from(error.exit_code())
        }
    }
}

/// Parses the command line. `--json` may appear anywhere in it.
fn parse() -> Args {
    let words: Vec<String> = std::env::args().collect();
    let (json, rest): (Vec<_>, Vec<_>) = words.into_iter().partition(|word| word == "--json");
    let rest: Vec<&str> = rest.iter().map(String::as_str).collect();
    let words = rest.get(1..).unwrap_or_default();
    match <Args as argh::FromArgs>::from_args(&["lentilctl"], words) {
        Ok(args) => Args {
            json: args.json || !json.is_empty(),
            ..args
        },
        Err(exit) => {
            let (code, text) = match exit.status {
                Ok(()) => (0, exit.output),
                Err(()) => (
                    2,
                    format!("{}\nRun lentilctl --help for more.", exit.output),
                ),
            };
            if code == 0 {
                println!("{text}");
            } else {
                eprintln!("{text}");
            }
            process::exit(code);
        }
    }
}
