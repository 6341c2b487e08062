//! Accepts callers' connections and reads their requests.

use std::{io, sync::Arc, time};

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use smol::net::{TcpListener, TcpStream};
use trillium_http::{HttpConfig, Stopper};

use crate::{
    api::Api,
    limits::Limits,
    refusal::Refusal,
    transport::{Progress, Transport},
    wait_group::{WaitGroup, WaitGroupGuard},
};

/// A caller's request.
pub(crate) type Conn = trillium_http::Conn<Transport>;

/// Delay after a connection could not be accepted, such as when the process has
/// no file descriptor left.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Initial size of the buffer for a response's head, in bytes. Small, because
/// Trillium holds back the start of a body while it fits into the same buffer.
const HEAD_BUFFER_BYTES: usize = 64;
/// Time for a caller to read its answer after the last request on a connection. Bytes that it
/// sends meanwhile are discarded.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Most bytes discarded before the connection is reset.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;
/// Maximum number of bytes discarded by one read.
const DISCARD_BYTES: usize = 16 * 1024;

/// Accepts connections. Each of them is served by a clone.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) api: Arc<Api>,
    pub(crate) limits: Limits,
    pub(crate) stopper: Stopper,
    pub(crate) connections: WaitGroup,
}

impl Server {
    /// Accepts connections until the task is dropped.
    pub(crate) async fn run(self, listener: TcpListener) {
        loop {
            self.connections.wait_below(self.limits.connections).await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let guard = self.connections.add();
                    smol::spawn(self.clone().serve(stream, guard)).detach();
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream, _guard: WaitGroupGuard) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY: {error}");
        }
        let progress = Progress::default();
        let transport = Transport::new(stream.clone(), self.limits, progress.clone());
        let config = HttpConfig::default()
            .with_head_max_len(self.limits.head_bytes)
            .with_response_buffer_len(HEAD_BUFFER_BYTES)
            .with_received_body_max_len(self.limits.body_bytes as u64);
        let result = Conn::map_with_config(config, transport, self.stopper.clone(), |conn| {
            let (api, progress) = (self.api.clone(), progress.clone());
            async move { api.handle(conn, progress).await }
        });
        match result.await {
            Ok(_) if progress.is_unread() => linger(stream, None).await,
            Ok(_) => {}
            Err(error) => {
                log::debug!("a connection failed: {error}");
                let refusal = progress.is_in_head().then(|| refusal_of(&error));
                linger(stream, refusal).await;
            }
        }
    }
}

/// Closes a connection so that its caller can still read the last response:
/// closing a socket with unread bytes would reset it.
async fn linger(mut stream: TcpStream, refusal: Option<Refusal>) {
    let final_response = async {
        if let Some(refusal) = refusal {
            stream
                .write_all(refusal.whole_response().as_bytes())
                .await?;
        }
        stream.close().await?;
        let mut buffer = [0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => discarded += read,
            }
        }
        Ok(())
    };
    let timeout = async {
        smol::Timer::after(LINGER_TIMEOUT).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    if let Err(error) = smol::future::or(final_response, timeout).await {
        log::debug!("a caller did not close its connection: {error}");
    }
}

fn refusal_of(error: &trillium_http::Error) -> Refusal {
    use trillium_http::Error;
    match error {
        Error::HeadersTooLong => Refusal::HeadTooLarge,
        Error::Httparse(parse) if parse.to_string() == "too many headers" => Refusal::HeadTooLarge,
        Error::Io(error) if error.kind() == io::ErrorKind::TimedOut => Refusal::Timeout,
        _ => Refusal::BadHead,
    }
}
