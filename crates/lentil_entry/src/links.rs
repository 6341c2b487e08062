//! Connections to sidecars, opened when first needed.

use std::{net, sync::Arc};

use lentil_config::Market;
use lentil_types::{RunnerName, Table};
use lentil_wire::{Exchange, Identity, Link, WireError};

/// One runner's address and its connection, when there is one.
struct Slot {
    address: net::SocketAddr,
    link: smol::lock::Mutex<Option<Link>>,
}

/// Connections to sidecars.
pub(crate) struct Links {
    identity: Identity,
    slots: Table<RunnerName, Arc<Slot>>,
}

impl Links {
    pub(crate) fn new(identity: Identity, market: &Market) -> Self {
        let runners = market.services.iter().flat_map(|service| &service.runners);
        let slot = |runner: &lentil_config::Runner| {
            let slot = Slot {
                address: runner.address,
                link: smol::lock::Mutex::new(None),
            };
            (runner.name.clone(), Arc::new(slot))
        };
        Self {
            identity,
            slots: runners.map(slot).collect(),
        }
    }

    /// Opens an exchange with a runner's sidecar. On an error nothing of the
    /// request has left this process.
    pub(crate) async fn open(&self, runner: &RunnerName) -> Result<Exchange, WireError> {
        let Some(slot) = self.slots.get(runner) else {
            return Err(WireError::Ended("a known runner"));
        };
        let mut link = slot.link.lock().await;
        if let Some(open) = &*link {
            match open.open().await {
                Ok(exchange) => return Ok(exchange),
                Err(error) => log::debug!(runner:% = runner; "reconnecting: {error}"),
            }
        }
        let fresh = Link::connect(slot.address, &self.identity).await?;
        let exchange = fresh.open().await?;
        *link = Some(fresh);
        Ok(exchange)
    }
}
