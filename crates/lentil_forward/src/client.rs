//! A server that is called again and again.

use std::{net, sync, time};

use crate::{
    h1::Connection,
    http_call::{Call, CallError, Reply},
};

/// Most idle connections that are kept: calls of one process to one server that
/// are under way at a time, which are a watch for each kind of document and one
/// more.
const MAX_IDLE: usize = 4;

/// Client of one server. It connects when it is first used, and keeps its
/// connections.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    /// Longest wait for a connection.
    open: time::Duration,
    idle: sync::Mutex<Vec<Connection>>,
}

impl Client {
    /// A client of the server at `address`, which waits at most `open` for a
    /// connection.
    pub fn new(address: net::SocketAddr, open: time::Duration) -> Self {
        Self {
            address,
            open,
            idle: sync::Mutex::default(),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer came.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, CallError> {
        let mut connection = self.connect().await?;
        let reply = call.send_on(&mut connection, self.address).await?;
        if reply.head.keep_alive && connection.buffered() == 0 {
            self.keep(connection);
        }
        Ok(reply)
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
        let connection = Connection::open(self.address, self.open).await;
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
