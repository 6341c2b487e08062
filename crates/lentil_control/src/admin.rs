//! Agent state in the admin interface.

use std::sync::Arc;

use lentil_process::admin::{ManagedProcess, NotReady};

use crate::agent::Status;

/// Process that is not ready until its agent has a configuration, and whose dump
/// has the agent's state as `control`.
pub struct WithAgentStatus {
    inner: Arc<dyn ManagedProcess>,
    status: Status,
}

impl WithAgentStatus {
    /// Wraps `inner`.
    pub fn new(inner: Arc<dyn ManagedProcess>, status: Status) -> Self {
        Self { inner, status }
    }
}

impl ManagedProcess for WithAgentStatus {
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
