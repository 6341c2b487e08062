//! Plain service stand-in.

use std::{collections::BTreeMap, io, net, sync::Arc, sync::Mutex, time};

use trillium::{Conn, Status};

use crate::server::{Gate, Server};

/// Settings of a [`Plain`].
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Address to listen on; port 0 picks a free one.
    pub address: net::SocketAddr,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

#[derive(Default)]
struct Inner {
    calls: u64,
    runs: BTreeMap<String, u64>,
    delay: time::Duration,
    refusals: u32,
    lost_answers: u32,
    body: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    inner: Mutex<Inner>,
    gate: Gate,
}

impl State {
    fn with<T>(&self, use_inner: impl FnOnce(&mut Inner) -> T) -> T {
        use_inner(&mut self.inner.lock().expect("no holder panics"))
    }
}

/// Plain service stand-in: it answers every call with the number of calls that
/// it has run. Dropping it stops the server.
pub struct Plain {
    state: Arc<State>,
    server: Server,
}

impl Plain {
    /// Starts a service.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub fn start(settings: &PlainSettings) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let server = Server::start(settings.address, handler(state.clone()))?;
        Ok(Self { state, server })
    }

    /// The address it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Number of calls that it has run.
    pub fn calls(&self) -> u64 {
        self.state.with(|inner| inner.calls)
    }

    /// Number of times that it has run a call with this idempotency key.
    pub fn runs(&self, key: &str) -> u64 {
        self.state
            .with(|inner| inner.runs.get(key).copied().unwrap_or(0))
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Simulates a crash: cuts every connection and closes the listener.
    pub async fn crash(&self) {
        self.server.crash().await;
    }

    /// Listens again after [`Plain::crash`].
    ///
    /// # Errors
    /// An I/O error when another process has taken its address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops processing while connections stay open.
    pub async fn freeze(&self) {
        self.state.gate.close().await;
    }

    /// Resumes after [`Plain::freeze`].
    pub async fn thaw(&self) {
        self.state.gate.open().await;
    }

    /// Delays every answer by this much, after the call has run.
    pub fn delay_answers(&self, delay: time::Duration) {
        self.state.with(|inner| inner.delay = delay);
    }

    /// Answers the next `calls` calls with HTTP 503 without running them.
    pub fn refuse(&self, calls: u32) {
        self.state.with(|inner| inner.refusals = calls);
    }

    /// Runs the next `calls` calls but cuts the connection instead of answering.
    pub fn lose_answers(&self, calls: u32) {
        self.state.with(|inner| inner.lost_answers = calls);
    }

    /// Answers every call with this body.
    pub fn answer_with(&self, body: Vec<u8>) {
        self.state.with(|inner| inner.body = Some(body));
    }
}

fn handler(state: Arc<State>) -> impl trillium::Handler {
    move |conn: Conn| {
        let state = state.clone();
        async move {
            state.gate.pass().await;
            answer(&state, conn).await
        }
    }
}

async fn answer(state: &State, mut conn: Conn) -> Conn {
    let refuse = state.with(|inner| {
        let refuse = inner.refusals > 0;
        inner.refusals -= u32::from(refuse);
        refuse
    });
    if refuse {
        return conn.with_status(Status::ServiceUnavailable).halt();
    }
    if conn.request_body().await.read_bytes().await.is_err() {
        return conn.with_status(Status::BadRequest).halt();
    }
    let body = run(state, &conn);
    let (delay, lost) = state.with(|inner| {
        let lost = inner.lost_answers > 0;
        inner.lost_answers -= u32::from(lost);
        (inner.delay, lost)
    });
    smol::Timer::after(delay).await;
    state.gate.pass().await;
    let conn = conn.with_response_header("content-type", "application/json");
    if lost {
        return conn.ok(trillium::Body::new_streaming(AbortedBody, None));
    }
    conn.ok(body)
}

/// Runs a call and returns its answer.
fn run(state: &State, conn: &Conn) -> Vec<u8> {
    let key = conn.request_headers().get_str("idempotency-key");
    state.with(|inner| {
        inner.calls += 1;
        if let Some(key) = key {
            *inner.runs.entry(key.to_owned()).or_default() += 1;
        }
        let body = serde_json::json!({
            "method": conn.method().to_string(), "path": conn.path(), "call": inner.calls,
        });
        inner.body.clone().unwrap_or(body.to_string().into_bytes())
    })
}

/// A response body that aborts its connection.
struct AbortedBody;

impl futures_lite::AsyncRead for AbortedBody {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
        _buffer: &mut [u8],
    ) -> std::task::Poll<io::Result<usize>> {
        std::task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}
