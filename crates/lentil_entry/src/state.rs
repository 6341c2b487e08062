//! The configuration in force.

use std::sync::{Arc, RwLock};

use lentil_config::Config;
use lentil_types::ConfigVersion;

use crate::keys::Keys;

/// One version of the configuration, with its API keys indexed.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) version: ConfigVersion,
    pub(crate) config: Arc<Config>,
    pub(crate) keys: Keys,
}

impl ActiveConfig {
    pub(crate) fn new(version: ConfigVersion, config: Arc<Config>) -> Self {
        let keys = Keys::new(&config);
        Self {
            version,
            config,
            keys,
        }
    }
}

/// Holds the configuration in force. A request takes it once and keeps that
/// version until it ends.
#[derive(Debug)]
pub(crate) struct State {
    current: RwLock<Arc<ActiveConfig>>,
}

impl State {
    pub(crate) fn new(version: ConfigVersion, config: Arc<Config>) -> Self {
        let current = Arc::new(ActiveConfig::new(version, config));
        Self {
            current: RwLock::new(current),
        }
    }

    pub(crate) fn current(&self) -> Arc<ActiveConfig> {
        let current = self.current.read();
        current
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    /// Replaces the configuration if `version` is higher than the one in force, and
    /// returns whether it did.
    pub(crate) fn replace(&self, version: ConfigVersion, config: Arc<Config>) -> bool {
        let next = Arc::new(ActiveConfig::new(version, config));
        let mut current = self
            .current
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if version <= current.version {
            return false;
        }
        *current = next;
        true
    }
}
