//! Follows the changes of an engine's prefix cache.

use std::{sync::Arc, time};

use lentil_policy::sidecar::{self, CacheChange, CacheEvent};
use lentil_types::{BootId, PieceHash};
use smol::channel::Sender;

use crate::driver::Input;

use super::{
    Backend, contained,
    error::BackendError,
    sse::{EventReader, Limits},
};

/// Delay before reopening a lost event stream; doubles with each stream that gave no event.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Longest such delay.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);
/// An event may have ten thousand pieces, and ten thousand such as usual may come in a second.
const EVENT_LIMITS: Limits = Limits {
    event_bytes: 256 * 1024,
    paced_bytes: 256 * 1024,
};
/// Largest listing, in bytes: four hundred thousand pieces.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Longest wait for a listing.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pieces that one cache event adds or removes.
#[derive(Debug, serde::Deserialize)]
struct EventData {
    boot: BootId,
    #[serde(default)]
    stored: Vec<PieceHash>,
    #[serde(default)]
    evicted: Vec<PieceHash>,
}

/// All pieces in the cache, as of the event `number`.
#[derive(Debug, serde::Deserialize)]
struct Listing {
    boot: BootId,
    number: u64,
    pieces: Vec<PieceHash>,
}

/// Reports the engine's cache events until dropped.
pub(crate) async fn follow_cache(backend: Arc<Backend>, events: Sender<Input>) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let mut applied = 0;
        let followed = contained(follow(&backend, &events, &mut applied)).await;
        if let Err(error) = followed {
            log::debug!(applied; "lost the stream of cache events: {error}");
        }
        delay = match applied {
            0 => (delay * 2).min(MAX_RETRY_DELAY),
            _ => MIN_RETRY_DELAY,
        };
        smol::Timer::after(delay).await;
    }
}

async fn follow(
    backend: &Arc<Backend>,
    events: &Sender<Input>,
    applied: &mut u64,
) -> Result<(), BackendError> {
    let mut conn = backend.single.get(backend.url("cache/events")).await?;
    // Events between two streams are lost without a gap in the numbers, so list the
    // whole cache.
    list_cache(backend.clone(), events.clone()).await;
    let mut reader = EventReader::new(conn.response_body(), EVENT_LIMITS);
    while let Some(event) = reader.next().await? {
        let number = event.id.parse().unwrap_or(0);
        let data: EventData = serde_json::from_str(&event.data).map_err(BackendError::Chunk)?;
        let change = if data.stored.is_empty() {
            CacheChange::Evicted(data.evicted)
        } else {
            CacheChange::Stored(data.stored)
        };
        report(events, data.boot, number, change).await;
        *applied += 1;
    }
    Ok(())
}

/// Reports all cached pieces. On failure it reports nothing, and the policy asks
/// again.
pub(crate) async fn list_cache(backend: Arc<Backend>, events: Sender<Input>) {
    let timeout = async {
        smol::Timer::after(LIST_TIMEOUT).await;
        let late = std::io::Error::from(std::io::ErrorKind::TimedOut);
        Err(BackendError::AnswerCut(late))
    };
    match smol::future::or(contained(list(&backend)), timeout).await {
        Ok(listing) => {
            let change = CacheChange::Listed(listing.pieces);
            report(&events, listing.boot, listing.number, change).await;
        }
        Err(error) => log::debug!("cannot list the cache: {error}"),
    }
}

async fn list(backend: &Backend) -> Result<Listing, BackendError> {
    let mut conn = backend.pooled.get(backend.url("cache")).await?;
    let body = lentil_http::read_all(conn.response_body(), MAX_LIST_BYTES).await;
    let body = body.map_err(BackendError::AnswerCut)?;
    serde_json::from_slice(&body).map_err(BackendError::Chunk)
}

async fn report(events: &Sender<Input>, boot: BootId, number: u64, change: CacheChange) {
    let event = CacheEvent {
        boot,
        number,
        change,
    };
    // Fails only when the driver is gone, at process exit.
    let _ = events
        .send(Input::Event(sidecar::Event::Cache(event)))
        .await;
}
