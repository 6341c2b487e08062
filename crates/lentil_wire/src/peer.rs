//! A connection that this process accepted.

use std::{future, sync::Arc};

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt as _};

use crate::{
    Exchange, Identity, WireError, codec,
    exchange::{self, Terms},
    handshake, keep_alive,
    usage::Usage,
};

/// Bytes that may be under way on one stream.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Bytes that may be under way on one connection.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Largest head of a stream, in bytes.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;
/// Streams that a client may have open on one connection.
const MAX_STREAMS: u32 = 4_096;

type Connection = h2::server::Connection<Compat<TcpStream>, bytes::Bytes>;

/// A connection that this process accepted, after the handshake.
#[derive(Debug)]
pub struct Peer {
    node: NodeName,
    connection: Connection,
    terms: Terms,
    silence: smol::Task<WireError>,
}

impl Peer {
    /// Shakes hands on a connection that a listener accepted.
    ///
    /// # Errors
    /// [`WireError`] when the client speaks another major version, does not
    /// have the fleet key or takes too long.
    pub async fn accept(stream: TcpStream, identity: &Identity) -> Result<Self, WireError> {
        exchange::within(handshake::TIMEOUT, accept(stream, identity)).await
    }

    /// Who is at the other end.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Minor version that both sides have.
    pub fn minor(&self) -> u32 {
        self.terms.minor
    }

    /// The next stream that the client opens, or `None` when it has closed the
    /// connection. Must be awaited for as long as any stream is in use: it
    /// moves their bytes.
    ///
    /// # Errors
    /// [`WireError`] when the connection broke off or the client has fallen
    /// silent.
    pub async fn next(&mut self) -> Result<Option<Exchange>, WireError> {
        let stream = next(&mut self.connection, &self.terms);
        let silence = async { Err((&mut self.silence).await) };
        smol::future::or(stream, silence).await
    }

    /// Accepts no new streams. [`Peer::next`] returns `None` when the open ones
    /// are done.
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
    let usage = Arc::new(Usage::default());
    let terms = handshake::terms(&usage);
    let mut exchange = match next(&mut connection, &terms).await? {
        Some(exchange) => exchange,
        None => return Err(WireError::StreamEnded("hello")),
    };
    // The connection moves bytes only while it is polled.
    let welcome = handshake::welcome(identity, &mut exchange);
    let pump = async {
        match next(&mut connection, &terms).await? {
            Some(_) => Err(WireError::Unexpected {
                expected: "proof",
                got: "a stream",
            }),
            None => Err(WireError::StreamEnded("proof")),
        }
    };
    let greeted = smol::future::or(welcome, pump).await?;
    let silence = match connection.ping_pong() {
        Some(pings) => smol::spawn(keep_alive::watch(pings, usage.clone())),
        None => smol::spawn(future::pending()),
    };
    let terms = Terms {
        usage,
        minor: greeted.minor,
        limit: codec::MAX_FRAME_BYTES,
    };
    Ok(Peer {
        node: greeted.node,
        connection,
        terms,
        silence,
    })
}

async fn next(connection: &mut Connection, terms: &Terms) -> Result<Option<Exchange>, WireError> {
    let Some(accepted) = connection.accept().await else {
        return Ok(None);
    };
    let (request, mut respond) = accepted?;
    let stream = respond.send_response(http::Response::new(()), false)?;
    Ok(Some(Exchange::accepted(terms, stream, request.into_body())))
}
