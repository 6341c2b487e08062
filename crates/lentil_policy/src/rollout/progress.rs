//! How a service's rollout goes.

use lentil_types::{Instant, WeightsVersion};

/// Why a rollout stopped by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// Engines could not load the weights.
    LoadFailed,
    /// Engines did not come up with the weights in time.
    TooSlow,
    /// Engines went down soon after they came up with the weights.
    WentDown,
}

/// How a service's rollout of one version goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The weights that it is about.
    pub weights: WeightsVersion,
    /// Runners that failed with them.
    pub failures: u32,
    /// Why it stopped, if it did.
    pub stopped: Option<StopReason>,
    /// When the first runner came up with them.
    pub first: Option<Instant>,
}

impl Progress {
    /// A rollout that has not begun.
    pub fn new(weights: WeightsVersion) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Counts a runner that failed. Says whether this stopped the rollout.
    pub(crate) fn fail(&mut self, reason: StopReason, limit: u32) -> bool {
        self.failures += 1;
        // The next runner goes alone again.
        self.first = None;
        if self.failures < limit || self.stopped.is_some() {
            return false;
        }
        self.stopped = Some(reason);
        true
    }
}
