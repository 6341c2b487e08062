//! One small call over HTTP/1.1, for the store, the runner beside an agent and
//! other routers.

use std::{fmt::Write as _, io, net, time};

use bytes::{BufMut as _, Bytes, BytesMut};

use crate::h1::{BodyReader, Connection, Headers, ReadError, ResponseHead};

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Fields besides the host and the length.
    pub headers: Headers,
    /// Body, a JSON text unless a field says otherwise.
    pub body: &'a [u8],
    /// Longest wait for the whole answer.
    pub timeout: time::Duration,
    /// Largest answer, in bytes.
    pub limit: usize,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            method: "GET",
            target: "/",
            headers: Headers::default(),
            body: b"",
            timeout: time::Duration::from_secs(1),
            limit: 16 << 20,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Bytes,
}

/// A call without a whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    #[error("no connection: {0}")]
    Unreached(io::Error),
    /// No answer came in time.
    #[error("no answer within {0:?}")]
    Timeout(time::Duration),
    /// The exchange broke off.
    #[error(transparent)]
    Read(#[from] ReadError),
}

impl Call<'_> {
    /// Opens a connection, makes the call and closes it.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer came.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        open: time::Duration,
    ) -> Result<Reply, CallError> {
        let connection = Connection::open(address, open).await;
        let mut connection = connection.map_err(CallError::Unreached)?;
        self.send_on(&mut connection, address).await
    }

    /// Makes the call on an open connection. After an error it must not be used
    /// again, and after an answer only if that keeps it open.
    ///
    /// # Errors
    /// [`CallError`] when no whole answer came.
    pub async fn send_on(
        &self,
        connection: &mut Connection,
        address: net::SocketAddr,
    ) -> Result<Reply, CallError> {
        let late = async {
            smol::Timer::after(self.timeout).await;
            Err(CallError::Timeout(self.timeout))
        };
        futures_lite::future::or(self.exchange(connection, address), late).await
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        address: net::SocketAddr,
    ) -> Result<Reply, CallError> {
        let bytes = self.bytes(address);
        connection.write(&bytes).await.map_err(ReadError::Broken)?;
        let head = connection.response_head().await?;
        let mut reader = BodyReader::new(head.framing);
        let body = reader.all(connection, self.limit).await?;
        Ok(Reply { head, body })
    }

    fn bytes(&self, address: net::SocketAddr) -> BytesMut {
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
