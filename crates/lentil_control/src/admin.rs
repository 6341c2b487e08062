//! Shows an agent beside what its process shows.

use std::sync::Arc;

use lentil_process::admin::{NotReady, Subject};

use crate::agent::Status;

/// A process that is not ready before its agent has a text, and whose dump has
/// the agent's state as `control`.
pub struct WithAgentStatus {
    inner: Arc<dyn Subject>,
    status: Status,
}

impl WithAgentStatus {
    /// Puts an agent's state beside what `inner` shows.
    pub fn new(inner: Arc<dyn Subject>, status: Status) -> Self {
        Self { inner, status }
    }
}

impl Subject for WithAgentStatus {
    fn ready(&self) -> Result<(), NotReady> {
        if let Some(reason) = self.status.not_ready() {
            return Err(NotReady::NoConfig(reason.to_string()));
        }
        self.inner.ready()
    }

    fn dump(&self) -> serde_json::Value {
        let mut dump = self.inner.dump();
        dump["control"] = self.status.dump();
        dump
    }

    fn drain(&self) {
        self.inner.drain();
    }
}
