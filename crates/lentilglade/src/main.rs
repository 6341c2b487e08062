//! `lentilglade`: the newcomer's door.

use std::{path, process, time};

use anyhow::Context as _;
use lentil_config::Config;
use lentil_process::{logs, signals};
use lentilglade::{
    Demo, Session,
    bench::{self, BenchSettings},
    capacity,
};

/// Try lentilglade in one process.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
    Bench(BenchArgs),
    Capacity(CapacityArgs),
}

/// run an entry, sidecars and stand-ins from an operators' text
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// the operators' text
    #[argh(option, default = "path::PathBuf::from(\"examples/dalton.toml\")")]
    market: path::PathBuf,
    /// send a scripted session, print what came of it and stop
    #[argh(switch)]
    once: bool,
}

/// measure what entry and sidecar add to a request, on loopback
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
struct BenchArgs {
    /// requests of each run (default 2000)
    #[argh(option, default = "BenchSettings::default().requests")]
    requests: usize,
    /// requests at once in the runs under load (default 32)
    #[argh(option, default = "BenchSettings::default().connections")]
    connections: usize,
    /// words of each answer (default 32)
    #[argh(option, default = "BenchSettings::default().words")]
    words: usize,
}

/// measure the slopes of docs/CAPACITY.md, on loopback
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// numbers of peers of a real entry and sidecar, such as 10,100,300;
    /// without them only what needs no other process is measured
    #[argh(option, default = "String::new()")]
    peers: String,
    /// seconds that each number of peers is looked at (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
}

fn main() -> anyhow::Result<process::ExitCode> {
    let args: Args = argh::from_env();
    logs::init(logs::Settings::default())?;
    match args.command {
        Command::Demo(args) => smol::block_on(demo(args)),
        Command::Bench(args) => smol::block_on(run_bench(args)),
        Command::Capacity(args) => smol::block_on(run_capacity(&args)),
    }
}

async fn demo(args: DemoArgs) -> anyhow::Result<process::ExitCode> {
    let text = std::fs::read_to_string(&args.market)
        .with_context(|| format!("cannot read {}", args.market.display()))?;
    let market = Config::parse(&text)?;
    let demo = Demo::start(market.clone()).await?;
    if args.once {
        return Ok(run_session(&demo, &market).await);
    }
    print_greeting(&demo, &market);
    signals::terminated().await?;
    demo.drain().await;
    Ok(process::ExitCode::SUCCESS)
}

fn print_greeting(demo: &Demo, market: &Config) {
    let address = demo.address();
    println!("{} serves callers at http://{address}", market.region);
    if let (Some(model), Some(team)) = (market.models.first(), market.teams.first()) {
        println!(
            "try: curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer demo-{}' \
             -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\
             \"hello\"}}]}}'",
            team.name, model.name
        );
    }
    println!("stop with Ctrl-C");
}

async fn run_session(demo: &Demo, market: &Config) -> process::ExitCode {
    let rows = Session::new(demo.address(), market).run(market).await;
    println!(
        "{:<40} {:>6} {:>8} {:>6} {:>10}",
        "request", "status", "outcome", "whole", "ms"
    );
    for row in &rows {
        let ms = row.took.as_secs_f64() * 1e3;
        println!(
            "{:<40} {:>6} {:>8} {:>6} {ms:>10.2}",
            row.request, row.status, row.outcome, row.whole
        );
    }
    if !rows.is_empty() && rows.iter().all(|row| row.whole) {
        return process::ExitCode::SUCCESS;
    }
    process::ExitCode::FAILURE
}

async fn run_bench(args: BenchArgs) -> anyhow::Result<process::ExitCode> {
    let settings = BenchSettings {
        requests: args.requests.max(1),
        connections: args.connections.max(1),
        words: args.words,
        ..BenchSettings::default()
    };
    let pairs = bench::run(settings).await?;
    print!("{}", bench::table(&pairs));
    Ok(process::ExitCode::SUCCESS)
}

async fn run_capacity(args: &CapacityArgs) -> anyhow::Result<process::ExitCode> {
    if args.peers.is_empty() {
        capacity::lines().iter().for_each(print_line);
        return Ok(process::ExitCode::SUCCESS);
    }
    println!(
        "{:<8} {:>6} {:>10} {:>8} {:>9} {:>9} {:>11}",
        "process", "peers", "memory MB", "core %", "peers B/s", "asked B/s", "platform B/s"
    );
    for count in args.peers.split(',') {
        let settings = capacity::PeerSettings {
            peers: count.trim().parse().context("a number of peers")?,
            warm: time::Duration::from_secs(10),
            span: time::Duration::from_secs(args.seconds),
        };
        let [entry, sidecar] = capacity::peers(settings).await?;
        for (name, figures) in [("entry", entry), ("sidecar", sidecar)] {
            println!(
                "{name:<8} {:>6} {:>10.1} {:>8.2} {:>9.0} {:>9.0} {:>11.0}",
                settings.peers,
                figures.memory as f64 / 1e6,
                figures.core * 100.0,
                figures.peers,
                figures.asked,
                figures.platform
            );
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print_line(line: &capacity::Line) {
    let fit = line.fit();
    println!("{}", line.name);
    for point in &line.points {
        println!("    {:>10.0} {:>14.0}", point.x, point.y);
    }
    println!(
        "    base {:.0}, slope {:.3}, R2 {:.4}",
        fit.base, fit.slope, fit.straight
    );
}
