//! An HTTP server that can crash, restart on the same address, and freeze.

use std::{
    io, net, ops, process,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
};

use smol::{
    lock::{Mutex, RwLock, RwLockWriteGuardArc},
    net::{TcpListener, TcpStream},
};
use trillium::Handler;

type Transport = trillium_smol::SmolTransport<TcpStream>;

/// Largest request head, in bytes. A request lists its cache pieces in a header.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Ports used for port 0. They are outside the systems' ephemeral ranges, so a
/// crashed server's port stays free for its restart.
const PORTS: ops::Range<u16> = 18_000..30_000;

/// An HTTP server that simulates process faults. Dropping it stops it.
pub(crate) struct Server {
    address: net::SocketAddr,
    handler: Arc<dyn Handler>,
    accept_task: Mutex<Option<smol::Task<()>>>,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub(crate) fn start(address: net::SocketAddr, handler: impl Handler) -> io::Result<Self> {
        let listener = match address.port() {
            0 => listen_on_free_port(address.ip())?,
            _ => listen(address)?,
        };
        let address = listener.local_addr()?;
        let handler: Arc<dyn Handler> = Arc::new(handler);
        let accept_task = smol::spawn(accept(listener, handler.clone()));
        Ok(Self {
            address,
            handler,
            accept_task: Mutex::new(Some(accept_task)),
        })
    }

    /// The address it listens on.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes the listener and cuts every connection.
    pub(crate) async fn crash(&self) {
        if let Some(accept_task) = self.accept_task.lock().await.take() {
            accept_task.cancel().await;
        }
    }

    /// Listens again on the same address.
    ///
    /// # Errors
    /// An I/O error when another process has taken the address.
    pub(crate) async fn restart(&self) -> io::Result<()> {
        let mut accept_task = self.accept_task.lock().await;
        if accept_task.is_none() {
            let listener = listen(self.address)?;
            *accept_task = Some(smol::spawn(accept(listener, self.handler.clone())));
        }
        Ok(())
    }
}

fn listen(address: net::SocketAddr) -> io::Result<TcpListener> {
    smol::Async::<net::TcpListener>::bind(address).map(TcpListener::from)
}

/// Listens on a port that this process has not used before.
fn listen_on_free_port(ip: net::IpAddr) -> io::Result<TcpListener> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let start = (process::id() % u32::from(count)) as u16;
    for _ in 0..count {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % count;
        let port = PORTS.start + (start + offset) % count;
        match listen((ip, port).into()) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            other => return other,
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Serves connections. Dropping the future drops the connections too.
async fn accept(listener: TcpListener, handler: Arc<dyn Handler>) {
    let mut connections: Vec<smol::Task<()>> = Vec::new();
    loop {
        connections.retain(|task| !task.is_finished());
        match listener.accept().await {
            Ok((stream, _)) => connections.push(smol::spawn(serve(stream, handler.clone()))),
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<dyn Handler>) {
    if let Err(error) = serve_connection(stream, &handler).await {
        log::debug!("a connection failed: {error}");
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: &Arc<dyn Handler>,
) -> trillium_http::Result<()> {
    stream.set_nodelay(true)?;
    let config = trillium_http::HttpConfig::default().with_head_max_len(MAX_HEAD_BYTES);
    let respond = |conn: trillium_http::Conn<Transport>| async move {
        let conn = handler.run(trillium::Conn::from(conn)).await;
        handler.before_send(conn).await.into_inner()
    };
    let stopper = trillium_http::Stopper::new();
    let transport = Transport::from(stream);
    trillium_http::Conn::map_with_config(config, transport, stopper, respond).await?;
    Ok(())
}

/// Blocks callers of [`Gate::pass`] while it is closed.
#[derive(Default)]
pub(crate) struct Gate {
    lock: Arc<RwLock<()>>,
    closed: Mutex<Option<RwLockWriteGuardArc<()>>>,
}

impl Gate {
    /// Returns as soon as the gate is open.
    pub(crate) async fn pass(&self) {
        drop(self.lock.read().await);
    }

    /// Closes the gate; later calls of [`Gate::pass`] wait.
    pub(crate) async fn close(&self) {
        let mut closed = self.closed.lock().await;
        if closed.is_none() {
            *closed = Some(self.lock.write_arc().await);
        }
    }

    /// Opens the gate and wakes its waiters.
    pub(crate) async fn open(&self) {
        *self.closed.lock().await = None;
    }
}
