//! The entry process.

use std::{net, path};

use anyhow::Context as _;
use lentil_process::{logs, signals};
use lentil_types::NodeName;
use lentil_wire::{FleetKey, Identity};

/// Takes callers' requests and gives them whole answers.
#[derive(argh::FromArgs)]
struct Args {
    /// address for callers
    #[argh(option)]
    listen: net::SocketAddr,
    /// file with the operators' text
    #[argh(option)]
    market: path::PathBuf,
    /// name of this process
    #[argh(option)]
    node: NodeName,
    /// file with the fleet key
    #[argh(option)]
    fleet_key: path::PathBuf,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    logs::init(logs::Settings::default())?;
    smol::block_on(run(args))
}

async fn run(args: Args) -> anyhow::Result<()> {
    let read = |path: &path::Path| {
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
    };
    let market = lentil_config::Market::parse(&read(&args.market)?)?;
    let key: FleetKey = read(&args.fleet_key)?.trim().parse()?;
    let identity = Identity {
        node: args.node,
        key,
    };
    let settings = lentil_entry::Settings {
        listen: args.listen,
        identity,
        market,
    };
    let entry = lentil_entry::Entry::start(settings).await?;
    log::info!(address:% = entry.address(); "serving callers");
    signals::terminated().await?;
    Ok(())
}
