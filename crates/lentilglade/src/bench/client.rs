//! Sends requests and measures the time to their answers.

use std::{net, time};

use futures_lite::AsyncReadExt as _;
use lentil_config::Faults;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use super::stats::RunStats;
use crate::{DemoError, cpu};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why a benchmark failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BenchError {
    /// The benchmark's own configuration is invalid.
    #[error("the benchmark's configuration is invalid: {0}")]
    Config(Faults),
    /// The demo did not start.
    #[error(transparent)]
    Demo(DemoError),
    /// A request was not answered.
    #[error("no answer: {0}")]
    Client(#[from] trillium_client::Error),
    /// The connection failed during an answer.
    #[error("the connection failed during an answer: {0}")]
    Io(#[from] std::io::Error),
    /// An answer was an error or incomplete.
    #[error("error or incomplete answer, status {status}: {body}")]
    Incomplete {
        /// HTTP status.
        status: u16,
        /// The body as received.
        body: String,
    },
}

/// The servers that requests are sent to, and the request.
#[derive(Clone)]
pub(super) struct Target {
    client: Client,
    urls: Vec<String>,
    body: String,
    /// Text that every complete answer contains.
    end_marker: &'static str,
}

impl Target {
    /// The engine stand-ins in turn. They always stream.
    pub(super) fn engine(addresses: Vec<net::SocketAddr>) -> Self {
        Self::new(addresses, true)
    }

    /// An entry, with or without streaming.
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
            end_marker: if stream { "[DONE]" } else { "\"usage\"" },
        }
    }

    /// Sends request `number` of a caller and waits for the complete answer. Returns
    /// the times to its first event and to its end.
    async fn call(
        &self,
        caller: usize,
        number: usize,
    ) -> Result<(time::Duration, time::Duration), BenchError> {
        let start = time::Instant::now();
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
        let mut first_event = None;
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let read = body.read(&mut buffer).await?;
            if read == 0 {
                break;
            }
            answer.extend_from_slice(&buffer[..read]);
            if first_event.is_none() && answer.windows(5).any(|part| part == b"data:") {
                first_event = Some(start.elapsed());
            }
        }
        let total = start.elapsed();
        let answer = String::from_utf8_lossy(&answer);
        if status != 200 || !answer.contains(self.end_marker) {
            let body = answer.into_owned();
            return Err(BenchError::Incomplete { status, body });
        }
        Ok((first_event.unwrap_or(total), total))
    }
}

/// Sends `requests` requests over `connections` concurrent callers, and stops early
/// after `limit`.
pub(super) async fn send_all(
    target: &Target,
    requests: usize,
    connections: usize,
    limit: time::Duration,
) -> Result<RunStats, BenchError> {
    let (start, cpu) = (time::Instant::now(), cpu::used("self"));
    let mut stats = RunStats::new();
    let each = requests.div_ceil(connections);
    let callers = (0..connections).map(|caller| {
        let call = send_in_sequence(target.clone(), caller, each, start + limit);
        smol::spawn(call)
    });
    for caller in callers.collect::<Vec<_>>() {
        stats.merge(&caller.await?);
    }
    stats.elapsed = start.elapsed();
    stats.cpu = cpu::used("self").saturating_sub(cpu);
    Ok(stats)
}

async fn send_in_sequence(
    target: Target,
    caller: usize,
    requests: usize,
    deadline: time::Instant,
) -> Result<RunStats, BenchError> {
    let mut stats = RunStats::new();
    for number in 0..requests {
        if time::Instant::now() >= deadline {
            break;
        }
        let (first_event, total) = target.call(caller, number).await?;
        stats.record(first_event, total);
    }
    Ok(stats)
}
