//! A connection that this process opened.

use std::{net, sync::Arc};

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt as _};

use crate::{
    Exchange, Identity, WireError, codec,
    exchange::{self, Terms},
    handshake, keep_alive, peer,
    usage::Usage,
};

type Connection = h2::client::Connection<Compat<TcpStream>>;
type Requests = h2::client::SendRequest<bytes::Bytes>;

/// A connection that this process opened, after the handshake. Clones share
/// it; it closes when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Link {
    node: NodeName,
    requests: Requests,
    terms: Terms,
}

impl Link {
    /// Connects and shakes hands.
    ///
    /// # Errors
    /// [`WireError`] when the address does not answer, speaks another major
    /// version, does not have the fleet key or takes too long.
    pub async fn connect(address: net::SocketAddr, identity: &Identity) -> Result<Self, WireError> {
        exchange::within(handshake::TIMEOUT, connect(address, identity)).await
    }

    /// Who is at the other end.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Minor version that both sides have.
    pub fn minor(&self) -> u32 {
        self.terms.minor
    }

    /// Opens a stream of messages.
    ///
    /// # Errors
    /// [`WireError::H2`] when the connection is closed. Nothing was sent.
    pub async fn open(&self) -> Result<Exchange, WireError> {
        let mut requests = self.requests.clone().ready().await?;
        open(&mut requests, &self.terms)
    }
}

async fn connect(address: net::SocketAddr, identity: &Identity) -> Result<Link, WireError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (requests, connection) = h2::client::Builder::new()
        .initial_window_size(peer::STREAM_WINDOW_BYTES)
        .initial_connection_window_size(peer::CONNECTION_WINDOW_BYTES)
        .max_header_list_size(peer::MAX_HEADER_BYTES)
        .enable_push(false)
        .handshake(stream.compat())
        .await?;
    let usage = Arc::new(Usage::default());
    smol::spawn(run(address, connection, usage.clone())).detach();
    let mut requests = requests.ready().await?;
    let mut exchange = open(&mut requests, &handshake::terms(&usage))?;
    let greeted = handshake::greet(identity, &mut exchange).await?;
    let terms = Terms {
        usage,
        minor: greeted.minor,
        limit: codec::MAX_FRAME_BYTES,
    };
    Ok(Link {
        node: greeted.node,
        requests,
        terms,
    })
}

/// Moves the connection's bytes until it ends or the peer falls silent.
async fn run(address: net::SocketAddr, mut connection: Connection, usage: Arc<Usage>) {
    let pings = connection.ping_pong();
    let silence = async {
        match pings {
            Some(pings) => Err(keep_alive::watch(pings, usage).await),
            None => smol::future::pending().await,
        }
    };
    let moving = async { connection.await.map_err(WireError::from) };
    if let Err(error) = smol::future::or(moving, silence).await {
        log::debug!("connection to {address} ended: {error}");
    }
}

fn open(requests: &mut Requests, terms: &Terms) -> Result<Exchange, WireError> {
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://lentilglade/exchange");
    let (response, stream) = requests.send_request(request, false)?;
    Ok(Exchange::opened(terms, stream, response))
}
