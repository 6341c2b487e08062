//! HTTP client.

use std::{net, sync, time};

use crate::{
    h1::Connection,
    http_call::{Call, CallError, Reply},
};

/// Most idle connections kept. A process has as many calls to one server in flight:
/// a watch per kind of document and one more.
const MAX_IDLE: usize = 4;

/// Client of one server. Connects on first use and reuses connections.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    connect_timeout: time::Duration,
    idle: sync::Mutex<Vec<Connection>>,
}

impl Client {
    /// A client of the server at `address`; `connect_timeout` limits each connect.
    pub fn new(address: net::SocketAddr, connect_timeout: time::Duration) -> Self {
        Self {
            address,
            connect_timeout,
            idle: sync::Mutex::default(),
        }
    }

    /// Makes a call on an idle or a new connection.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer arrived.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, CallError> {
        let mut connection = self.connect().await?;
        let result = call.send_on(&mut connection, self.address).await;
        if result.is_err() {
            // Idle connections may be as dead as this one, and a dead one is found only
            // after the whole timeout.
            self.close_idle();
        }
        let reply = result?;
        if reply.head.keep_alive && connection.buffered() == 0 {
            self.keep(connection);
        }
        Ok(reply)
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        loop {
            let idle = self.lock().pop();
            let Some(mut idle) = idle else {
                break;
            };
            if idle.is_idle().await {
                return Ok(idle);
            }
        }
        let connection = Connection::open(self.address, self.connect_timeout).await;
        connection.map_err(CallError::Unreached)
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Connection>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
