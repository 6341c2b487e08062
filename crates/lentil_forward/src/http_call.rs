//! Small HTTP/1.1 calls to the store, runners and other routers.

use std::{fmt::Write as _, io, net, sync, time};

use bytes::{BufMut as _, Bytes, BytesMut};

use crate::{
    byte_budget::ByteBudget,
    h1::{BodyReader, Connection, Headers, ReadError, ResponseHead},
};

/// A request with its limits.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Header fields besides `Host`, `Content-Type` and `Content-Length`.
    pub headers: Headers,
    /// JSON body; empty means none.
    pub body: &'a [u8],
    /// Longest wait for the whole answer.
    pub timeout: time::Duration,
    /// Largest answer body, in bytes.
    pub limit: usize,
    /// What the bodies of several calls take together until they are whole.
    pub budget: Option<sync::Arc<ByteBudget>>,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            method: "GET",
            target: "/",
            headers: Headers::default(),
            body: b"",
            timeout: time::Duration::from_secs(1),
            limit: 1 << 20,
            budget: None,
        }
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status and header fields.
    pub head: ResponseHead,
    /// The whole body.
    pub body: Bytes,
}

/// Why no whole answer arrived.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection: {0}")]
    Unreached(io::Error),
    /// No whole answer arrived within this time.
    #[error("no answer within {limit:?}, {received} bytes received")]
    Timeout {
        /// The limit.
        limit: time::Duration,
        /// Bytes of the answer that had arrived.
        received: u64,
    },
    /// The exchange failed on an open connection.
    #[error(transparent)]
    Read(#[from] ReadError),
}

impl Call<'_> {
    /// Opens a connection, makes the call and closes it.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer arrived.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        connect_timeout: time::Duration,
    ) -> Result<Reply, CallError> {
        let connection = Connection::open(address, connect_timeout).await;
        let mut connection = connection.map_err(CallError::Unreached)?;
        self.send_on(&mut connection, address).await
    }

    /// Makes the call on an open connection. Reuse it only after an answer, and
    /// only if its head has `keep_alive`.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer arrived.
    pub async fn send_on(
        &self,
        connection: &mut Connection,
        address: net::SocketAddr,
    ) -> Result<Reply, CallError> {
        let before = connection.received();
        let timeout = async {
            smol::Timer::after(self.timeout).await;
            None
        };
        let exchange = async { Some(self.exchange(connection, address).await) };
        let result = futures_lite::future::or(exchange, timeout).await;
        result.unwrap_or_else(|| {
            Err(CallError::Timeout {
                limit: self.timeout,
                received: connection.received() - before,
            })
        })
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        address: net::SocketAddr,
    ) -> Result<Reply, CallError> {
        let bytes = self.encode(address);
        connection.write(&bytes).await.map_err(ReadError::Broken)?;
        let head = connection.response_head(self.method).await?;
        let mut reader = BodyReader::new(head.framing);
        let mut reserved = self.budget.as_ref().map(ByteBudget::reservation);
        let reserve = |bytes| {
            reserved
                .as_mut()
                .is_none_or(|reserved| reserved.grow(bytes))
        };
        let body = reader.all_within(connection, self.limit, reserve).await?;
        Ok(Reply { head, body })
    }

    fn encode(&self, address: net::SocketAddr) -> BytesMut {
        let mut bytes = BytesMut::with_capacity(256 + self.body.len());
        let Self { method, target, .. } = self;
        // Writing into memory cannot fail.
        let _ = write!(bytes, "{method} {target} HTTP/1.1\r\nHost: {address}\r\n");
        self.headers.write(&mut bytes);
        if !self.body.is_empty() {
            let length = self.body.len();
            let _ = write!(
                bytes,
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            );
        }
        bytes.put_slice(b"\r\n");
        bytes.put_slice(self.body);
        bytes
    }
}
