//! Entry, sidecars and stand-ins in one process.

use std::{io, net, sync::Arc};

use lentil_config::{Config, ServiceKind};
use lentil_entry::Entry;
use lentil_fakes::{Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings};
use lentil_process::metrics::Metrics;
use lentil_sidecar::{BackendKind, Sidecar};
use lentil_types::{BootId, ConfigVersion, NodeName};
use lentil_wire::{FleetKey, Identity};

/// Fleet key of a demo. It guards nothing but loopback.
const DEMO_KEY: &str = "the key of a demo on loopback";

/// A demo could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DemoError {
    /// A part could not listen.
    #[error("cannot listen: {0}")]
    Io(#[from] io::Error),
    /// The operators' text makes no node name.
    #[error(transparent)]
    Name(#[from] lentil_types::NameError),
}

/// A whole market in one process, on free loopback ports. It stops when
/// dropped.
pub struct Demo {
    entry: Entry,
    backends: Backends,
    platform: Platform,
}

/// Stand-ins and the sidecars beside them.
#[derive(Default)]
struct Backends {
    sidecars: Vec<Sidecar>,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
}

impl Demo {
    /// Starts a stand-in and a sidecar for every runner of `market`, and an
    /// entry before them.
    ///
    /// # Errors
    /// [`DemoError`] when a part cannot listen.
    pub async fn start(market: Config) -> Result<Self, DemoError> {
        Self::with_engine(market, &EngineSettings::default()).await
    }

    /// Starts a demo whose engines have these settings, but for the boot id.
    ///
    /// # Errors
    /// [`DemoError`] when a part cannot listen.
    pub async fn with_engine(
        mut market: Config,
        engine: &EngineSettings,
    ) -> Result<Self, DemoError> {
        let mut backends = Backends::default();
        for service in &mut market.services {
            for runner in &mut service.runners {
                let (backend, kind) = backends.start_backend(service.kind, engine)?;
                let settings = lentil_sidecar::Settings {
                    listen: loopback(),
                    backend,
                    kind,
                    identity: identity(&runner.name)?,
                    metrics: Metrics::local(),
                };
                let sidecar = Sidecar::start(settings).await?;
                runner.address = sidecar.address();
                backends.sidecars.push(sidecar);
            }
        }
        let market = Arc::new(market);
        for sidecar in &backends.sidecars {
            let control = sidecar.control();
            control.set_config(ConfigVersion(1), &market).await;
        }
        let platform = Platform::start(PlatformSettings::default())?;
        let store = lentil_platform::Platform::new(lentil_platform::Settings {
            address: platform.address(),
            ..lentil_platform::Settings::default()
        });
        let settings = lentil_entry::Settings {
            listen: loopback(),
            identity: identity("entry-1")?,
            place: None,
            version: ConfigVersion(1),
            config: market,
            store: Arc::new(store),
            limits: lentil_entry::Limits::default(),
            metrics: Metrics::local(),
        };
        let entry = Entry::start(settings).await?;
        Ok(Self {
            entry,
            backends,
            platform,
        })
    }

    /// Where the entry listens for callers.
    pub fn address(&self) -> net::SocketAddr {
        self.entry.address()
    }

    /// Waits until everything in flight has its answer. Nothing new is taken.
    pub async fn drain(&self) {
        self.entry.drain().await;
    }

    /// The stand-in for the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Where the engines' stand-ins listen.
    pub fn engines(&self) -> Vec<net::SocketAddr> {
        self.backends.engines.iter().map(Engine::address).collect()
    }
}

impl Backends {
    fn start_backend(
        &mut self,
        kind: ServiceKind,
        engine: &EngineSettings,
    ) -> Result<(net::SocketAddr, BackendKind), DemoError> {
        match kind {
            ServiceKind::Engine | ServiceKind::KvKeeper => {
                let boot = BootId(self.engines.len() as u64 + 1);
                let engine = Engine::start(EngineSettings {
                    boot,
                    ..engine.clone()
                })?;
                let address = engine.address();
                self.engines.push(engine);
                Ok((address, BackendKind::Engine))
            }
            ServiceKind::Plain => {
                let plain = Plain::start(&PlainSettings::default())?;
                let address = plain.address();
                self.plains.push(plain);
                Ok((address, BackendKind::Plain))
            }
        }
    }
}

fn loopback() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn identity(name: &str) -> Result<Identity, DemoError> {
    let key: FleetKey = DEMO_KEY.parse().expect("the demo's key is long enough");
    Ok(Identity {
        node: NodeName::new(name)?,
        key,
    })
}
