//! The sidecar process beside one backend server.

use std::{path, sync::Arc};

use anyhow::Context as _;
use lentil_process::{admin, logs, metrics, settings, signals};
use lentil_wire::{FleetKey, Identity};

/// Run the sidecar of one backend server.
#[derive(argh::FromArgs)]
struct Args {
    /// file with the settings of this process, in TOML
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// a setting, as key=value; overrides the file and the environment
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
    let sidecar_settings = settings.sidecar()?.clone();
    let identity = Identity {
        node: settings.node.clone(),
        key,
    };
    let agent = lentil_control::start(&settings, sidecar_settings.peer, &identity).await?;
    let sidecar = lentil_sidecar::Sidecar::start(lentil_sidecar::Settings {
        listen: sidecar_settings.listen,
        backend: sidecar_settings.backend,
        kind: sidecar_settings.kind,
        identity,
        metrics: metrics::Metrics::new(&settings.metrics)?,
    });
    let sidecar = sidecar
        .await
        .with_context(|| format!("cannot listen on {}", sidecar_settings.listen))?;
    let follow_task = agent.as_ref().map(|agent| {
        let follow = lentil_sidecar::follow(sidecar.control(), agent.applied());
        smol::spawn(follow)
    });
    let record_task = agent
        .as_ref()
        .zip(settings.region.clone())
        .map(|(agent, region)| {
            let record = lentil_control::record_crashes(agent.store(), region, sidecar.crashes());
            smol::spawn(record)
        });
    let learn_task = agent.as_ref().zip(settings.region.clone());
    let learn_task = learn_task.map(|(agent, region)| {
        let learn = lentil_sidecar::learn_fencing(sidecar.control(), agent.store(), region);
        smol::spawn(learn)
    });
    let managed =
        lentil_control::with_agent_status(Arc::new(sidecar.admin_handle()), agent.as_ref());
    let admin = admin::Settings {
        listen: settings.admin,
        key: settings.admin_key.clone(),
    };
    let admin = admin::Server::start(admin, managed, ()).await?;
    log::info!(runner:% = sidecar_settings.runner, address:% = sidecar.address(), admin:% = admin.address(); "serving entries");
    signals::terminated().await?;
    sidecar.drain().await;
    drop((follow_task, record_task, learn_task));
    Ok(())
}
