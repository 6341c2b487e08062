//! When a runner changes to new weights.
//!
//! Load it answers: a new version voids every cache and takes each runner out
//! for a moment. Runners change in turns, so that the others keep serving, and
//! each agent works its turn out alone.

use std::time;

use lentil_types::WeightsVersion;

/// Settings of the turns.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// One in this many runners of a service changes at once.
    pub groups: u32,
    /// Expected time to change one runner until one was observed.
    pub load_time: time::Duration,
    /// Weight of the newest observation in the expected time.
    pub smoothing: f64,
    /// Longest wait for a turn; keeps a rollout inside the deadline of a version
    /// whatever the observed times are.
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

/// A runner's place in the order of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutPosition {
    /// Runners before it.
    pub rank: u32,
    /// Runners that change.
    pub count: u32,
}

/// Works out when this runner's turn comes.
#[derive(Clone, Debug)]
pub struct RolloutSchedule {
    settings: Settings,
    load_time: time::Duration,
}

impl RolloutSchedule {
    /// Turns before any change was observed.
    pub fn new(settings: Settings) -> Self {
        Self {
            load_time: settings.load_time,
            settings,
        }
    }

    /// A change of this runner took `span`.
    pub fn on_loaded(&mut self, span: time::Duration) {
        let weight = self.settings.smoothing;
        self.load_time = self.load_time.mul_f64(1.0 - weight) + span.mul_f64(weight);
    }

    /// How long after a version was named this runner changes to it.
    pub fn delay(&self, position: RolloutPosition) -> time::Duration {
        let at_once = position.count.div_ceil(self.settings.groups.max(1)).max(1);
        let turn = position.rank / at_once;
        (self.load_time * turn).min(self.settings.max_wait)
    }
}

/// Orders the runners of a rollout: a hash of the name and the version, so that
/// no runner is always the last.
pub fn order_key(name: &str, version: WeightsVersion) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(version.0))
}
