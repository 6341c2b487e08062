//! Health, readiness, state dump and drain over HTTP.
//!
//! | path | answer |
//! |---|---|
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 when it takes work, otherwise 503 and why not |
//! | `GET /dump` | the process's state as JSON, without secrets |
//! | `POST /drain` | 202; the process takes nothing new from now on |
//!
//! `/dump`, `/drain` and what a process adds ask for the admin key when there
//! is one, as `Authorization: Bearer KEY`.

use std::{io, net, sync::Arc};

use trillium::{Conn, Handler, KnownHeaderName};
use trillium_router::Router;

use crate::Secret;

/// Why a process does not take work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NotReady {
    /// No configuration is known.
    #[error("no configuration is known: {0}")]
    NoConfig(String),
    /// The process stops.
    #[error("draining, {in_flight} requests in flight")]
    Draining {
        /// Requests that are still served.
        in_flight: usize,
    },
    /// The backend server does not answer.
    #[error("the backend server does not answer")]
    NoBackend,
}

/// What a process shows of itself.
pub trait ManagedProcess: Send + Sync + 'static {
    /// Whether it takes work.
    ///
    /// # Errors
    /// [`NotReady`] says why not.
    fn ready(&self) -> Result<(), NotReady>;

    /// Its state, without secrets.
    fn dump(&self) -> serde_json::Value;

    /// Takes nothing new from now on. What is in flight goes on.
    fn drain(&self);
}

/// Settings of a [`Server`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Key that callers must have, if any.
    pub key: Option<Secret>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            key: None,
        }
    }
}

/// The admin server of a process. It stops when dropped.
pub struct Server {
    address: net::SocketAddr,
    handle: trillium_server_common::ServerHandle,
}

impl Server {
    /// Starts an admin server. `extra` answers paths that this module does not
    /// know; `()` adds none.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(
        settings: Settings,
        subject: Arc<dyn ManagedProcess>,
        extra: impl Handler,
    ) -> io::Result<Self> {
        let listener = trillium_smol::async_net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn((
                open_paths(subject.clone()),
                guard(settings.key),
                paths(subject),
                extra,
            ));
        Ok(Self { address, handle })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

fn open_paths(subject: Arc<dyn ManagedProcess>) -> impl Handler {
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let ready = subject.ready();
            async move {
                match ready {
                    Ok(()) => conn.ok("ready\n"),
                    Err(reason) => conn
                        .with_status(503)
                        .with_body(format!("{reason}\n"))
                        .halt(),
                }
            }
        })
}

fn guard(key: Option<Secret>) -> impl Handler {
    move |conn: Conn| {
        let allowed = key.as_ref().is_none_or(|key| has_key(&conn, key));
        async move {
            if allowed {
                return conn;
            }
            conn.with_status(401)
                .with_body("the admin key is missing or wrong\n")
                .halt()
        }
    }
}

fn has_key(conn: &Conn, key: &Secret) -> bool {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let guess = header.and_then(|header| header.strip_prefix("Bearer "));
    guess.is_some_and(|guess| key.matches(guess))
}

fn paths(subject: Arc<dyn ManagedProcess>) -> impl Handler {
    let drained = subject.clone();
    Router::new()
        .get("/dump", move |conn: Conn| {
            let dump = subject.dump();
            async move {
                conn.with_response_header(KnownHeaderName::ContentType, "application/json")
                    .ok(format!("{dump:#}\n"))
            }
        })
        .post("/drain", move |conn: Conn| {
            drained.drain();
            async move { conn.with_status(202).with_body("draining\n").halt() }
        })
}
