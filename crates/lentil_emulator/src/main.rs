//! `lentil-emulator`: runs one stand-in in a process of its own.

use std::{fs, net, path, time};

use anyhow::Context as _;
use lentil_fakes::{Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings};
use lentil_process::{logs, signals};
use lentil_types::{BootId, Pieces, WeightsVersion};

/// Runs one stand-in until SIGTERM or SIGINT.
#[derive(argh::FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArgs),
    Plain(PlainArgs),
    Platform(PlatformArgs),
}

/// an engine that speaks the OpenAI API
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: net::SocketAddr,
    /// id of its first boot (default: taken from the clock)
    #[argh(option)]
    boot: Option<u64>,
    /// version of the weights loaded at the start (default: 1)
    #[argh(option, default = "1")]
    weights: u32,
    /// words in each answer (default: 8)
    #[argh(option, default = "EngineSettings::default().words")]
    words: usize,
    /// milliseconds to decode one word (default: 1)
    #[argh(option, default = "1")]
    pace_ms: u64,
    /// microseconds to prefill one uncached token (default: 5)
    #[argh(option, default = "5")]
    prefill_us: u64,
    /// capacity of the prefix cache, in pieces (default: 4000)
    #[argh(option, default = "EngineSettings::default().cache.0")]
    cache: u64,
    /// requests that run at once (default: 16)
    #[argh(option, default = "EngineSettings::default().slots")]
    slots: usize,
}

/// a plain service that counts its calls
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// address to listen on
    #[argh(option)]
    listen: net::SocketAddr,
}

/// the platform: object API and instance list
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: net::SocketAddr,
    /// JSON file with the instance list
    #[argh(option)]
    instances: Option<path::PathBuf>,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    logs::init(logs::Settings::default())?;
    match args.command {
        Command::Engine(args) => {
            let engine =
                Engine::start(engine_settings(&args)).context("cannot start the engine")?;
            serve(engine.address())
        }
        Command::Plain(args) => {
            let settings = PlainSettings {
                address: args.listen,
            };
            let plain = Plain::start(&settings).context("cannot start the plain service")?;
            serve(plain.address())
        }
        Command::Platform(args) => run_platform(&args),
    }
}

fn engine_settings(args: &EngineArgs) -> EngineSettings {
    EngineSettings {
        address: args.listen,
        boot: BootId(args.boot.unwrap_or_else(boot_from_clock)),
        weights: WeightsVersion(args.weights),
        words: args.words,
        pace: time::Duration::from_millis(args.pace_ms),
        prefill: time::Duration::from_micros(args.prefill_us),
        cache: Pieces(args.cache),
        slots: args.slots,
        ..EngineSettings::default()
    }
}

/// A boot id that no earlier process had: Unix time in microseconds.
fn boot_from_clock() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(1, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

fn run_platform(args: &PlatformArgs) -> anyhow::Result<()> {
    let settings = PlatformSettings {
        address: args.listen,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings).context("cannot start the platform")?;
    if let Some(path) = &args.instances {
        let text =
            fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        let instances = serde_json::from_str(&text)
            .with_context(|| format!("{} is not a valid instance list", path.display()))?;
        platform.set_instances(instances);
    }
    serve(platform.address())
}

/// Blocks until SIGTERM or SIGINT while a stand-in serves at `address`.
fn serve(address: net::SocketAddr) -> anyhow::Result<()> {
    log::info!(address:% = address; "serving");
    smol::block_on(signals::terminated())?;
    Ok(())
}
