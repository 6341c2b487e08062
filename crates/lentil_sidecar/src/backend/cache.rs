//! Follows the changes of an engine's prefix cache.

use std::{sync::Arc, time};

use lentil_policy::sidecar::{self, CacheChange, CacheEvent};
use lentil_types::{BootId, PieceHash};
use smol::channel::Sender;

use crate::driver::Input;

use super::{Backend, error::BackendError, sse::EventReader};

/// Delay before reopening a lost event stream.
const RETRY_PERIOD: time::Duration = time::Duration::from_millis(200);

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
    loop {
        if let Err(error) = follow(&backend, &events).await {
            log::debug!("lost the stream of cache events: {error}");
        }
        smol::Timer::after(RETRY_PERIOD).await;
    }
}

async fn follow(backend: &Arc<Backend>, events: &Sender<Input>) -> Result<(), BackendError> {
    let mut conn = backend.single.get(backend.url("cache/events")).await?;
    // Events between two streams are lost without a gap in the numbers, so list the
    // whole cache.
    list_cache(backend.clone(), events.clone()).await;
    let mut reader = EventReader::new(conn.response_body());
    while let Some(event) = reader.next().await? {
        let number = event.id.parse().unwrap_or(0);
        let data: EventData = serde_json::from_str(&event.data).map_err(BackendError::Chunk)?;
        let change = if data.stored.is_empty() {
            CacheChange::Evicted(data.evicted)
        } else {
            CacheChange::Stored(data.stored)
        };
        report(events, data.boot, number, change).await;
    }
    Ok(())
}

/// Reports all cached pieces. On failure it reports nothing, and the policy asks
/// again.
pub(crate) async fn list_cache(backend: Arc<Backend>, events: Sender<Input>) {
    match list(&backend).await {
        Ok(listing) => {
            let change = CacheChange::Listed(listing.pieces);
            report(&events, listing.boot, listing.number, change).await;
        }
        Err(error) => log::debug!("cannot list the cache: {error}"),
    }
}

async fn list(backend: &Backend) -> Result<Listing, BackendError> {
    let mut conn = backend.pooled.get(backend.url("cache")).await?;
    let body = conn.response_body().read_bytes().await?;
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
