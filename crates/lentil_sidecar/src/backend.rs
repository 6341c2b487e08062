//! Talks to the backend server.

use std::{net, sync::Arc, time};

use eventsource_stream::Eventsource as _;
use futures_lite::{AsyncReadExt as _, StreamExt as _, stream};
use lentil_policy::{protocol, sidecar};
use lentil_types::{AttemptId, BootId, Pieces, Tokens, WeightsVersion};
use smol::channel::Sender;
use trillium_smol::ClientConfig;

use crate::{BackendKind, driver::Input, sidecar as shell};

/// Time between two looks at an engine's status.
const STATUS_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Bytes read at once from a backend server.
const READ_BYTES: usize = 16 * 1024;

/// The backend server.
pub(crate) struct Backend {
    client: trillium_client::Client,
    base: String,
    kind: BackendKind,
}

/// An engine's status page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
struct Status {
    boot: BootId,
    weights: WeightsVersion,
}

/// What an exchange with the backend server came to, when not an answer.
#[derive(Debug, thiserror::Error)]
enum BackendError {
    #[error("not reached: {0}")]
    Unreachable(trillium_client::Error),
    #[error("broke off: {0}")]
    BrokeOff(String),
    #[error("answered against its protocol: {0}")]
    Protocol(String),
}

impl BackendError {
    fn fault(&self) -> sidecar::EngineFault {
        match self {
            Self::Unreachable(_) => sidecar::EngineFault::Unreachable,
            Self::BrokeOff(_) => sidecar::EngineFault::BrokeOff,
            Self::Protocol(_) => sidecar::EngineFault::Protocol,
        }
    }
}

impl Backend {
    pub(crate) fn new(address: net::SocketAddr, kind: BackendKind) -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        let client = trillium_client::Client::new(config).with_default_pool();
        Self {
            client,
            base: format!("http://{address}"),
            kind,
        }
    }

    async fn status(&self) -> Option<Status> {
        if self.kind == BackendKind::Plain {
            return Some(Status {
                boot: shell::PLAIN_BOOT,
                weights: WeightsVersion(0),
            });
        }
        let mut conn = self
            .client
            .get(format!("{}/status", self.base).as_str())
            .await
            .ok()?;
        conn.response_json().await.ok()
    }
}

/// Reports the backend server's life.
pub(crate) async fn watch(backend: Arc<Backend>, events: Sender<Input>) {
    let mut last = None;
    loop {
        let status = backend.status().await;
        if status != last {
            let event = match status {
                Some(Status { boot, weights }) => sidecar::Event::EngineUp { boot, weights },
                None => sidecar::Event::EngineDown,
            };
            let _ = events.send(Input::Event(event)).await;
            last = status;
        }
        smol::Timer::after(STATUS_PERIOD).await;
    }
}

/// Runs one request and reports what comes of it.
pub(crate) async fn run(
    backend: Arc<Backend>,
    dispatch: protocol::Dispatch,
    events: Sender<Input>,
) {
    let id = dispatch.offer.id;
    let outcome = match backend.kind {
        BackendKind::Engine => run_engine(&backend, &dispatch, &events).await,
        BackendKind::Plain => run_plain(&backend, &dispatch, &events).await,
    };
    let event = match outcome {
        Ok(usage) => sidecar::Event::Ended { id, usage },
        Err(error) => {
            log::warn!(request:% = id.request; "the backend server failed: {error}");
            sidecar::Event::EngineFailed {
                id,
                fault: error.fault(),
            }
        }
    };
    report(&events, event).await;
}

