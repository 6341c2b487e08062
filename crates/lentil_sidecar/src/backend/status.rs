//! Watches the backend server's life.

use std::{sync::Arc, time};

use lentil_policy::sidecar;
use lentil_types::{BootId, Tokens, WeightsVersion};
use smol::channel::Sender;

use crate::{BackendKind, driver::Input};

use super::{ANSWER_LIMIT, Backend, error::BackendError};

/// Life of a plain backend server, which does not tell its own.
const PLAIN_BOOT: BootId = BootId(1);
/// Time between two looks at an engine's status.
const PERIOD: time::Duration = time::Duration::from_millis(100);
/// An engine without a status for this long is down.
const SILENCE_LIMIT: time::Duration = time::Duration::from_secs(3);

/// An engine's status page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
struct Status {
    boot: BootId,
    weights: WeightsVersion,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting_tokens: Tokens,
    #[serde(default)]
    leaving: bool,
}

/// What one look at the status came to.
enum Look {
    Seen(Status),
    /// Nothing listens: the engine is down for certain.
    Refused,
    Silent,
}

/// Reports the backend server's life and load until dropped.
pub(crate) async fn watch(backend: Arc<Backend>, events: Sender<Input>) {
    if backend.kind == BackendKind::Plain {
        let (boot, weights) = (PLAIN_BOOT, WeightsVersion(0));
        report(&events, sidecar::Event::EngineUp { boot, weights }).await;
        return;
    }
    let mut last: Option<Status> = None;
    let mut seen = time::Instant::now();
    loop {
        match look(&backend).await {
            Look::Seen(status) => {
                seen = time::Instant::now();
                report_status(&events, last, status).await;
                last = Some(status);
            }
            Look::Silent if seen.elapsed() < SILENCE_LIMIT => {}
            Look::Refused | Look::Silent => {
                if last.take().is_some() {
                    report(&events, sidecar::Event::EngineDown).await;
                }
            }
        }
        smol::Timer::after(PERIOD).await;
    }
}

async fn look(backend: &Backend) -> Look {
    let answer = async {
        match status(backend).await {
            Ok(status) => Look::Seen(status),
            Err(BackendError::Unreachable(_)) => Look::Refused,
            Err(_) => Look::Silent,
        }
    };
    let late = async {
        smol::Timer::after(ANSWER_LIMIT).await;
        Look::Silent
    };
    smol::future::or(answer, late).await
}

async fn status(backend: &Backend) -> Result<Status, BackendError> {
    let mut conn = backend.pooled.get(backend.url("status")).await?;
    let body = conn.response_body().read_bytes().await?;
    serde_json::from_slice(&body).map_err(BackendError::Chunk)
}

async fn report_status(events: &Sender<Input>, last: Option<Status>, status: Status) {
    let Status { boot, weights, .. } = status;
    if last.is_none_or(|last| (last.boot, last.weights) != (boot, weights)) {
        report(events, sidecar::Event::EngineUp { boot, weights }).await;
    }
    if status.leaving && last.is_none_or(|last| !last.leaving) {
        report(events, sidecar::Event::Leave).await;
    }
    let (running, backlog) = (status.running, status.waiting_tokens);
    report(events, sidecar::Event::EngineLoad { running, backlog }).await;
}

async fn report(events: &Sender<Input>, event: sidecar::Event) {
    // The driver is gone only when the whole process stops.
    let _ = events.send(Input::Event(event)).await;
}
