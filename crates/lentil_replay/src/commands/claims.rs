//! `lentil_replay claims`: what claims cost the store.

use std::{process::ExitCode, time};

use lentil_policy::claim;

use crate::claims;

/// Calls a second that are measured.
const RATES: [u64; 4] = [1, 10, 100, 1_000];

/// Measures store calls per non-repeatable call on a fake clock.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct Args {
    /// entries
    #[argh(option, default = "3")]
    entries: usize,
    /// seconds that calls come for
    #[argh(option, default = "30")]
    seconds: u64,
    /// seconds of keys that share an object
    #[argh(option, default = "claim::Settings::default().key_span.as_secs()")]
    key_span: u64,
    /// objects to a span
    #[argh(option, default = "claim::Settings::default().shards")]
    shards: u64,
    /// milliseconds between two writes of an object
    #[argh(option, default = "millis(claim::Settings::default().write_interval)")]
    window: u64,
    /// milliseconds that recording an end may wait
    #[argh(option, default = "millis(claim::Settings::default().settle_wait)")]
    settle_wait: u64,
}

fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the measurement and prints it.
pub fn run(args: &Args) -> ExitCode {
    for rate in RATES {
        let settings = claims::Settings {
            rate,
            entries: args.entries,
            span: time::Duration::from_secs(args.seconds),
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
