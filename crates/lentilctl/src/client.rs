//! HTTP client of a process's admin server.

use std::net;

use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use crate::error::CtlError;

/// Environment variable with the admin key.
const KEY_VARIABLE: &str = "LENTIL_ADMIN_KEY";

pub(crate) struct AdminClient {
    address: net::SocketAddr,
    key: Option<String>,
    client: Client,
}

impl AdminClient {
    /// `None` takes the key from `LENTIL_ADMIN_KEY`, if set.
    pub(crate) fn new(address: net::SocketAddr, key: Option<String>) -> Self {
        let key = key.or_else(|| std::env::var(KEY_VARIABLE).ok());
        Self {
            address,
            key,
            client: Client::new(ClientConfig::new()),
        }
    }

    /// Sends a request and returns the answer's body.
    pub(crate) async fn request(&self, method: &str, path: &str) -> Result<String, CtlError> {
        let mut conn = self.send(method, path).await?;
        let body = conn.response_body().read_string().await;
        body.map_err(|error| self.unreachable(&error))
    }

    /// Sends a request and returns the connection, to stream the answer. A status
    /// other than 2xx is an error.
    pub(crate) async fn send(&self, method: &str, path: &str) -> Result<Conn, CtlError> {
        let url = format!("http://{}{path}", self.address);
        let mut conn = self.client.build_conn(method, url.as_str());
        if let Some(key) = &self.key {
            let header = format!("Bearer {key}");
            conn.request_headers_mut().insert("authorization", header);
        }
        let mut conn = conn.await.map_err(|error| self.unreachable(&error))?;
        let status = conn.status().map_or(0, |status| status as u16);
        if (200..300).contains(&status) {
            return Ok(conn);
        }
        let body = conn.response_body().read_string().await.unwrap_or_default();
        let body = body.trim().to_owned();
        Err(CtlError::HttpStatus {
            address: self.address,
            status,
            body,
        })
    }

    pub(crate) fn unreachable(&self, error: &impl ToString) -> CtlError {
        CtlError::Unreachable {
            address: self.address,
            reason: error.to_string(),
        }
    }
}
