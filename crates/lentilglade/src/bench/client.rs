//! Sends requests and times their answers.

use std::{net, time};

use futures_lite::AsyncReadExt as _;
use lentil_config::Faults;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use super::figures::Figures;
use crate::{DemoError, cpu};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// A benchmark did not run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BenchError {
    /// The benchmark's own text has faults.
    #[error("the benchmark's text: {0}")]
    Market(Faults),
    /// A part did not start.
    #[error(transparent)]
    Demo(DemoError),
    /// A request was not answered.
    #[error("no answer: {0}")]
    Client(#[from] trillium_client::Error),
    /// An answer broke off.
    #[error("an answer broke off: {0}")]
    Io(#[from] std::io::Error),
    /// An answer was not whole.
    #[error("status {status}: {body}")]
    NotWhole {
        /// HTTP status.
        status: u16,
        /// What came.
        body: String,
    },
}

/// What requests are sent to.
#[derive(Clone)]
pub(super) struct Target {
    client: Client,
    urls: Vec<String>,
    body: String,
    ending: &'static str,
}

impl Target {
    /// The stand-ins themselves, in turns. They always stream.
    pub(super) fn engine(addresses: Vec<net::SocketAddr>) -> Self {
        Self::new(addresses, true)
    }

    /// An entry.
    pub(super) fn entry(address: net::SocketAddr, stream: bool) -> Self {
        Self::new(vec![address], stream)
    }

    fn new(addresses: Vec<net::SocketAddr>, stream: bool) -> Self {
        let client = Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool();
        let body = serde_json::json!({
            "model": "bench", "stream": stream,
            "messages": [{ "role": "user", "content": "classify lot 1" }],
        });
        let url = |address| format!("http://{address}/v1/chat/completions");
        Self {
            client,
            urls: addresses.into_iter().map(url).collect(),
            body: body.to_string(),
            ending: if stream { "[DONE]" } else { "\"usage\"" },
        }
    }

    /// Sends a caller's request with this number and waits for the whole answer.
    /// Returns the times to its first byte and to its end.
    async fn call(
        &self,
        caller: usize,
        number: usize,
    ) -> Result<(time::Duration, time::Duration), BenchError> {
        let begin = time::Instant::now();
        let url = self.urls[(caller + number) % self.urls.len()].as_str();
        let conn = self
            .client
            .post(url)
            .with_request_header("authorization", "Bearer demo-recycler-a")
            .with_request_header("x-request-id", format!("{caller}-{number}"))
            .with_body(self.body.clone());
        let mut conn = conn.await?;
        let status = conn.status().map_or(0, |status| status as u16);
        let mut body = conn.response_body();
        let mut answer = Vec::new();
        let mut first = None;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = body.read(&mut buffer).await?;
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&buffer[..read]);
            if first.is_none() && answer.windows(5).any(|part| part == b"data:") {
                first = Some(begin.elapsed());
            }
        }
        let whole = begin.elapsed();
        let answer = String::from_utf8_lossy(&answer);
        if status != 200 || !answer.contains(self.ending) {
            let body = answer.into_owned();
            return Err(BenchError::NotWhole { status, body });
        }
        Ok((first.unwrap_or(whole), whole))
    }
}

/// Sends `requests` requests, `connections` at once, at most for `limit`.
pub(super) async fn drive(
    target: &Target,
    requests: usize,
    connections: usize,
    limit: time::Duration,
) -> Result<Figures, BenchError> {
    let (begin, cpu) = (time::Instant::now(), cpu::used("self"));
    let mut figures = Figures::new();
    let each = requests.div_ceil(connections);
    let callers = (0..connections).map(|caller| {
        let call = drive_one(target.clone(), caller, each, begin + limit);
        smol::spawn(call)
    });
    for caller in callers.collect::<Vec<_>>() {
        figures.add(&caller.await?);
    }
    figures.took = begin.elapsed();
    figures.cpu = cpu::used("self").saturating_sub(cpu);
    Ok(figures)
}

async fn drive_one(
    target: Target,
    caller: usize,
    requests: usize,
    until: time::Instant,
) -> Result<Figures, BenchError> {
    let mut figures = Figures::new();
    for number in 0..requests {
        if time::Instant::now() >= until {
            break;
        }
        let (first, whole) = target.call(caller, number).await?;
        figures.record(first, whole);
    }
    Ok(figures)
}
