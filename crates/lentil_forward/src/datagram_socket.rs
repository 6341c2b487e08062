//! The UDP socket of a router or an agent.

use std::{io, net, time};

use lentil_process::metrics::{Counter, Metrics};
use smol::net::UdpSocket;

use crate::datagram::Datagram;

/// IPv4 and UDP headers.
const PACKET_HEADER_BYTES: usize = 28;
/// More than one packet holds.
const RECEIVE_BYTES: usize = 2_048;

/// A UDP socket that sends and receives [`Datagram`]s.
pub(crate) struct DatagramSocket {
    socket: UdpSocket,
    metrics: Metrics,
    /// Pause after a failed read.
    retry_delay: time::Duration,
}

impl DatagramSocket {
    /// Binds the socket to `address`.
    pub(crate) async fn open(
        address: net::SocketAddr,
        metrics: Metrics,
        retry_delay: time::Duration,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            metrics,
            retry_delay,
        })
    }

    /// The next valid datagram and its sender. Invalid ones are counted and dropped.
    pub(crate) async fn receive(&self) -> (net::SocketAddr, Datagram) {
        let mut buffer = [0; RECEIVE_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((size, from)) => match Datagram::decode(&buffer[..size]) {
                    Ok(datagram) => return (from, datagram),
                    Err(error) => {
                        self.metrics.count(Counter::Strangers);
                        log::debug!(from:%, error:%; "dropped an invalid datagram");
                    }
                },
                Err(error) => {
                    log::warn!(error:%; "cannot receive a datagram");
                    smol::Timer::after(self.retry_delay).await;
                }
            }
        }
    }

    /// Returns the bytes sent, including packet headers.
    pub(crate) async fn send(&self, addresses: &[net::SocketAddr], datagram: Datagram) -> usize {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "cannot encode a datagram");
                return 0;
            }
        };
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, *address).await {
                log::debug!(address:%, error:%; "cannot send a datagram");
            }
        }
        (bytes.len() + PACKET_HEADER_BYTES) * addresses.len()
    }
}
