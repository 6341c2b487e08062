//! Health, readiness, state dump and drain over HTTP.
//!
//! | path | answer |
//! |---|---|
//! | `GET /healthz` | 200 while the process runs |
//! | `GET /readyz` | 200 when it takes requests, otherwise 503 and the reason |
//! | `GET /dump` | state as JSON, without secrets |
//! | `POST /drain` | 202; takes no new requests from now on |
//!
//! `/dump`, `/drain` and added paths require the admin key, if one is set, as
//! `Authorization: Bearer KEY`.

use std::{io, net, sync::Arc};

use trillium::{Conn, Handler, KnownHeaderName};
use trillium_router::Router;

use crate::Secret;

/// Why a process takes no requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NotReady {
    /// No configuration yet; holds the reason.
    #[error("no configuration is known: {0}")]
    NoConfig(String),
    /// Shutting down.
    #[error("draining, {in_flight} requests in flight")]
    Draining {
        /// Requests still in flight.
        in_flight: usize,
    },
    /// The backend server does not answer.
    #[error("the backend server does not answer")]
    NoBackend,
}

/// A process that an admin server inspects and drains.
pub trait ManagedProcess: Send + Sync + 'static {
    /// Whether it takes requests.
    ///
    /// # Errors
    /// [`NotReady`] with the reason.
    fn ready(&self) -> Result<(), NotReady>;

    /// Its state for `/dump`, without secrets.
    fn dump(&self) -> serde_json::Value;

    /// Stops taking requests; those in flight continue.
    fn drain(&self);
}

/// Settings of a [`Server`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Key that callers need; `None` leaves the server open.
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
    /// Starts an admin server. `extra` adds paths behind the key; `()` adds none.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(
        settings: Settings,
        process: Arc<dyn ManagedProcess>,
        extra: impl Handler,
    ) -> io::Result<Self> {
        let listener = trillium_smol::async_net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn((
                close_unread,
                public_routes(process.clone()),
                require_key(settings.key),
                protected_routes(process),
                extra,
            ));
        Ok(Self { address, handle })
    }

    /// Bound address, with the actual port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

/// Closes the connection of a request with a body, which no path reads: what is left of it would
/// be read before the next request, without a limit.
async fn close_unread(conn: Conn) -> Conn {
    let headers = conn.request_headers();
    let length = headers.get_str(KnownHeaderName::ContentLength);
    let is_empty = length.is_none_or(|length| length.trim() == "0");
    if is_empty && !headers.has_header(KnownHeaderName::TransferEncoding) {
        return conn;
    }
    conn.with_response_header(KnownHeaderName::Connection, "close")
}

fn public_routes(process: Arc<dyn ManagedProcess>) -> impl Handler {
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/readyz", move |conn: Conn| {
            let ready = process.ready();
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

fn require_key(key: Option<Secret>) -> impl Handler {
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
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    token.is_some_and(|token| key.matches(token))
}

fn protected_routes(process: Arc<dyn ManagedProcess>) -> impl Handler {
    let drain_target = process.clone();
    Router::new()
        .get("/dump", move |conn: Conn| {
            let dump = process.dump();
            async move {
                conn.with_response_header(KnownHeaderName::ContentType, "application/json")
                    .ok(format!("{dump:#}\n"))
            }
        })
        .post("/drain", move |conn: Conn| {
            drain_target.drain();
            async move { conn.with_status(202).with_body("draining\n").halt() }
        })
}
