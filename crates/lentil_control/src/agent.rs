//! A running agent.

use std::{io, net, str, sync::Arc};

use lentil_config::Config;
use lentil_platform::{GuardedStore, InstanceList, ObjectStore};
use lentil_policy::{
    config_sync::{self, Doc, NotReady},
    store::ObjectVersion,
    store_budget,
};
use lentil_process::Clock;
use lentil_types::{BootId, ConfigVersion, PlaceName, RegionName};
use lentil_wire::Identity;
use smol::channel::Receiver;

use crate::{listener, shared::Shared, worker};

/// Settings of an [`Agent`].
#[derive(Clone)]
pub struct Settings {
    /// Where it listens for peers; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Who this process is.
    pub identity: Identity,
    /// The data centre it is in.
    pub place: PlaceName,
    /// The region whose documents it keeps.
    pub region: RegionName,
    /// Peers to ask before the instance list is known.
    pub seeds: Vec<net::SocketAddr>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Budgets of calls to the store.
    pub budget: store_budget::Settings,
}

/// A document that is in force from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedDocument {
    /// The document.
    pub doc: Doc,
    /// Its version.
    pub version: ObjectVersion,
    /// Its content.
    pub value: Arc<[u8]>,
}

/// A text in force cannot be read. Whoever applied it did not check it.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// It is not UTF-8.
    #[error("the text is not UTF-8: {0}")]
    Utf8(#[from] str::Utf8Error),
    /// It has faults.
    #[error("the text is faulty: {0}")]
    Faulty(#[from] lentil_config::Faults),
}

impl AppliedDocument {
    /// The operators' text, checked.
    ///
    /// # Errors
    /// [`ConfigError`] when it has faults.
    pub fn market(&self) -> Result<Arc<Config>, ConfigError> {
        let text = str::from_utf8(&self.value)?;
        Ok(Arc::new(Config::parse(text)?))
    }

    /// Its version, for the operators' text.
    pub fn config_version(&self) -> ConfigVersion {
        ConfigVersion(self.version.0)
    }
}

/// Keeps a process's documents up to date. It stops when dropped.
pub struct Agent {
    address: net::SocketAddr,
    applied: Receiver<AppliedDocument>,
    status: Status,
    store: Arc<GuardedStore>,
    _tasks: Vec<smol::Task<()>>,
}

/// What an agent shows of itself. Clones show the same agent.
#[derive(Clone)]
pub struct Status {
    shared: Arc<Shared>,
    store: Arc<GuardedStore>,
    clock: Clock,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = smol::net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::start();
        let shared = Arc::new(Shared::default());
        let store = Arc::new(GuardedStore::new(settings.store, settings.budget));
        let (inputs, inbox) = smol::channel::unbounded();
        let (applies, applied) = smol::channel::unbounded();
        let node = settings.identity.node.clone();
        let sync = config_sync::Settings::new(node, settings.place);
        let parts = worker::Parts {
            boot: BootId(rand::random()),
            region: settings.region,
            identity: settings.identity.clone(),
            seeds: settings.seeds,
            store: store.clone(),
            instances: settings.instances,
            shared: shared.clone(),
            clock,
            inputs: inputs.clone(),
            applies,
        };
        let work = smol::spawn(worker::run(parts, sync, inbox));
        let listen = listener::run(listener, settings.identity, inputs, clock);
        Ok(Self {
            address,
            applied,
            status: Status {
                shared,
                store: store.clone(),
                clock,
            },
            store,
            _tasks: vec![work, smol::spawn(listen)],
        })
    }

    /// Where it listens for peers.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The documents that come into force, in order of their versions.
    pub fn applied(&self) -> Receiver<AppliedDocument> {
        self.applied.clone()
    }

    /// The store behind this process's budgets and circuit breaker.
    pub fn store(&self) -> Arc<GuardedStore> {
        self.store.clone()
    }

    /// What it shows of itself.
    pub fn status(&self) -> Status {
        self.status.clone()
    }
}

impl Status {
    /// Why the process may not serve, if it may not.
    pub fn not_ready(&self) -> Option<NotReady> {
        self.shared.lock().not_ready
    }

    /// The agent's state as JSON.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let view = self.shared.lock().clone();
        let call = |tally: store_budget::Tally| {
            serde_json::json!({
                "purpose": tally.purpose.to_string(), "action": tally.action.to_string(),
                "made": tally.made, "denied": tally.denied,
            })
        };
        let calls: Vec<_> = self.store.tallies().into_iter().map(call).collect();
        let meter = |meter: lentil_policy::membership::Meter| {
            serde_json::json!({
                "bytes": meter.total().0, "bytes_per_second": meter.rate(now).round(),
            })
        };
        serde_json::json!({
            "sync": view.dump,
            "store": { "closed": self.store.is_closed(), "calls": calls },
            "sent": meter(view.sent),
            "received": meter(view.received),
        })
    }
}
