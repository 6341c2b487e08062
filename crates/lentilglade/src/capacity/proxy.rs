//! A TCP proxy that counts bytes.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Forwards connections and counts their bytes in both directions. Dropping it
/// closes the listener.
pub(super) struct Proxy {
    address: net::SocketAddr,
    bytes: Arc<AtomicU64>,
    _task: smol::Task<()>,
}

impl Proxy {
    pub(super) async fn start(to: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let bytes = Arc::new(AtomicU64::new(0));
        let count = bytes.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(forward(stream, to, count.clone())).detach();
            }
        });
        Ok(Self {
            address,
            bytes,
            _task: task,
        })
    }

    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }

    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn forward(from: TcpStream, to: net::SocketAddr, count: Arc<AtomicU64>) {
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let outgoing = copy(from.clone(), to.clone(), &count);
    let incoming = copy(to, from, &count);
    // The connection ends when either side closes it.
    let _ = smol::future::or(outgoing, incoming).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: &AtomicU64) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return Ok(());
        }
        count.fetch_add(read as u64, Ordering::Relaxed);
        to.write_all(&buffer[..read]).await?;
    }
}
