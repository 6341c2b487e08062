//! `lentil-load`: sends a recorded trace to an entry on this machine.

use std::{fs, io, net, path, process, time};

use anyhow::Context as _;
use lentil_load::{Load, Settings, plot};
use lentil_trace::{Reader, Record};

/// Sends a recorded trace to an entry on this machine and reports endings and
/// latencies. Exit code 1 when an answer broke off without an error.
#[derive(argh::FromArgs)]
struct Args {
    /// loopback address of the entry
    #[argh(option)]
    entry: net::SocketAddr,
    /// file of the trace
    #[argh(option)]
    trace: path::PathBuf,
    /// prefix of a team's API key; its name follows (default: demo-)
    #[argh(option, default = "Settings::default().key_prefix")]
    key_prefix: String,
    /// factor on the recorded rate of requests (default: 1)
    #[argh(option, default = "Settings::default().speed")]
    speed: f64,
    /// maximum number of requests (default: 10000)
    #[argh(option, default = "Settings::default().requests")]
    requests: usize,
    /// maximum time of sending, in seconds (default: 60)
    #[argh(option, default = "Settings::default().max_duration.as_secs()")]
    seconds: u64,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// write a plot of the time to the first piece to this SVG file
    #[argh(option)]
    plot: Option<path::PathBuf>,
}

fn main() -> anyhow::Result<process::ExitCode> {
    let args: Args = argh::from_env();
    let records = read(&args.trace)?;
    let load = Load::new(Settings {
        entry: args.entry,
        key_prefix: args.key_prefix,
        speed: args.speed,
        requests: args.requests,
        max_duration: time::Duration::from_secs(args.seconds),
    })?;
    let report = smol::block_on(load.run(&records));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(path) = args.plot {
        let svg = plot::svg(&report)?;
        fs::write(&path, svg).with_context(|| format!("cannot write {}", path.display()))?;
    }
    let broken = report.classes.iter().any(|class| class.broken > 0);
    Ok(if broken {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    })
}

fn read(path: &path::Path) -> anyhow::Result<Vec<Record>> {
    let file = fs::File::open(path).with_context(|| format!("cannot open {}", path.display()))?;
    let reader = Reader::new(io::BufReader::new(file))?;
    let records: Result<Vec<_>, _> = reader.collect();
    records.with_context(|| format!("cannot read {}", path.display()))
}
