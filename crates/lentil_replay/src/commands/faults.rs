//! `faults`: searches for violated invariants.

use std::{num, ops, process::ExitCode, str};

use crate::faults;

/// Searches for violated invariants over seeded interleavings of faults.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct Args {
    /// range of seeds to run, such as 0..500
    #[argh(option, default = "SeedRange(0..500)")]
    seeds: SeedRange,
    /// requests for each seed, without resent ones
    #[argh(option, default = "faults::Settings::default().requests")]
    requests: usize,
    /// factor on the probabilities of all faults
    #[argh(option, default = "1.0")]
    fault_rate: f64,
    /// run this seed alone and print its trace
    #[argh(option)]
    trace: Option<u64>,
}

/// A half-open range of seeds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SeedRange(ops::Range<u64>);

/// A text is not a range of seeds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ParseRangeError {
    /// There is no `..`.
    #[error("{0:?} is not a range such as 0..500")]
    NoRange(String),
    /// A bound is not a number.
    #[error("a bound of the range is not a whole number: {0}")]
    Bound(#[from] num::ParseIntError),
}

impl str::FromStr for SeedRange {
    type Err = ParseRangeError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let bounds = s.split_once("..");
        let (from, to) = bounds.ok_or_else(|| ParseRangeError::NoRange(s.to_owned()))?;
        Ok(Self(from.parse()?..to.parse()?))
    }
}

/// Runs and prints the search. Fails when an invariant was violated.
pub fn run(args: &Args) -> ExitCode {
    let settings = faults::Settings {
        requests: args.requests,
        fault_rate: args.fault_rate,
        ..faults::Settings::default()
    };
    if let Some(seed) = args.trace {
        let mut report = faults::Report::default();
        for line in faults::run_seed(&settings, seed, true, &mut report) {
            println!("{line}");
        }
        print!("{report}");
        return exit_code(&report);
    }
    let report = faults::search(&settings, args.seeds.0.clone());
    if let Some((seed, trace)) = report.trace(&settings) {
        println!("the end of the trace of seed {seed}:");
        for line in trace {
            println!("{line}");
        }
    }
    print!("{report}");
    exit_code(&report)
}

fn exit_code(report: &faults::Report) -> ExitCode {
    if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
