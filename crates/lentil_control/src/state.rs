//! State for the dump and the readiness check.

use std::sync::{Mutex, MutexGuard, PoisonError};

use lentil_policy::{config_sync::NotReady, membership::Meter};
use lentil_types::{Bytes, Instant};

/// Latest [`Snapshot`], written by the worker and read by [`crate::Status`].
#[derive(Debug, Default)]
pub(crate) struct AgentState {
    snapshot: Mutex<Snapshot>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) not_ready: Option<NotReady>,
    pub(crate) dump: serde_json::Value,
    pub(crate) sent: Meter,
    pub(crate) received: Meter,
}

impl AgentState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Snapshot> {
        self.snapshot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_sent(&self, now: Instant, bytes: usize) {
        self.lock().sent.add(now, Bytes(bytes as u64));
    }

    pub(crate) fn count_received(&self, now: Instant, bytes: usize) {
        self.lock().received.add(now, Bytes(bytes as u64));
    }
}
