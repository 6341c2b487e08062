//! Stand-in for a plain service.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use trillium::Conn;

/// Settings of a [`Plain`].
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// Stand-in for a plain service: it answers every call with the number of
/// calls that it ran. It stops when dropped.
pub struct Plain {
    address: net::SocketAddr,
    calls: Arc<AtomicU64>,
    handle: trillium_server_common::ServerHandle,
}

impl Plain {
    /// Starts a service.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub fn start(settings: &PlainSettings) -> std::io::Result<Self> {
        let listener = net::TcpListener::bind(settings.address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let calls = Arc::new(AtomicU64::new(0));
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(trillium_smol::async_net::TcpListener::try_from(listener)?)
            .spawn(answer(calls.clone()));
        Ok(Self {
            address,
            calls,
            handle,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls that it ran.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

fn answer(calls: Arc<AtomicU64>) -> impl trillium::Handler {
    move |mut conn: Conn| {
        let calls = calls.clone();
        async move {
            if conn.request_body_string().await.is_err() {
                return conn.with_status(400);
            }
            let number = calls.fetch_add(1, Ordering::Relaxed) + 1;
            let body = serde_json::json!({
                "method": conn.method().to_string(), "path": conn.path(), "call": number,
            });
            conn.with_response_header("content-type", "application/json")
                .ok(body.to_string())
        }
    }
}
