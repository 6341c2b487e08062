//! The entry process.

use std::{path, sync::Arc};

use anyhow::Context as _;
use lentil_config::Market;
use lentil_process::{admin, logs, metrics, settings, signals};
use lentil_types::ConfigVersion;
use lentil_wire::{FleetKey, Identity};

/// Takes callers' requests and gives them whole answers.
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
    let identity = Identity {
        node: settings.node.clone(),
        key,
    };
    let path = settings.text.as_ref().context("no text is set")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    let entry = lentil_entry::Entry::start(lentil_entry::Settings {
        listen: settings.entry()?.listen,
        identity,
        version: ConfigVersion(1),
        market: Arc::new(Market::parse(&text)?),
        store: Arc::new(lentil_entry::NoStore),
        limits: lentil_entry::Limits::default(),
        metrics: metrics::Metrics::new(&settings.metrics)?,
    });
    let entry = entry.await?;
    let admin = admin::Settings {
        listen: settings.admin,
        key: settings.admin_key.clone(),
    };
    let admin = admin::Server::start(admin, Arc::new(entry.subject()), ()).await?;
    log::info!(address:% = entry.address(), admin:% = admin.address(); "serving callers");
    signals::terminated().await?;
    entry.drain().await;
    Ok(())
}
