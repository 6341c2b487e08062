//! Records requests that crash engines in the region's poison document.

use std::{sync::Arc, time};

use lentil_platform::{ObjectStore, StoreError};
use lentil_policy::{config_sync::Doc, poison};
use lentil_types::RegionName;
use lentil_wire::PoisonNotice;
use smol::channel::Receiver;

/// Delay before retrying a failed write.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Why the poison document was not written.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Document(#[from] poison::DocumentError),
}

/// Adds crashes to the region's poison document until `crashes` is closed, all
/// queued ones in one write.
pub async fn record_crashes(
    store: Arc<dyn ObjectStore>,
    region: RegionName,
    crashes: Receiver<PoisonNotice>,
) {
    while let Ok(first) = crashes.recv().await {
        let mut notices = vec![first];
        while let Err(error) = record(&*store, &region, &notices).await {
            if !is_conflict(&error) {
                log::warn!("cannot record crashes, retrying in {RETRY_DELAY:?}: {error}");
                smol::Timer::after(RETRY_DELAY).await;
            }
            notices.extend(std::iter::from_fn(|| crashes.try_recv().ok()));
        }
    }
}

/// Adds crashes by compare-and-swap. A write whose answer is lost is retried:
/// adding a crash is idempotent.
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
