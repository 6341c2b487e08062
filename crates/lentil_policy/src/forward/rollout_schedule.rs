//! Decides when a runner changes to new weights if no router grants it a turn.
//!
//! Routers normally grant the turns (see [`super::rollout_pacer`]). An agent that no
//! router reaches starts by itself in time for the deadline of the version. These
//! times are spread over the runners, so that the rest keeps serving.

use std::time;

use lentil_types::WeightsVersion;

/// Settings of the times at which runners start by themselves.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time after a change of the target weights from which older ones must not be
    /// used.
    pub deadline: time::Duration,
    /// When the first runner starts, as a fraction of the deadline.
    pub first_start: f64,
    /// When the last runner starts. The rest of the time is for its drain and load.
    pub last_start: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            deadline: time::Duration::from_secs(6),
            first_start: 0.7,
            last_start: 0.85,
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

impl Settings {
    /// Time since a runner's weights are outdated after which it starts by itself.
    pub fn latest_start(&self, position: RolloutPosition) -> time::Duration {
        let last_rank = position.count.saturating_sub(1).max(1);
        let progress = f64::from(position.rank.min(last_rank)) / f64::from(last_rank);
        let start = self.first_start + (self.last_start - self.first_start) * progress;
        self.deadline.mul_f64(start)
    }
}

/// Key that orders the runners of a rollout: a hash of the name and the version, so
/// that no runner is always the last.
pub fn order_key(name: &str, version: WeightsVersion) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), u64::from(version.0))
}
