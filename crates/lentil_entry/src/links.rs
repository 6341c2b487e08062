//! Connections to sidecars, opened when first needed.

use std::{
    net,
    sync::{Arc, RwLock},
};

use lentil_config::Config;
use lentil_types::{RunnerName, Table};
use lentil_wire::{Exchange, Identity, Link, WireError};
use smol::channel::Sender;

use crate::{driver::Input, watch};

/// One runner's address, and its connection once it is open.
struct Slot {
    address: net::SocketAddr,
    link: smol::lock::Mutex<Option<Watched>>,
}

/// A connection and the task that receives the sidecar's crash notices on it.
struct Watched {
    link: Link,
    _watch: smol::Task<()>,
}

type Slots = Table<RunnerName, Arc<Slot>>;

/// Connections to the sidecars of all runners.
pub(crate) struct Links {
    identity: Identity,
    slots: RwLock<Arc<Slots>>,
    /// Receives the sidecars' crash notices.
    inputs: Sender<Input>,
}

impl Links {
    pub(crate) fn new(identity: Identity, config: &Config, inputs: Sender<Input>) -> Self {
        let slots = Arc::new(next_slots(&Slots::new(), config));
        Self {
            identity,
            slots: RwLock::new(slots),
            inputs,
        }
    }

    /// Applies the runners of a new configuration. Those that keep their address keep
    /// their connection; exchanges in flight continue in any case.
    pub(crate) fn update(&self, config: &Config) {
        let next = Arc::new(next_slots(&self.slots(), config));
        *self
            .slots
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = next;
    }

    /// Opens an exchange with a runner's sidecar. On an error nothing of the
    /// request has left this process.
    pub(crate) async fn open(&self, runner: &RunnerName) -> Result<Exchange, WireError> {
        let slot = self.slots().get(runner).cloned();
        let slot = slot.ok_or(WireError::StreamEnded("a configured runner"))?;
        let mut link = slot.link.lock().await;
        if let Some(open) = &*link {
            match open.link.open().await {
                Ok(exchange) => return Ok(exchange),
                Err(error) => log::debug!(runner:% = runner; "reconnecting: {error}"),
            }
        }
        let fresh = Link::connect(slot.address, &self.identity).await?;
        let exchange = fresh.open().await?;
        let watch = watch::run(fresh.clone(), runner.clone(), self.inputs.clone());
        *link = Some(Watched {
            link: fresh,
            _watch: smol::spawn(watch),
        });
        Ok(exchange)
    }

    fn slots(&self) -> Arc<Slots> {
        let slots = self.slots.read();
        slots
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }
}

fn next_slots(previous: &Slots, config: &Config) -> Slots {
    let runners = config.services.iter().flat_map(|service| &service.runners);
    let slot = |runner: &lentil_config::Runner| {
        let existing = previous
            .get(&runner.name)
            .filter(|slot| slot.address == runner.address);
        let slot = existing.cloned().unwrap_or_else(|| {
            Arc::new(Slot {
                address: runner.address,
                link: smol::lock::Mutex::new(None),
            })
        });
        (runner.name.clone(), slot)
    };
    runners.map(slot).collect()
}
