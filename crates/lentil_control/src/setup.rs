//! Starts a process's agent from its settings.

use std::{io, net, sync::Arc};

use lentil_platform::Platform;
use lentil_policy::store_budget;
use lentil_process::{admin, settings};
use lentil_wire::Identity;

use crate::{Agent, Settings, WithAgentStatus};

/// Why an agent could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SetupError {
    /// The settings of the process are incomplete.
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    /// The listener for peers could not be bound.
    #[error("cannot listen for peers: {0}")]
    Listen(#[from] io::Error),
}

/// Starts the agent of a process, without `listen` on a free loopback port. `None`
/// when the settings have no platform address.
///
/// # Errors
/// [`SetupError`] when no region is set or the listener cannot be bound.
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
    log::info!(address:% = agent.address(), platform:% = address; "listening for peers");
    Ok(Some(agent))
}

/// Adds the agent's state to `inner`, if there is an agent.
pub fn with_agent_status(
    inner: Arc<dyn admin::ManagedProcess>,
    agent: Option<&Agent>,
) -> Arc<dyn admin::ManagedProcess> {
    match agent {
        Some(agent) => Arc::new(WithAgentStatus::new(inner, agent.status())),
        None => inner,
    }
}

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}
