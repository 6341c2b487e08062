//! `verify`: checks every stated outcome.

use std::{path, process};

use strum::IntoEnumIterator as _;

use crate::{Region, ReplayError, Runs, check_market};

/// Checks every stated outcome. Exits with 0 when all of them hold.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "verify")]
pub struct Args {
    /// folder of the traces
    #[argh(option, default = "path::PathBuf::from(\"traces\")")]
    pub traces: path::PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// [`ReplayError`] when a trace cannot be read.
pub fn run(args: &Args) -> Result<process::ExitCode, ReplayError> {
    let mut failed = 0;
    let mut count = 0;
    for region in Region::iter() {
        for check in check_market(&mut Runs::new(region, &args.traces)?)? {
            let word = if check.holds { "ok  " } else { "FAIL" };
            println!(
                "{word} {}: {:.4}, bound {:.4}",
                check.name, check.found, check.bound
            );
            count += 1;
            failed += usize::from(!check.holds);
        }
    }
    println!("{failed} of {count} outcomes do not hold");
    Ok(if failed == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    })
}
