//! An entry, sidecars and stand-ins in one process.

use std::{io, net, sync::Arc};

use lentil_config::{Config, ServiceKind};
use lentil_entry::Entry;
use lentil_fakes::{Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings};
use lentil_process::metrics::Metrics;
use lentil_sidecar::{BackendKind, Sidecar};
use lentil_types::{BootId, ConfigVersion, NodeName};
use lentil_wire::{FleetKey, Identity};

/// Fleet key of a demo. It need not be secret, as a demo uses only loopback.
const DEMO_KEY: &str = "the key of a demo on loopback";

/// Why a demo could not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DemoError {
    /// A process or stand-in could not listen.
    #[error("cannot listen: {0}")]
    Io(#[from] io::Error),
    /// A runner's name in the configuration is not a valid node name.
    #[error(transparent)]
    Name(#[from] lentil_types::NameError),
}

/// All services of a configuration in one process, on free loopback ports.
/// Dropping it stops them.
pub struct Demo {
    entry: Entry,
    backends: Backends,
    platform: Platform,
}

/// Backend stand-ins and their sidecars.
#[derive(Default)]
struct Backends {
    sidecars: Vec<Sidecar>,
    engines: Vec<Engine>,
    plains: Vec<Plain>,
}

impl Demo {
    /// Starts a stand-in and a sidecar for every runner of `config`, and an entry.
    ///
    /// # Errors
    /// [`DemoError`] when a part cannot listen or a runner's name is not valid.
    pub async fn start(config: Config) -> Result<Self, DemoError> {
        Self::with_engine(config, &EngineSettings::default()).await
    }

    /// Starts a demo whose engines have these settings, except for the boot id.
    ///
    /// # Errors
    /// [`DemoError`] when a part cannot listen or a runner's name is not valid.
    pub async fn with_engine(
        mut config: Config,
        engine: &EngineSettings,
    ) -> Result<Self, DemoError> {
        let mut backends = Backends::default();
        for service in &mut config.services {
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
        let config = Arc::new(config);
        for sidecar in &backends.sidecars {
            let control = sidecar.control();
            control.set_config(ConfigVersion(1), &config).await;
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
            config,
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

    /// The address at which the entry listens for callers.
    pub fn address(&self) -> net::SocketAddr {
        self.entry.address()
    }

    /// Stops admitting requests and waits until those in flight are answered.
    pub async fn drain(&self) {
        self.entry.drain().await;
    }

    /// The platform stand-in.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The addresses of the engine stand-ins.
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
