//! The sidecar process beside one backend server.

use std::{net, path};

use anyhow::Context as _;
use lentil_process::{logs, signals};
use lentil_types::NodeName;
use lentil_wire::{FleetKey, Identity};

/// Looks after one backend server.
#[derive(argh::FromArgs)]
struct Args {
    /// address for entries
    #[argh(option)]
    listen: net::SocketAddr,
    /// address of the backend server
    #[argh(option)]
    backend: net::SocketAddr,
    /// what the backend server speaks: engine or plain
    #[argh(option, default = "lentil_sidecar::BackendKind::Engine")]
    kind: lentil_sidecar::BackendKind,
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
    let key = std::fs::read_to_string(&args.fleet_key)
        .with_context(|| format!("cannot read {}", args.fleet_key.display()))?;
    let identity = Identity {
        node: args.node,
        key: key.trim().parse::<FleetKey>()?,
    };
    let settings = lentil_sidecar::Settings {
        listen: args.listen,
        backend: args.backend,
        kind: args.kind,
        identity,
    };
    let sidecar = lentil_sidecar::Sidecar::start(settings).await?;
    log::info!(address:% = sidecar.address(); "serving entries");
    signals::terminated().await?;
    Ok(())
}
