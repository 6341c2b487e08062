//! What an agent shows to the rest of its process.

use std::sync::{Mutex, MutexGuard, PoisonError};

use lentil_policy::{config_sync::NotReady, membership::Meter};
use lentil_types::{Bytes, Instant};

/// What an agent shows to the rest of its process.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    view: Mutex<View>,
}

/// State of an agent, for the dump.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) not_ready: Option<NotReady>,
    pub(crate) dump: serde_json::Value,
    pub(crate) sent: Meter,
    pub(crate) received: Meter,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_sent(&self, now: Instant, bytes: usize) {
        self.lock().sent.add(now, Bytes(bytes as u64));
    }

    pub(crate) fn count_received(&self, now: Instant, bytes: usize) {
        self.lock().received.add(now, Bytes(bytes as u64));
    }
}
