//! The agent: its settings, its handle and its status.

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

use crate::{listener, state::AgentState, worker};

/// Settings of an [`Agent`].
#[derive(Clone)]
pub struct Settings {
    /// Address for peers; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Name and fleet key of this process.
    pub identity: Identity,
    /// Data centre of this process.
    pub place: PlaceName,
    /// Region of the documents.
    pub region: RegionName,
    /// Peers to sync with besides the listed ones.
    pub seeds: Vec<net::SocketAddr>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Source of further peers.
    pub instances: Arc<dyn InstanceList>,
    /// Budgets and circuit breaker of store calls.
    pub budget: store_budget::Settings,
}

/// A document that came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedDocument {
    /// Kind of document.
    pub doc: Doc,
    /// Version given by the store.
    pub version: ObjectVersion,
    /// Content, as stored.
    pub value: Arc<[u8]>,
}

/// Why a configuration in force cannot be parsed. It was applied unchecked.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// It is not UTF-8.
    #[error("the configuration is not UTF-8: {0}")]
    Utf8(#[from] str::Utf8Error),
    /// It does not parse or fails its checks.
    #[error("the configuration is faulty: {0}")]
    Faulty(#[from] lentil_config::Faults),
}

impl AppliedDocument {
    /// Parses and checks the configuration document.
    ///
    /// # Errors
    /// [`ConfigError`] when it is not a valid configuration.
    pub fn market(&self) -> Result<Arc<Config>, ConfigError> {
        let text = str::from_utf8(&self.value)?;
        Ok(Arc::new(Config::parse(text)?))
    }

    /// Its version as a configuration version.
    pub fn config_version(&self) -> ConfigVersion {
        ConfigVersion(self.version.0)
    }
}

/// Keeps the documents of a process up to date. It stops when dropped.
pub struct Agent {
    address: net::SocketAddr,
    applied: Receiver<AppliedDocument>,
    status: Status,
    store: Arc<GuardedStore>,
    _tasks: Vec<smol::Task<()>>,
}

/// Handle to an agent's state, for health checks and the dump. Clones share it.
#[derive(Clone)]
pub struct Status {
    state: Arc<AgentState>,
    store: Arc<GuardedStore>,
    clock: Clock,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    /// I/O error when the listener cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = smol::net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::start();
        let state = Arc::new(AgentState::default());
        let store = Arc::new(GuardedStore::new(settings.store, settings.budget));
        let (inputs, inbox) = smol::channel::unbounded();
        let (applies, applied) = smol::channel::unbounded();
        let node = settings.identity.node.clone();
        let sync = config_sync::Settings::new(node, settings.place);
        let context = worker::Context {
            boot: BootId(rand::random()),
            region: settings.region,
            identity: settings.identity.clone(),
            seeds: settings.seeds,
            store: store.clone(),
            instances: settings.instances,
            state: state.clone(),
            clock,
            inputs: inputs.clone(),
            applies,
        };
        let work = smol::spawn(worker::run(context, sync, inbox));
        let listen = listener::run(listener, settings.identity, inputs, clock);
        Ok(Self {
            address,
            applied,
            status: Status {
                state,
                store: store.clone(),
                clock,
            },
            store,
            _tasks: vec![work, smol::spawn(listen)],
        })
    }

    /// Address for peers, with the actual port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Documents that come into force, versions of the same one in order.
    pub fn applied(&self) -> Receiver<AppliedDocument> {
        self.applied.clone()
    }

    /// Store with this process's budgets and circuit breaker.
    pub fn store(&self) -> Arc<GuardedStore> {
        self.store.clone()
    }

    /// Handle to its state.
    pub fn status(&self) -> Status {
        self.status.clone()
    }
}

impl Status {
    /// Why the process is not ready to serve; `None` when it is.
    pub fn not_ready(&self) -> Option<NotReady> {
        self.state.lock().not_ready
    }

    /// State as JSON.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let snapshot = self.state.lock().clone();
        let tally_json = |tally: store_budget::Tally| {
            serde_json::json!({
                "purpose": tally.purpose.to_string(), "action": tally.action.to_string(),
                "made": tally.made, "denied": tally.denied,
            })
        };
        let calls: Vec<_> = self.store.tallies().into_iter().map(tally_json).collect();
        let meter_json = |meter: lentil_policy::membership::Meter| {
            serde_json::json!({
                "bytes": meter.total().0, "bytes_per_second": meter.rate(now).round(),
            })
        };
        serde_json::json!({
            "sync": snapshot.dump,
            "store": { "closed": self.store.is_closed(), "calls": calls },
            "sent": meter_json(snapshot.sent),
            "received": meter_json(snapshot.received),
        })
    }
}
