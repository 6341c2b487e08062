//! The entry process.

use std::{path, sync::Arc};

use anyhow::Context as _;
use lentil_config::Config;
use lentil_process::{admin, logs, metrics, settings, signals};
use lentil_types::ConfigVersion;
use lentil_wire::{FleetKey, Identity};

/// Receives callers' HTTP requests and returns complete answers.
#[derive(argh::FromArgs)]
struct Args {
    /// file with the settings of this process
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// a setting as key=value; overrides the file and the environment
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
    let identity = Identity {
        node: settings.node.clone(),
        key,
    };
    let entry_settings = settings.entry()?.clone();
    let agent = lentil_control::start(&settings, entry_settings.peer, &identity).await?;
    let (version, config) = initial_config(&settings)?;
    let entry = lentil_entry::Entry::start(lentil_entry::Settings {
        listen: entry_settings.listen,
        identity,
        place: Some(settings.place.clone()),
        version,
        config: Arc::new(config),
        store: store(agent.as_ref()),
        limits: lentil_entry::Limits::default(),
        metrics: metrics::Metrics::new(&settings.metrics)?,
    });
    let entry = entry.await?;
    let follow = agent.as_ref().map(|agent| {
        let follow = lentil_entry::follow(entry.control(), agent.applied());
        smol::spawn(follow)
    });
    let controller = agent.as_ref().zip(settings.region.clone());
    let controller = controller.map(|(agent, region)| {
        let node = settings.node.clone();
        let settings = lentil_entry::ControllerSettings::new(node, region, agent.store());
        smol::spawn(lentil_entry::control_runners(entry.control(), settings))
    });
    let process = lentil_control::with_agent_status(Arc::new(entry.admin_handle()), agent.as_ref());
    let admin = admin::Settings {
        listen: settings.admin,
        key: settings.admin_key.clone(),
    };
    let admin = admin::Server::start(admin, process, entry.trace_handler()).await?;
    log::info!(address:% = entry.address(), admin:% = admin.address(); "serving callers");
    signals::terminated().await?;
    entry.drain().await;
    drop((follow, controller));
    Ok(())
}

/// The configuration at start. A process with a platform starts with an empty one
/// and refuses every request until its agent has received another.
fn initial_config(settings: &settings::ProcessSettings) -> anyhow::Result<(ConfigVersion, Config)> {
    if settings.platform.is_some() {
        let region = settings.region.clone().context("no region is set")?;
        return Ok((ConfigVersion(0), Config::empty(region)));
    }
    let path = settings
        .text
        .as_ref()
        .context("neither a platform nor a configuration file (setting `text`) is set")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    Ok((ConfigVersion(1), Config::parse(&text)?))
}

fn store(agent: Option<&lentil_control::Agent>) -> Arc<dyn lentil_platform::ObjectStore> {
    match agent {
        Some(agent) => agent.store(),
        None => Arc::new(lentil_entry::NoStore),
    }
}
