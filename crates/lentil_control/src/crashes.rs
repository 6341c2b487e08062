//! Tells the whole region of requests that crash engines.

use std::{sync::Arc, time};

use lentil_platform::{ObjectStore, StoreError};
use lentil_policy::{config_sync::Doc, poison};
use lentil_types::RegionName;
use lentil_wire::PoisonNotice;
use smol::channel::Receiver;

/// Time between two tries while the store is down.
const RETRY: time::Duration = time::Duration::from_millis(500);

/// Why the document was not written.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Document(#[from] poison::DocumentError),
}

/// Adds crashes to the region's document until the sidecar that reports them is
/// gone. Crashes that come together share a write.
pub async fn record_crashes(
    store: Arc<dyn ObjectStore>,
    region: RegionName,
    crashes: Receiver<PoisonNotice>,
) {
    while let Ok(first) = crashes.recv().await {
        let mut notices = vec![first];
        while let Err(error) = record(&*store, &region, &notices).await {
            if !is_conflict(&error) {
                log::warn!("crashes are not recorded yet: {error}");
                smol::Timer::after(RETRY).await;
            }
            notices.extend(std::iter::from_fn(|| crashes.try_recv().ok()));
        }
    }
}

/// Reads the document and writes it with the crashes. A write whose answer is
/// lost is made again: adding a crash twice changes nothing.
async fn record(
    store: &dyn ObjectStore,
    region: &RegionName,
    notices: &[PoisonNotice],
) -> Result<(), RecordError> {
    let key = Doc::Poison.key(region);
    let object = store.read(&key).await?;
    let mut document = poison::Document::parse(&object.value)?;
    let unix = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    let mut changed = false;
    for notice in notices {
        changed |= document.add(notice.fingerprint, notice.crashes, unix);
    }
    if changed {
        store
            .update(&key, object.version, document.to_bytes())
            .await?;
    }
    Ok(())
}

fn is_conflict(error: &RecordError) -> bool {
    matches!(error, RecordError::Store(StoreError::Conflict(_)))
}
