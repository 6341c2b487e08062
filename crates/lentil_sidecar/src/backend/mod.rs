//! Talks to the backend server. `docs/engines.md` gives the protocol.

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
use trillium_smol::ClientConfig;

use crate::{BackendKind, driver::Input};

use error::BackendError;

pub(crate) use cache::{follow_cache, list_cache};
pub(crate) use report::Permit;
pub(crate) use status::watch;

/// Longest wait for an engine's answer about itself.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(1);

/// The backend server.
pub(crate) struct Backend {
    /// Keeps connections open between requests.
    pooled: trillium_client::Client,
    /// Opens a connection for each request, so that dropping the exchange
    /// closes it and a request is never sent on a connection that has died.
    single: trillium_client::Client,
    base: trillium_client::Url,
    kind: BackendKind,
}

impl Backend {
    pub(crate) fn new(address: net::SocketAddr, kind: BackendKind) -> Self {
        let client = || trillium_client::Client::new(ClientConfig::new().with_nodelay(true));
        let base = format!("http://{address}/");
        Self {
            pooled: client().with_default_pool(),
            single: client(),
            base: base.parse().expect("an address makes a URL"),
            kind,
        }
    }

    pub(crate) fn kind(&self) -> BackendKind {
        self.kind
    }

    /// URL of a path that this crate names.
    fn url(&self, path: &str) -> trillium_client::Url {
        self.base.join(path).expect("the path is well formed")
    }

    /// Tells the engine to stop an attempt. The closed connection says the same
    /// to an engine that does not answer.
    pub(crate) async fn cancel(&self, id: AttemptId) {
        let path = format!("requests/{}/cancel", request::name(id));
        let told = async {
            if let Err(error) = self.pooled.post(self.url(&path)).await {
                log::debug!(request:% = id.request; "the engine was not told to cancel: {error}");
            }
        };
        let late = async {
            smol::Timer::after(ANSWER_LIMIT).await;
        };
        smol::future::or(told, late).await;
    }
}

/// Runs one request and reports what comes of it.
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
    // The HTTP client panics on a status that HTTP does not have.
    let answer = panic::AssertUnwindSafe(answer).catch_unwind().await;
    let event = match answer.unwrap_or(Err(BackendError::Unreadable)) {
        Ok(usage) => sidecar::Event::Ended { id, usage },
        Err(error) => {
            log::warn!(request:% = id.request, attempt:% = id.attempt, team:% = dispatch.offer.work.team; "the backend server failed: {error}");
            let fault = error.fault();
            sidecar::Event::EngineFailed { id, fault }
        }
    };
    reporter.report(event).await;
}
