//! Asks a process's admin server.

use std::net;

use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use crate::error::CtlError;

/// Environment variable with the admin key.
const KEY_VARIABLE: &str = "LENTIL_ADMIN_KEY";

/// Asks one admin server.
pub(crate) struct AdminClient {
    address: net::SocketAddr,
    key: Option<String>,
    client: Client,
}

impl AdminClient {
    /// A client of the admin server at `address`. Without a key it takes the one
    /// from the environment.
    pub(crate) fn new(address: net::SocketAddr, key: Option<String>) -> Self {
        let key = key.or_else(|| std::env::var(KEY_VARIABLE).ok());
        Self {
            address,
            key,
            client: Client::new(ClientConfig::new()),
        }
    }

    /// Sends a request and returns the answer's body.
    pub(crate) async fn ask(&self, method: &str, path: &str) -> Result<String, CtlError> {
        let mut conn = self.open(method, path).await?;
        let body = conn.response_body().read_string().await;
        body.map_err(|error| self.unreached(&error))
    }

    /// Sends a request and returns the connection, to read the answer as it
    /// comes.
    pub(crate) async fn open(&self, method: &str, path: &str) -> Result<Conn, CtlError> {
        let url = format!("http://{}{path}", self.address);
        let mut conn = self.client.build_conn(method, url.as_str());
        if let Some(key) = &self.key {
            let header = format!("Bearer {key}");
            conn.request_headers_mut().insert("authorization", header);
        }
        let mut conn = conn.await.map_err(|error| self.unreached(&error))?;
        let status = conn.status().map_or(0, |status| status as u16);
        if (200..300).contains(&status) {
            return Ok(conn);
        }
        let body = conn.response_body().read_string().await.unwrap_or_default();
        let body = body.trim().to_owned();
        Err(CtlError::Refused {
            address: self.address,
            status,
            body,
        })
    }

    pub(crate) fn unreached(&self, error: &impl ToString) -> CtlError {
        CtlError::Unreached {
            address: self.address,
            reason: error.to_string(),
        }
    }
}
