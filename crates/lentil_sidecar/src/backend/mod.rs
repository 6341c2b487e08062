//! Client of the backend server. `docs/engines.md` describes the protocol.

mod cache;
mod chunk;
mod engine;
mod error;
mod order;
mod plain;
mod report;
mod request;
mod sse;
mod status;

use std::{net, panic, sync::Arc, time};

use futures_lite::FutureExt as _;
use lentil_policy::{protocol, sidecar};
use lentil_types::AttemptId;
use smol::channel::Sender;

use crate::{BackendKind, driver::Input};

use error::BackendError;

pub(crate) use cache::{follow_cache, list_cache};
pub(crate) use report::Permit;
pub(crate) use status::watch;

/// Longest wait for an engine's answer to a status or cancel request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Largest answer to a cancel request, in bytes.
const MAX_CANCEL_BYTES: usize = 4 * 1024;

pub(crate) struct Backend {
    /// Reuses connections.
    pooled: trillium_client::Client,
    /// Opens a connection for each request, so that dropping the exchange closes
    /// it and a request is never sent on a dead connection.
    single: trillium_client::Client,
    base: trillium_client::Url,
    kind: BackendKind,
}

impl Backend {
    pub(crate) fn new(address: net::SocketAddr, kind: BackendKind) -> Self {
        let base = format!("http://{address}/");
        Self {
            pooled: lentil_http::client().with_default_pool(),
            single: lentil_http::client(),
            base: base.parse().expect("an address makes a URL"),
            kind,
        }
    }

    pub(crate) fn kind(&self) -> BackendKind {
        self.kind
    }

    /// URL of a constant path.
    fn url(&self, path: &str) -> trillium_client::Url {
        self.base.join(path).expect("the path is well formed")
    }

    /// Asks the engine to cancel an attempt. If that fails, the attempt's closed
    /// connection still tells it to stop.
    pub(crate) async fn cancel(&self, id: AttemptId) {
        let path = format!("requests/{}/cancel", request::engine_id(id));
        let call = async {
            let mut conn = self.pooled.post(self.url(&path)).await?;
            // Its connection is used again once the answer is read.
            let body = lentil_http::read_all(conn.response_body(), MAX_CANCEL_BYTES).await;
            body.map_err(BackendError::AnswerCut)
        };
        let call = async {
            if let Err(error) = contained(call).await {
                log::debug!(request:% = id.request; "cannot cancel a request at the engine: {error}");
            }
        };
        let timer = async {
            smol::Timer::after(ANSWER_TIMEOUT).await;
        };
        smol::future::or(call, timer).await;
    }
}

/// Makes a call to the backend server. The HTTP client panics on a status that HTTP does
/// not know.
async fn contained<T>(
    call: impl Future<Output = Result<T, BackendError>>,
) -> Result<T, BackendError> {
    let end = panic::AssertUnwindSafe(call).catch_unwind().await;
    end.unwrap_or(Err(BackendError::ClientPanicked))
}

/// Runs one request and reports its progress and result.
pub(crate) async fn run(
    backend: Arc<Backend>,
    dispatch: protocol::Dispatch,
    events: Sender<Input>,
) {
    let id = dispatch.offer.id;
    let reporter = report::Reporter::new(id, events);
    let answer = async {
        match backend.kind {
            BackendKind::Engine => engine::run(&backend, &dispatch, &reporter).await,
            BackendKind::Plain => plain::run(&backend, &dispatch, &reporter).await,
        }
    };
    let event = match contained(answer).await {
        Ok(usage) => sidecar::Event::Ended { id, usage },
        Err(error) => {
            log::warn!(request:% = id.request, attempt:% = id.attempt, team:% = dispatch.offer.work.team; "the backend server failed: {error}");
            let fault = error.fault();
            sidecar::Event::EngineFailed { id, fault }
        }
    };
    reporter.report(event).await;
}
