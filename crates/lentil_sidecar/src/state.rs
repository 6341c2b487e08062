//! State that the driver, the control handle and the admin server share.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use lentil_config::Config;
use lentil_policy::protocol;
use lentil_types::ConfigVersion;

/// Status after a driver tick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) load: protocol::Load,
    pub(crate) in_flight: usize,
    pub(crate) links: usize,
    pub(crate) notices: usize,
}

#[derive(Default)]
pub(crate) struct State {
    snapshot: Mutex<Snapshot>,
    config: Mutex<(ConfigVersion, Option<Arc<Config>>)>,
    draining: AtomicBool,
}

impl State {
    pub(crate) fn set_snapshot(&self, snapshot: Snapshot) {
        *self.snapshot.lock().expect("no holder panics") = snapshot;
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        *self.snapshot.lock().expect("no holder panics")
    }

    /// The configuration in force and its version; 0 and `None` before the first.
    pub(crate) fn config(&self) -> (ConfigVersion, Option<Arc<Config>>) {
        self.config.lock().expect("no holder panics").clone()
    }

    /// Replaces the configuration if `version` is higher than the one in force;
    /// returns whether it did.
    pub(crate) fn replace(&self, version: ConfigVersion, config: Arc<Config>) -> bool {
        let mut current = self.config.lock().expect("no holder panics");
        let is_newer = version > current.0;
        if is_newer {
            *current = (version, Some(config));
        }
        is_newer
    }

    /// Marks the process as draining; returns whether it was not before.
    pub(crate) fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
