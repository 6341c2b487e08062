//! The sidecar process beside one backend server.

use std::{path, sync::Arc};

use anyhow::Context as _;
use lentil_process::{admin, logs, metrics, settings, signals};
use lentil_wire::{FleetKey, Identity};

/// Looks after one backend server.
#[derive(argh::FromArgs)]
struct Args {
    /// file with the settings of this process
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// a setting, as key=value; goes before the file and the environment
    #[argh(option)]
    set: Vec<String>,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let loader = settings::Loader::of_process(args.settings.as_deref(), &args.set)?;
    let settings = loader.load()?;
    logs::init(settings.log)?;
    smol::block_on(run(settings))
}

async fn run(settings: settings::ProcessSettings) -> anyhow::Result<()> {
    let key: FleetKey = settings.fleet_key()?.expose().parse()?;
    let own = settings.sidecar()?.clone();
    let identity = Identity {
        node: settings.node.clone(),
        key,
    };
    let agent = lentil_control::start(&settings, own.peer, &identity).await?;
    let sidecar = lentil_sidecar::Sidecar::start(lentil_sidecar::Settings {
        listen: own.listen,
        backend: own.backend,
        kind: own.kind,
        identity,
        metrics: metrics::Metrics::new(&settings.metrics)?,
    });
    let sidecar = sidecar
        .await
        .with_context(|| format!("cannot listen on {}", own.listen))?;
    let follow = agent.as_ref().map(|agent| {
        let follow = lentil_sidecar::follow(sidecar.control(), agent.applied());
        smol::spawn(follow)
    });
    let record = agent
        .as_ref()
        .zip(settings.region.clone())
        .map(|(agent, region)| {
            let record = lentil_control::record_crashes(agent.store(), region, sidecar.crashes());
            smol::spawn(record)
        });
    let learn = agent.as_ref().zip(settings.region.clone());
    let learn = learn.map(|(agent, region)| {
        let learn = lentil_sidecar::learn_fencing(sidecar.control(), agent.store(), region);
        smol::spawn(learn)
    });
    let subject =
        lentil_control::with_agent_status(Arc::new(sidecar.admin_handle()), agent.as_ref());
    let admin = admin::Settings {
        listen: settings.admin,
        key: settings.admin_key.clone(),
    };
    let admin = admin::Server::start(admin, subject, ()).await?;
    log::info!(runner:% = own.runner, address:% = sidecar.address(), admin:% = admin.address(); "serving entries");
    signals::terminated().await?;
    sidecar.drain().await;
    drop((follow, record, learn));
    Ok(())
}
