//! A running sidecar.

use std::{io, net, sync::Arc};

use lentil_types::BootId;
use lentil_wire::Identity;

use crate::{backend, driver, service};

/// What a backend server speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum BackendKind {
    /// The OpenAI API, with a status page.
    #[default]
    Engine,
    /// Ordinary HTTP.
    Plain,
}

/// Settings of a [`Sidecar`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens for entries; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Where its backend server listens.
    pub backend: net::SocketAddr,
    /// What the backend server speaks.
    pub kind: BackendKind,
    /// Who this process is.
    pub identity: Identity,
}

/// A running sidecar. It stops when dropped.
pub struct Sidecar {
    address: net::SocketAddr,
    _tasks: Vec<smol::Task<()>>,
}

impl Sidecar {
    /// Starts a sidecar.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = smol::net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let (events, inbox) = smol::channel::unbounded();
        let backend = Arc::new(backend::Backend::new(settings.backend, settings.kind));
        let watch = backend::watch(backend.clone(), events.clone());
        let drive = driver::run(backend, inbox, events.clone());
        let serve = service::run(listener, settings.identity, events);
        let tasks = vec![smol::spawn(drive), smol::spawn(watch), smol::spawn(serve)];
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

/// Life of a plain backend server, which does not tell its own.
pub(crate) const PLAIN_BOOT: BootId = BootId(1);
