//! What the process shows of itself.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use lentil_config::Config;
use lentil_policy::protocol;
use lentil_types::ConfigVersion;

/// What the driver shows after a tick.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shown {
    pub(crate) load: protocol::Load,
    pub(crate) in_flight: usize,
    pub(crate) links: usize,
    pub(crate) notices: usize,
}

/// What the process shows of itself.
#[derive(Default)]
pub(crate) struct State {
    shown: Mutex<Shown>,
    config: Mutex<(ConfigVersion, Option<Arc<Config>>)>,
    draining: AtomicBool,
}

impl State {
    pub(crate) fn show(&self, shown: Shown) {
        *self.shown.lock().expect("no holder panics") = shown;
    }

    pub(crate) fn shown(&self) -> Shown {
        *self.shown.lock().expect("no holder panics")
    }

    /// The text in force and its version.
    pub(crate) fn config(&self) -> (ConfigVersion, Option<Arc<Config>>) {
        self.config.lock().expect("no holder panics").clone()
    }

    /// Keeps a text when its version is higher than the one in force, and
    /// returns whether it did.
    pub(crate) fn replace(&self, version: ConfigVersion, market: Arc<Config>) -> bool {
        let mut config = self.config.lock().expect("no holder panics");
        let newer = version > config.0;
        if newer {
            *config = (version, Some(market));
        }
        newer
    }

    /// Notes that the process stops, and returns whether that is news.
    pub(crate) fn begin_drain(&self) -> bool {
        !self.draining.swap(true, Ordering::AcqRel)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
