//! Accepts callers' connections, and serves the process's own HTTP ports.

use std::{cell, io, net, rc, time};

use bytes::Bytes;
use smol::net::{TcpListener, TcpStream};

use super::{Router, caller};
use crate::h1;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Longest wait for a request on an internal port.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest head of such a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Accepts callers' connections until the handover of a shutdown.
///
/// # Errors
/// An I/O error when the address cannot be bound.
pub async fn listen(
    router: rc::Rc<Router>,
    address: net::SocketAddr,
    executor: &smol::LocalExecutor<'_>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stream = match futures_lite::future::or(accepted, stop_accepting(&router)).await {
            None => break,
            Some(Ok((stream, _))) => stream,
            Some(Err(error)) => {
                log::warn!(error:%; "cannot accept a connection");
                smol::Timer::after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if router.callers.get() >= router.settings.max_callers {
            log::warn!(callers = router.callers.get(); "too many connections; closing a new one");
            continue;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!(error:%; "cannot set TCP_NODELAY on a connection");
            continue;
        }
        let guard = ConnectionCount::new(router.clone());
        let serve = caller::serve(router.clone(), stream);
        executor
            .spawn(async move {
                serve.await;
                drop(guard);
            })
            .detach();
    }
    drop(listener);
    std::future::pending().await
}

async fn stop_accepting<T>(router: &Router) -> Option<T> {
    router.idle_close().await;
    None
}

/// Counts an open connection of a caller until it is dropped.
struct ConnectionCount(rc::Rc<Router>);

impl ConnectionCount {
    fn new(router: rc::Rc<Router>) -> Self {
        router.callers.set(router.callers.get() + 1);
        Self(router)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.callers.set(self.0.callers.get() - 1);
    }
}

/// Handler of an internal HTTP port: returns status and body for a path and a query.
pub type Respond = rc::Rc<dyn Fn(&str, &str) -> (u16, Bytes)>;

/// Serves an internal HTTP port, such as for readiness checks or metrics.
///
/// # Errors
/// An I/O error when the address cannot be bound.
pub async fn serve_internal(
    address: net::SocketAddr,
    respond: Respond,
    executor: &smol::LocalExecutor<'_>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let respond = respond.clone();
                let task = async move {
                    if let Err(error) = serve_connection(stream, respond).await {
                        log::debug!(error:%; "a connection on an internal port failed");
                    }
                };
                executor.spawn(task).detach();
            }
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, respond: Respond) -> Result<(), h1::ReadError> {
    let mut connection = h1::Connection::new(stream);
    let keep_alive = cell::Cell::new(true);
    while keep_alive.get() {
        let timeout = async {
            smol::Timer::after(READ_TIMEOUT).await;
            Ok(None)
        };
        let head =
            futures_lite::future::or(connection.request_head(MAX_HEAD_BYTES), timeout).await?;
        let Some(head) = head else {
            return Ok(());
        };
        keep_alive.set(head.keep_alive);
        let (status, body) = respond(head.path(), head.query());
        let length = body.len();
        let close_field = if keep_alive.get() {
            ""
        } else {
            "Connection: close\r\n"
        };
        let mut bytes =
            format!("HTTP/1.1 {status} -\r\nContent-Length: {length}\r\n{close_field}\r\n")
                .into_bytes();
        bytes.extend_from_slice(&body);
        connection.write(&bytes).await?;
    }
    Ok(())
}
