//! Connections that this process opens.

use std::{net, sync::Arc};

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt as _};

use crate::{
    Exchange, Identity, WireError, codec,
    exchange::{self, StreamContext},
    handshake, keep_alive, peer,
    usage::ConnectionUsage,
};

type Connection = h2::client::Connection<Compat<TcpStream>>;
type Requests = h2::client::SendRequest<bytes::Bytes>;

/// An authenticated connection that this process opened. Clones share it; it closes
/// when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Link {
    node: NodeName,
    requests: Requests,
    context: StreamContext,
}

impl Link {
    /// Connects and runs the handshake.
    ///
    /// # Errors
    /// [`WireError`] when the peer does not answer in time, has another major
    /// version or does not have the fleet key.
    pub async fn connect(address: net::SocketAddr, identity: &Identity) -> Result<Self, WireError> {
        exchange::with_timeout(handshake::TIMEOUT, connect(address, identity)).await
    }

    /// Name of the peer.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Lower of both sides' minor versions.
    pub fn minor(&self) -> u32 {
        self.context.minor
    }

    /// Opens a stream of messages.
    ///
    /// # Errors
    /// [`WireError::H2`] when the connection is closed; nothing was sent then.
    pub async fn open(&self) -> Result<Exchange, WireError> {
        let mut requests = self.requests.clone().ready().await?;
        open(&mut requests, &self.context)
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
    let usage = Arc::new(ConnectionUsage::default());
    smol::spawn(run(address, connection, usage.clone())).detach();
    let mut requests = requests.ready().await?;
    let mut exchange = open(&mut requests, &handshake::context(&usage))?;
    let info = handshake::run_client(identity, &mut exchange).await?;
    let context = StreamContext {
        usage,
        minor: info.minor,
        limit: codec::MAX_FRAME_BYTES,
    };
    Ok(Link {
        node: info.node,
        requests,
        context,
    })
}

/// Drives the connection's I/O until it ends or the peer stops answering pings.
async fn run(address: net::SocketAddr, mut connection: Connection, usage: Arc<ConnectionUsage>) {
    let pings = connection.ping_pong();
    let ping_failure = async {
        match pings {
            Some(pings) => Err(keep_alive::watch(pings, usage).await),
            None => smol::future::pending().await,
        }
    };
    let io = async { connection.await.map_err(WireError::from) };
    if let Err(error) = smol::future::or(io, ping_failure).await {
        log::debug!("connection to {address} ended: {error}");
    }
}

fn open(requests: &mut Requests, context: &StreamContext) -> Result<Exchange, WireError> {
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://lentilglade/exchange");
    let (response, stream) = requests.send_request(request, false)?;
    Ok(Exchange::opened(context, stream, response))
}