async fn run_engine(
    backend: &Backend,
    dispatch: &protocol::Dispatch,
    events: &Sender<Input>,
) -> Result<protocol::Usage, BackendError> {
    let id = dispatch.offer.id;
    let mut conn = send(backend, dispatch).await?;
    report_start(events, id, &conn).await;
    let chunks = stream::unfold(conn.response_body(), |mut body| async move {
        let mut buffer = vec![0; READ_BYTES];
        match body.read(&mut buffer).await {
            Ok(0) => None,
            Ok(read) => {
                buffer.truncate(read);
                Some((Ok(buffer), body))
            }
            Err(error) => Some((Err(error), body)),
        }
    });
    let mut sse = Box::pin(chunks.eventsource());
    let mut offset = 0;
    let mut usage = protocol::Usage::default();
    while let Some(event) = sse.next().await {
        let event = event.map_err(|error| BackendError::BrokeOff(error.to_string()))?;
        if event.data == "[DONE]" {
            return Ok(usage);
        }
        let chunk: serde_json::Value = serde_json::from_str(&event.data)
            .map_err(|error| BackendError::Protocol(error.to_string()))?;
        if let Some(found) = chunk.get("usage").filter(|usage| usage.is_object()) {
            usage = usage_of(found);
        }
        let text = chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        let (text, data) = (text.to_owned(), event.data.into_bytes());
        report(
            events,
            sidecar::Event::Piece {
                id,
                offset,
                text,
                data,
            },
        )
        .await;
        offset += 1;
    }
    Err(BackendError::BrokeOff(
        "the stream ended before [DONE]".to_owned(),
    ))
}

async fn run_plain(
    backend: &Backend,
    dispatch: &protocol::Dispatch,
    events: &Sender<Input>,
) -> Result<protocol::Usage, BackendError> {
    let id = dispatch.offer.id;
    let mut conn = send(backend, dispatch).await?;
    report_start(events, id, &conn).await;
    let mut body = conn.response_body();
    let mut offset = 0;
    loop {
        let mut data = vec![0; READ_BYTES];
        let read = body.read(&mut data).await;
        let read = read.map_err(|error| BackendError::BrokeOff(error.to_string()))?;
        if read == 0 {
            return Ok(protocol::Usage::default());
        }
        data.truncate(read);
        report(
            events,
            sidecar::Event::Piece {
                id,
                offset,
                text: String::new(),
                data,
            },
        )
        .await;
        offset += 1;
    }
}

async fn send(
    backend: &Backend,
    dispatch: &protocol::Dispatch,
) -> Result<trillium_client::Conn, BackendError> {
    let call = &dispatch.call;
    let url = format!("{}{}", backend.base, call.path);
    let mut conn = backend
        .client
        .build_conn(call.method.as_str(), url.as_str());
    for header in &call.headers {
        conn.request_headers_mut()
            .insert(header.name.clone(), header.value.clone());
    }
    conn.set_request_body(call.body.to_vec());
    conn.await.map_err(|error| match error {
        trillium_client::Error::Io(ref io)
            if io.kind() == std::io::ErrorKind::ConnectionRefused =>
        {
            BackendError::Unreachable(error)
        }
        error => BackendError::BrokeOff(error.to_string()),
    })
}

async fn report_start(events: &Sender<Input>, id: AttemptId, conn: &trillium_client::Conn) {
    let status = conn.status().map_or(502, |status| status as u16);
    let content_type = conn
        .response_headers()
        .get_str("content-type")
        .unwrap_or_default();
    let header = protocol::Header {
        name: "content-type".to_owned(),
        value: content_type.to_owned(),
    };
    let (cached, headers) = (Pieces(0), vec![header]);
    report(
        events,
        sidecar::Event::Started {
            id,
            cached,
            status,
            headers,
        },
    )
    .await;
}

async fn report(events: &Sender<Input>, event: sidecar::Event) {
    // The driver is gone only when the whole process stops.
    let _ = events.send(Input::Event(event)).await;
}

fn usage_of(usage: &serde_json::Value) -> protocol::Usage {
    let tokens = |name: &str| Tokens(usage[name].as_u64().unwrap_or(0));
    protocol::Usage {
        prompt: tokens("prompt_tokens"),
        cached: Tokens(
            usage["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .unwrap_or(0),
        ),
        output: tokens("completion_tokens"),
    }
}
