//! A connection that this process accepted.

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt as _};

use crate::{Exchange, Identity, Receiver, Sender, WireError, handshake};

/// Bytes that may be under way on one stream.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes that may be under way on one connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Streams that a client may have open on one connection.
const MAX_STREAMS: u32 = 4_096;

/// A connection that this process accepted, after the handshake.
#[derive(Debug)]
pub struct Peer {
    node: NodeName,
    connection: h2::server::Connection<Compat<TcpStream>, bytes::Bytes>,
}

impl Peer {
    /// Shakes hands on a connection that a listener accepted.
    ///
    /// # Errors
    /// [`WireError`] when the client speaks another major version, does not
    /// have the fleet key or takes too long.
    pub async fn accept(stream: TcpStream, identity: &Identity) -> Result<Self, WireError> {
        stream.set_nodelay(true)?;
        let mut connection = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(stream.compat())
            .await?;
        let mut exchange = match next(&mut connection).await? {
            Some(exchange) => exchange,
            None => return Err(WireError::Ended("hello")),
        };
        // The connection moves bytes only while it is polled.
        let greeting = handshake::welcome(identity, &mut exchange);
        let pump = async {
            match next(&mut connection).await? {
                Some(_) => Err(WireError::Unexpected {
                    expected: "proof",
                    got: "a stream",
                }),
                None => Err(WireError::Ended("proof")),
            }
        };
        let node = smol::future::or(greeting, pump).await?;
        Ok(Self { node, connection })
    }

    /// Who is at the other end.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// The next stream that the client opens, or `None` when it has closed the
    /// connection. Must be awaited for as long as any stream is in use: it
    /// moves their bytes.
    ///
    /// # Errors
    /// [`WireError::H2`] when the connection broke off.
    pub async fn next(&mut self) -> Result<Option<Exchange>, WireError> {
        next(&mut self.connection).await
    }

    /// Accepts no new streams. [`Peer::next`] returns `None` when the open ones
    /// are done.
    pub fn shut_down(&mut self) {
        self.connection.graceful_shutdown();
    }
}

async fn next(
    connection: &mut h2::server::Connection<Compat<TcpStream>, bytes::Bytes>,
) -> Result<Option<Exchange>, WireError> {
    let Some(accepted) = connection.accept().await else {
        return Ok(None);
    };
    let (request, mut respond) = accepted?;
    let stream = respond.send_response(http::Response::new(()), false)?;
    let receiver = Receiver::from_stream(request.into_body());
    Ok(Some(Exchange {
        sender: Sender::new(stream),
        receiver,
    }))
}
