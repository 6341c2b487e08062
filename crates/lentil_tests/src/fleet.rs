//! A fleet in the test's own process.

use std::{fmt::Write as _, net, sync::Arc};

use lentil_config::Config;
use lentil_entry::Entry;
use lentil_fakes::{Engine, EngineSettings, Plain, PlainSettings};
use lentil_platform::InMemoryStore;
use lentil_process::metrics::Metrics;
use lentil_sidecar::{BackendKind, Sidecar};
use lentil_types::{BootId, ConfigVersion, NodeName};
use lentil_wire::Identity;

use crate::{Caller, wait};

/// Fleet key of the test processes.
pub const FLEET_KEY: &str = "the fleet key of tests on loopback";
/// The only model of the test configuration.
pub const MODEL: &str = "test-model";

/// Settings of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of engines, each with a sidecar.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Settings of every engine, except for the boot id.
    pub engine: EngineSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            engines: 2,
            entries: 1,
            engine: EngineSettings::default(),
        }
    }
}

/// Entries, sidecars and stand-ins in this process. Dropping it stops them all.
pub struct Fleet {
    /// Engine stand-ins, one per runner.
    pub engines: Vec<Engine>,
    /// The plain service stand-in.
    pub plain: Plain,
    /// Sidecars of the engines, in the same order, then that of the plain service.
    /// Taking one out and dropping it kills it.
    pub sidecars: Vec<Option<Sidecar>>,
    /// Entries. Taking one out and dropping it kills it.
    pub entries: Vec<Option<Entry>>,
}

impl Fleet {
    /// Starts everything and waits until every sidecar is ready.
    ///
    /// # Panics
    /// When a process or stand-in cannot start.
    pub async fn start(settings: FleetSettings) -> Self {
        let mut engines = Vec::new();
        let mut sidecars = Vec::new();
        for number in 0..settings.engines as u64 {
            let engine = EngineSettings {
                boot: BootId(1_000 * (number + 1)),
                ..settings.engine.clone()
            };
            let engine = Engine::start(engine).expect("an engine starts");
            sidecars.push(sidecar(engine.address(), BackendKind::Engine).await);
            engines.push(engine);
        }
        let plain = Plain::start(&PlainSettings::default()).expect("the service starts");
        sidecars.push(sidecar(plain.address(), BackendKind::Plain).await);
        let addresses: Vec<_> = sidecars.iter().map(Sidecar::address).collect();
        let text = config_text(&addresses[..settings.engines], addresses[settings.engines]);
        let config = Arc::new(Config::parse(&text).expect("the configuration is valid"));
        let store = Arc::new(InMemoryStore::new());
        let mut entries = Vec::new();
        for _ in 0..settings.entries {
            entries.push(Some(entry(config.clone(), store.clone()).await));
        }
        let fleet = Self {
            engines,
            plain,
            sidecars: sidecars.into_iter().map(Some).collect(),
            entries,
        };
        fleet.wait_ready().await;
        fleet
    }

    /// A caller of team `alpha` at an entry.
    ///
    /// # Panics
    /// When the entry was taken out.
    pub fn caller(&self, entry: usize) -> Caller {
        self.caller_of(entry, "alpha")
    }

    /// A caller of the given team at an entry.
    ///
    /// # Panics
    /// When the entry was taken out.
    pub fn caller_of(&self, entry: usize, team: &str) -> Caller {
        let entry = self.entries[entry].as_ref().expect("the entry runs");
        Caller::new(entry.address(), team)
    }

    /// Waits until an engine runs a request and returns its index.
    pub async fn busy_engine(&self) -> usize {
        let busy = || self.engines.iter().position(|engine| engine.running() > 0);
        wait::until("an engine runs the request", || busy().is_some()).await;
        busy().unwrap_or_default()
    }

    async fn wait_ready(&self) {
        use lentil_process::admin::ManagedProcess as _;
        for sidecar in self.sidecars.iter().flatten() {
            let subject = sidecar.admin_handle();
            wait::until("a sidecar is ready", || subject.ready().is_ok()).await;
        }
    }
}

async fn sidecar(backend: net::SocketAddr, kind: BackendKind) -> Sidecar {
    let settings = lentil_sidecar::Settings {
        listen: loopback(),
        backend,
        kind,
        identity: identity("sidecar"),
        metrics: Metrics::local(),
    };
    Sidecar::start(settings).await.expect("a sidecar starts")
}

async fn entry(config: Arc<Config>, store: Arc<InMemoryStore>) -> Entry {
    let settings = lentil_entry::Settings {
        listen: loopback(),
        identity: identity("entry"),
        place: None,
        version: ConfigVersion(1),
        config,
        store,
        limits: lentil_entry::Limits::default(),
        metrics: Metrics::local(),
    };
    Entry::start(settings).await.expect("an entry starts")
}

fn loopback() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The identity of a process of the test fleet.
///
/// # Panics
/// When `node` is not a valid name.
pub fn identity(node: &str) -> Identity {
    Identity {
        node: NodeName::new(node).expect("the name is valid"),
        key: FLEET_KEY.parse().expect("the key is long enough"),
    }
}

/// A configuration with a model that has one runner at each of `engines`, a plain
/// service at `plain` whose `POST /release` runs at most once, and two teams that
/// do not share a cache.
pub fn config_text(engines: &[net::SocketAddr], plain: net::SocketAddr) -> String {
    let mut runners = String::new();
    for (number, address) in engines.iter().enumerate() {
        let _ = writeln!(
            runners,
            "    {{ name = \"engine-{number}\", place = \"hall\", address = \"{address}\" }},"
        );
    }
    format!(
        r#"region = "region"

[[place]]
name = "hall"

[[model]]
name = "{MODEL}"
service = "engines"
weights = 1

[[service]]
name = "engines"
kind = "engine"
reports_load = true
runners = [
{runners}]

[[service]]
name = "desk"
kind = "plain"
once = [{{ method = "POST", path = "/release" }}]
runners = [{{ name = "desk-0", place = "hall", address = "{plain}" }}]

[[team]]
name = "alpha"
scope = "alpha"
keys = ["{ALPHA_KEY}"]

[[team]]
name = "beta"
scope = "beta"
keys = ["{BETA_KEY}"]
"#
    )
}

/// SHA-256 of the API key `demo-alpha`.
const ALPHA_KEY: &str = "5bff3ad2afa32f97bd6af0f4a9901aad72a21b9f711fb6d82e2648dbc18e8575";
/// SHA-256 of the API key `demo-beta`.
const BETA_KEY: &str = "bd8d5594aaf4c5724cf7b0890ccb59f6604028bf36873ccc0e6a1c4d5765cf0e";
