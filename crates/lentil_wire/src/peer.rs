//! Connections that this process accepts.

use std::{future, sync::Arc};

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt as _};

use crate::{
    Exchange, Identity, WireError, codec,
    exchange::{self, StreamContext},
    handshake, keep_alive,
    usage::ConnectionUsage,
};

/// Flow-control window of a stream, in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of a connection, in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Largest header list of a stream, in bytes.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;
/// Streams that one connection may have open.
const MAX_STREAMS: u32 = 4_096;

type Connection = h2::server::Connection<Compat<TcpStream>, bytes::Bytes>;

/// An authenticated connection that this process accepted.
#[derive(Debug)]
pub struct Peer {
    node: NodeName,
    connection: Connection,
    context: StreamContext,
    ping_failure: smol::Task<WireError>,
}

impl Peer {
    /// Runs the handshake on a connection that a listener accepted.
    ///
    /// # Errors
    /// [`WireError`] when the client has another major version, does not have the
    /// fleet key or takes too long.
    pub async fn accept(stream: TcpStream, identity: &Identity) -> Result<Self, WireError> {
        exchange::with_timeout(handshake::TIMEOUT, accept(stream, identity)).await
    }

    /// Name of the client.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Lower of both sides' minor versions.
    pub fn minor(&self) -> u32 {
        self.context.minor
    }

    /// Accepts the client's next stream; `None` when the client closed the
    /// connection. Must be polled while any stream is in use: it drives the
    /// connection's I/O.
    ///
    /// # Errors
    /// [`WireError`] when the connection broke off or the client stopped answering
    /// pings.
    pub async fn next(&mut self) -> Result<Option<Exchange>, WireError> {
        let stream = next(&mut self.connection, &self.context);
        let ping_failure = async { Err((&mut self.ping_failure).await) };
        smol::future::or(stream, ping_failure).await
    }

    /// Accepts no new streams; [`Peer::next`] returns `None` when the open ones have
    /// ended.
    pub fn shut_down(&mut self) {
        self.connection.graceful_shutdown();
    }
}

async fn accept(stream: TcpStream, identity: &Identity) -> Result<Peer, WireError> {
    stream.set_nodelay(true)?;
    let mut connection: Connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(stream.compat())
        .await?;
    let usage = Arc::new(ConnectionUsage::default());
    let context = handshake::context(&usage);
    let mut exchange = match next(&mut connection, &context).await? {
        Some(exchange) => exchange,
        None => return Err(WireError::StreamEnded("hello")),
    };
    // The connection does I/O only while it is polled.
    let handshake = handshake::run_server(identity, &mut exchange);
    let drive_io = async {
        match next(&mut connection, &context).await? {
            Some(_) => Err(WireError::Unexpected {
                expected: "proof",
                got: "a stream",
            }),
            None => Err(WireError::StreamEnded("proof")),
        }
    };
    let info = smol::future::or(handshake, drive_io).await?;
    let ping_failure = match connection.ping_pong() {
        Some(pings) => smol::spawn(keep_alive::watch(pings, usage.clone())),
        None => smol::spawn(future::pending()),
    };
    let context = StreamContext {
        usage,
        minor: info.minor,
        limit: codec::MAX_FRAME_BYTES,
    };
    Ok(Peer {
        node: info.node,
        connection,
        context,
        ping_failure,
    })
}

async fn next(
    connection: &mut Connection,
    context: &StreamContext,
) -> Result<Option<Exchange>, WireError> {
    let Some(accepted) = connection.accept().await else {
        return Ok(None);
    };
    let (request, mut respond) = accepted?;
    let stream = respond.send_response(http::Response::new(()), false)?;
    Ok(Some(Exchange::accepted(
        context,
        stream,
        request.into_body(),
    )))
}
