//! Polls the backend server's status.

use std::{sync::Arc, time};

use lentil_policy::sidecar;
use lentil_types::{BootId, Tokens, WeightsVersion};
use smol::channel::Sender;

use crate::{BackendKind, driver::Input};

use super::{ANSWER_TIMEOUT, Backend, contained, error::BackendError};

/// Boot ID of a plain backend server, which does not report one.
const PLAIN_BOOT: BootId = BootId(1);
/// Time between two status polls.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(100);
/// An engine counts as down after this long without a status.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Largest status, in bytes.
const MAX_STATUS_BYTES: usize = 16 * 1024;
/// Longest pause between two polls of an engine whose status cannot be read.
const MAX_POLL_PERIOD: time::Duration = time::Duration::from_secs(1);

/// An engine's answer to `GET /status`.
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

/// Result of one poll.
enum Poll {
    Up(Status),
    /// The connection was refused, so the engine is down.
    Refused,
    /// What was answered is no status.
    Unreadable(BackendError),
    NoAnswer,
}

/// Reports the backend server's boots, stops and load until dropped.
pub(crate) async fn watch(backend: Arc<Backend>, events: Sender<Input>) {
    if backend.kind == BackendKind::Plain {
        let (boot, weights) = (PLAIN_BOOT, WeightsVersion(0));
        report(&events, sidecar::Event::EngineUp { boot, weights }).await;
        return;
    }
    let mut last: Option<Status> = None;
    let mut last_answer = time::Instant::now();
    let mut unreadable = 0u32;
    loop {
        let polled = poll(&backend).await;
        unreadable = log_unreadable(&polled, unreadable);
        match polled {
            Poll::Up(status) => {
                last_answer = time::Instant::now();
                report_status(&events, last, status).await;
                last = Some(status);
            }
            Poll::Unreadable(_) | Poll::NoAnswer if last_answer.elapsed() < SILENCE_TIMEOUT => {}
            Poll::Refused | Poll::Unreadable(_) | Poll::NoAnswer => {
                if last.take().is_some() {
                    report(&events, sidecar::Event::EngineDown).await;
                }
            }
        }
        let period = POLL_PERIOD * (1 << unreadable.min(8));
        smol::Timer::after(period.min(MAX_POLL_PERIOD)).await;
    }
}

/// Logs the first of several statuses that cannot be read. Returns their number.
fn log_unreadable(polled: &Poll, before: u32) -> u32 {
    match polled {
        Poll::Unreadable(error) => {
            if before == 0 {
                log::warn!("cannot read the status of the backend server: {error}");
            }
            before.saturating_add(1)
        }
        Poll::Up(_) if before > 0 => {
            log::info!(unreadable = before; "the status of the backend server can be read again");
            0
        }
        Poll::Up(_) => 0,
        Poll::Refused | Poll::NoAnswer => before,
    }
}

async fn poll(backend: &Backend) -> Poll {
    let answer = async {
        match contained(status(backend)).await {
            Ok(status) => Poll::Up(status),
            Err(BackendError::Unreachable(_)) => Poll::Refused,
            Err(
                error @ (BackendError::AnswerCut(_)
                | BackendError::Chunk(_)
                | BackendError::ClientPanicked),
            ) => Poll::Unreadable(error),
            Err(_) => Poll::NoAnswer,
        }
    };
    let timer = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        Poll::NoAnswer
    };
    smol::future::or(answer, timer).await
}

async fn status(backend: &Backend) -> Result<Status, BackendError> {
    let mut conn = backend.pooled.get(backend.url("status")).await?;
    let body = lentil_http::read_all(conn.response_body(), MAX_STATUS_BYTES).await;
    let body = body.map_err(BackendError::AnswerCut)?;
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
    // Fails only when the driver is gone, at process exit.
    let _ = events.send(Input::Event(event)).await;
}
