//! `verify`: checks the replays against every bound.

use std::{fs, path, process};

use strum::IntoEnumIterator as _;

use crate::{Check, Region, ReplayError, Runs, check_region};

/// Precedes a check's name in the list of known failures.
const KNOWN_PREFIX: &str = "verify: ";

/// Checks the replays against every bound. Exits with 0 when all of them hold,
/// except those on the list of known failures.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "verify")]
pub struct Args {
    /// folder of the traces
    #[argh(option, default = "path::PathBuf::from(\"traces\")")]
    pub traces: path::PathBuf,
    /// list of known failures; checks in lines "verify: CHECK | ..." may fail
    #[argh(option)]
    pub known_red: Option<path::PathBuf>,
}

/// Checks all regions and prints one line for each check.
///
/// # Errors
/// [`ReplayError`] when a trace or the list cannot be read.
pub fn run(args: &Args) -> Result<process::ExitCode, ReplayError> {
    let known = known_red(args.known_red.as_deref())?;
    let mut failed = 0;
    let mut passed_over = 0;
    let mut count = 0;
    for region in Region::iter() {
        for check in check_region(&mut Runs::new(region, &args.traces)?)? {
            let is_known = known.contains(&check.name);
            println!("{}", line(&check, is_known));
            count += 1;
            failed += usize::from(!check.holds && !is_known);
            passed_over += usize::from(!check.holds && is_known);
        }
    }
    println!("{failed} of {count} outcomes do not hold, and {passed_over} known ones");
    Ok(if failed == 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    })
}

fn line(check: &Check, is_known: bool) -> String {
    let word = match (check.holds, is_known) {
        (true, false) => "ok        ",
        (true, true) => "ok, listed",
        (false, false) => "FAIL      ",
        (false, true) => "known red ",
    };
    let Check {
        name,
        measured,
        bound,
        ..
    } = check;
    format!("{word} {name}: {measured:.4}, bound {bound:.4}")
}

fn known_red(path: Option<&path::Path>) -> Result<Vec<String>, ReplayError> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    let text = fs::read_to_string(path).map_err(|source| ReplayError::File {
        path: path.to_owned(),
        source,
    })?;
    let name = |line: &str| {
        let rest = line.strip_prefix(KNOWN_PREFIX)?;
        let (name, _) = rest.split_once(" | ")?;
        Some(name.to_owned())
    };
    Ok(text.lines().filter_map(name).collect())
}
