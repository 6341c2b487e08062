//! `lentilglade`: the demo and the benchmarks.

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

/// run an entry, sidecars and stand-ins from a configuration file
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// the configuration file
    #[argh(option, default = "path::PathBuf::from(\"examples/dalton.toml\")")]
    market: path::PathBuf,
    /// run a scripted session, print its results and exit
    #[argh(switch)]
    once: bool,
}

/// measure the overhead of entry and sidecar per request, on loopback
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
struct BenchArgs {
    /// requests per run (default 2000)
    #[argh(option, default = "BenchSettings::default().requests")]
    requests: usize,
    /// concurrent requests in the runs under load (default 32)
    #[argh(option, default = "BenchSettings::default().connections")]
    connections: usize,
    /// words per answer (default 32)
    #[argh(option, default = "BenchSettings::default().words")]
    words: usize,
}

/// measure the slopes of docs/CAPACITY.md, on loopback
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// numbers of peers of a real entry and sidecar, such as 10,100,300;
    /// if empty, only measurements that need no other process are made
    #[argh(option, default = "String::new()")]
    peers: String,
    /// seconds to measure at each number of peers (default 20)
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
    let config = Config::parse(&text)?;
    let demo = Demo::start(config.clone()).await?;
    if args.once {
        return Ok(run_session(&demo, &config).await);
    }
    print_greeting(&demo, &config);
    signals::terminated().await?;
    demo.drain().await;
    Ok(process::ExitCode::SUCCESS)
}

fn print_greeting(demo: &Demo, config: &Config) {
    let address = demo.address();
    println!("{} serves callers at http://{address}", config.region);
    if let (Some(model), Some(team)) = (config.models.first(), config.teams.first()) {
        println!(
            "try: curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer demo-{}' \
             -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\
             \"hello\"}}]}}'",
            team.name, model.name
        );
    }
    println!("stop with Ctrl-C");
}

async fn run_session(demo: &Demo, config: &Config) -> process::ExitCode {
    let rows = Session::new(demo.address(), config).run(config).await;
    println!(
        "{:<40} {:>6} {:>8} {:>6} {:>10}",
        "request", "status", "outcome", "whole", "ms"
    );
    for row in &rows {
        let ms = row.elapsed.as_secs_f64() * 1e3;
        println!(
            "{:<40} {:>6} {:>8} {:>6} {ms:>10.2}",
            row.request, row.status, row.outcome, row.is_expected
        );
    }
    if !rows.is_empty() && rows.iter().all(|row| row.is_expected) {
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
        capacity::measure_in_process().iter().for_each(print_series);
        return Ok(process::ExitCode::SUCCESS);
    }
    println!(
        "{:<8} {:>6} {:>10} {:>8} {:>9} {:>9} {:>11}",
        "process", "peers", "memory MB", "core %", "peers B/s", "asked B/s", "platform B/s"
    );
    for count in args.peers.split(',') {
        let settings = capacity::PeerSettings {
            peers: count.trim().parse().context("a number of peers")?,
            warm_up: time::Duration::from_secs(10),
            duration: time::Duration::from_secs(args.seconds),
        };
        let [entry, sidecar] = capacity::measure_peers(settings).await?;
        for (name, usage) in [("entry", entry), ("sidecar", sidecar)] {
            println!(
                "{name:<8} {:>6} {:>10.1} {:>8.2} {:>9.0} {:>9.0} {:>11.0}",
                settings.peers,
                usage.memory as f64 / 1e6,
                usage.cpu_share * 100.0,
                usage.peer_rate,
                usage.request_rate,
                usage.platform_rate
            );
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print_series(series: &capacity::Series) {
    let fit = series.fit();
    println!("{}", series.name);
    for point in &series.points {
        println!("    {:>10.0} {:>14.0}", point.x, point.y);
    }
    println!(
        "    base {:.0}, slope {:.3}, R2 {:.4}",
        fit.intercept, fit.slope, fit.r_squared
    );
}
