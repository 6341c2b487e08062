//! Starts the agent of a process from its settings.

use std::{io, net, sync::Arc};

use lentil_platform::Platform;
use lentil_policy::store_budget;
use lentil_process::{admin, settings};
use lentil_wire::Identity;

use crate::{Agent, Settings, WithAgentStatus};

/// An agent could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SetupError {
    /// The settings do not fit together.
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    /// It cannot listen.
    #[error("cannot listen for peers: {0}")]
    Listen(#[from] io::Error),
}

/// Starts the agent of a process that listens for peers at `listen`, or `None`
/// where its settings name no platform.
///
/// # Errors
/// [`SetupError`] when no region is set or it cannot listen.
pub async fn start(
    settings: &settings::ProcessSettings,
    listen: Option<net::SocketAddr>,
    identity: &Identity,
) -> Result<Option<Agent>, SetupError> {
    let Some(address) = settings.platform else {
        return Ok(None);
    };
    let region = settings.region.clone();
    let region = region.ok_or(settings::SettingsError::NoRegion)?;
    let platform = Arc::new(Platform::new(lentil_platform::Settings {
        address,
        ..lentil_platform::Settings::default()
    }));
    let agent = Agent::start(Settings {
        listen: listen.unwrap_or_else(any_port),
        identity: identity.clone(),
        place: settings.place.clone(),
        region,
        seeds: settings.peers.clone(),
        store: platform.clone(),
        instances: platform,
        budget: store_budget::Settings::default(),
    });
    let agent = agent.await?;
    log::info!(address:% = agent.address(), platform:% = address; "serving peers");
    Ok(Some(agent))
}

/// What the admin server shows of a process with an agent, or without one.
pub fn with_agent_status(
    inner: Arc<dyn admin::Subject>,
    agent: Option<&Agent>,
) -> Arc<dyn admin::Subject> {
    match agent {
        Some(agent) => Arc::new(WithAgentStatus::new(inner, agent.status())),
        None => inner,
    }
}

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}
