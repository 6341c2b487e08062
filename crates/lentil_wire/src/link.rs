//! A connection that this process opened.

use std::net;

use lentil_types::NodeName;
use smol::net::TcpStream;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::{Exchange, Identity, Receiver, Sender, WireError, handshake, peer};

/// A connection that this process opened, after the handshake. Clones share
/// it; it closes when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Link {
    node: NodeName,
    requests: h2::client::SendRequest<bytes::Bytes>,
}

impl Link {
    /// Connects and shakes hands.
    ///
    /// # Errors
    /// [`WireError`] when the address does not answer, speaks another major
    /// version or does not have the fleet key.
    pub async fn connect(address: net::SocketAddr, identity: &Identity) -> Result<Self, WireError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (requests, connection) = h2::client::Builder::new()
            .initial_window_size(peer::STREAM_WINDOW_BYTES)
            .initial_connection_window_size(peer::CONNECTION_WINDOW_BYTES)
            .handshake(stream.compat())
            .await?;
        smol::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        })
        .detach();
        let mut requests = requests.ready().await?;
        let mut exchange = open(&mut requests)?;
        let node = handshake::greet(identity, &mut exchange).await?;
        Ok(Self { node, requests })
    }

    /// Who is at the other end.
    pub fn node(&self) -> &NodeName {
        &self.node
    }

    /// Opens a stream of messages.
    ///
    /// # Errors
    /// [`WireError::H2`] when the connection is closed. Nothing was sent.
    pub async fn open(&self) -> Result<Exchange, WireError> {
        let mut requests = self.requests.clone().ready().await?;
        open(&mut requests)
    }
}

fn open(requests: &mut h2::client::SendRequest<bytes::Bytes>) -> Result<Exchange, WireError> {
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://lentilglade/exchange");
    let (response, stream) = requests.send_request(request, false)?;
    Ok(Exchange {
        sender: Sender::new(stream),
        receiver: Receiver::from_response(response),
    })
}
