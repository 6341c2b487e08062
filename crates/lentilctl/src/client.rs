//! HTTP client of a process's admin server.

use std::net;

use trillium_client::{Client, Conn};

use crate::error::CtlError;

/// Largest answer, in bytes: a state dump of ten thousand instances.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Largest text of an error, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;
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
            client: lentil_http::client(),
        }
    }

    /// Sends a request and returns the answer's body.
    pub(crate) async fn request(&self, method: &str, path: &str) -> Result<String, CtlError> {
        let mut conn = self.send(method, path).await?;
        self.text(&mut conn, MAX_BODY_BYTES).await
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
        let body = self.text(&mut conn, MAX_ERROR_BYTES).await;
        let body = body.unwrap_or_default().trim().to_owned();
        Err(CtlError::HttpStatus {
            address: self.address,
            status,
            body,
        })
    }

    async fn text(&self, conn: &mut Conn, limit: usize) -> Result<String, CtlError> {
        let body = lentil_http::read_all(conn.response_body(), limit).await;
        let body = body.map_err(|error| self.unreachable(&error))?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    pub(crate) fn unreachable(&self, error: &impl ToString) -> CtlError {
        CtlError::Unreachable {
            address: self.address,
            reason: error.to_string(),
        }
    }
}
