//! Decides when a runner changes to new weights.
//!
//! A new version invalidates every cache and takes each runner out of service for a
//! moment. Runners change in groups, so that the rest keeps serving; each agent
//! computes its runner's time without coordination.

use std::time;

use lentil_types::WeightsVersion;

/// Settings of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of groups that the runners of a service change in, one after the other.
    pub groups: u32,
    /// Expected time for one runner to change, until one was observed.
    pub load_time: time::Duration,
    /// Weight of the newest observation in the expected time.
    pub smoothing: f64,
    /// Longest delay; keeps a rollout within the deadline of a version whatever the
    /// observed times are.
    pub max_wait: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            groups: 6,
            load_time: time::Duration::from_millis(350),
            smoothing: 0.3,
            max_wait: time::Duration::from_millis(2_500),
        }
    }
}

/// A runner's position in the order of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutPosition {
    /// Runners before it.
    pub rank: u32,
    /// Runners in the rollout.
    pub count: u32,
}

/// Computes when this runner changes.
#[derive(Clone, Debug)]
pub struct RolloutSchedule {
    settings: Settings,
    load_time: time::Duration,
}

impl RolloutSchedule {
    /// A schedule without observed changes.
    pub fn new(settings: Settings) -> Self {
        Self {
            load_time: settings.load_time,
            settings,
        }
    }

    /// A change of this runner took `duration`.
    pub fn on_loaded(&mut self, duration: time::Duration) {
        let weight = self.settings.smoothing;
        self.load_time = self.load_time.mul_f64(1.0 - weight) + duration.mul_f64(weight);
    }

    /// Time from a new target version until this runner changes to it.
    pub fn delay(&self, position: RolloutPosition) -> time::Duration {
        let group_size = position.count.div_ceil(self.settings.groups.max(1)).max(1);
        let group = position.rank / group_size;
        (self.load_time * group).min(self.settings.max_wait)
    }
}

/// Key that orders the runners of a rollout: a hash of the name and the version, so
/// that no runner is always the last.
pub fn order_key(name: &str, version: WeightsVersion) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(version.0))
}
