//! How a service's rollout goes.

use std::{fmt, num, str};

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

/// A record of a rollout is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ProgressError {
    /// It has not three fields.
    #[error("a rollout's record has three fields")]
    Fields,
    /// A number is not one.
    #[error("a rollout's record: {0}")]
    Number(#[from] num::ParseIntError),
    /// The reason for the stop is none.
    #[error("a rollout's record: {0}")]
    Reason(#[from] strum::ParseError),
}

/// Without the time of the first runner, which is of one process's clock.
impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ", self.weights, self.failures)?;
        match self.stopped {
            Some(reason) => reason.fmt(f),
            None => f.write_str("-"),
        }
    }
}

impl str::FromStr for Progress {
    type Err = ProgressError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let fields: Vec<_> = s.split(' ').collect();
        let [weights, failures, stopped] = fields[..] else {
            return Err(ProgressError::Fields);
        };
        let stopped = match stopped {
            "-" => None,
            reason => Some(reason.parse()?),
        };
        Ok(Self {
            weights: weights.parse()?,
            failures: failures.parse()?,
            stopped,
            first: None,
        })
    }
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
