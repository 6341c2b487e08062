//! Connections of the client.

use std::{
    io, net,
    pin::Pin,
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use trillium_client::Client;
use trillium_server_common::{Connector, Transport, Url, async_trait};
use trillium_smol::ClientConfig;

use crate::framing;

type TcpTransport = <ClientConfig as Connector>::Transport;

/// A client without a pool, whose bodies are read by [`crate::Body`] or [`crate::read_all`].
/// A connection whose answer was not read to its end is closed.
pub fn client() -> Client {
    Client::new(GuardedConnector(ClientConfig::new().with_nodelay(true)))
}

/// Opens connections that keep to the limit on framing.
struct GuardedConnector(ClientConfig);

#[async_trait]
impl Connector for GuardedConnector {
    type Transport = GuardedTransport;

    async fn connect(&self, url: &Url) -> io::Result<GuardedTransport> {
        self.0.connect(url).await.map(GuardedTransport)
    }

    /// The client would read the rest of an answer to use its connection again. A rest
    /// without end would be read for ever, so the connection is closed.
    fn spawn<Fut: Future<Output = ()> + Send + 'static>(&self, rest: Fut) {
        drop(rest);
    }
}

/// A connection that keeps to the limit on framing.
struct GuardedTransport(TcpTransport);

impl AsyncRead for GuardedTransport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        framing::check()?;
        let result = Pin::new(&mut self.0).poll_read(context, buffer);
        if let Poll::Ready(Ok(read)) = result {
            framing::on_read(read);
        }
        result
    }
}

impl AsyncWrite for GuardedTransport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(context)
    }
}

impl Transport for GuardedTransport {
    fn peer_addr(&self) -> io::Result<Option<net::SocketAddr>> {
        self.0.peer_addr()
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.0.set_ip_ttl(ttl)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.0.set_nodelay(nodelay)
    }
}
