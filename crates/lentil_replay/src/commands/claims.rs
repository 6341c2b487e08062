//! `claims`: measures the store traffic that claims cause.

use std::{process::ExitCode, time};

use lentil_policy::claim;

use crate::claims;

/// Rates that are measured, in calls per second.
const RATES: [u64; 4] = [1, 10, 100, 1_000];

/// Measures store calls per non-repeatable call on a simulated clock.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct Args {
    /// number of entries
    #[argh(option, default = "3")]
    entries: usize,
    /// time over which calls arrive, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// range of key creation times that share objects, in seconds
    #[argh(option, default = "claim::Settings::default().key_span.as_secs()")]
    key_span: u64,
    /// number of objects for each key span
    #[argh(option, default = "claim::Settings::default().shards")]
    shards: u64,
    /// minimum time between two writes of an object, in milliseconds
    #[argh(option, default = "millis(claim::Settings::default().write_interval)")]
    window: u64,
    /// longest delay before a call's end is recorded, in milliseconds
    #[argh(option, default = "millis(claim::Settings::default().settle_wait)")]
    settle_wait: u64,
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Measures every rate and prints the results.
pub fn run(args: &Args) -> ExitCode {
    for rate in RATES {
        let settings = claims::Settings {
            rate,
            entries: args.entries,
            duration: time::Duration::from_secs(args.seconds),
            claims: claim::Settings {
                key_span: time::Duration::from_secs(args.key_span),
                shards: args.shards,
                write_interval: time::Duration::from_millis(args.window),
                settle_wait: time::Duration::from_millis(args.settle_wait),
                ..claim::Settings::default()
            },
            ..claims::Settings::default()
        };
        println!("{rate} calls/s: {}", claims::measure(settings));
    }
    ExitCode::SUCCESS
}
