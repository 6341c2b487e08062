//! Progress of a service's rollout.

use std::{fmt, num, str};

use lentil_types::{Instant, WeightsVersion};

/// Why a rollout stopped by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum StopReason {
    /// Engines failed to load the weights.
    LoadFailed,
    /// Engines did not come up with the weights in time.
    TooSlow,
    /// Engines went down soon after they came up with the weights.
    WentDown,
}

/// Progress of a service's rollout of one weights version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The target weights.
    pub weights: WeightsVersion,
    /// Runners that failed with them.
    pub failures: u32,
    /// Why the rollout stopped; `None` while it goes on.
    pub stopped: Option<StopReason>,
    /// When the first runner came up with them since the last failure.
    pub first_up: Option<Instant>,
}

/// A stored progress record is malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ProgressError {
    /// It does not have three fields.
    #[error("a rollout record must have three fields: weights, failures and stop reason")]
    Fields,
    /// The weights or the failures are not a number.
    #[error("invalid number in a rollout record: {0}")]
    Number(#[from] num::ParseIntError),
    /// The stop reason is not known.
    #[error("invalid stop reason in a rollout record: {0}")]
    Reason(#[from] strum::ParseError),
}

/// Omits `first_up`, which is only valid on the clock of this process.
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
            first_up: None,
        })
    }
}

impl Progress {
    /// A rollout that has not started.
    pub fn new(weights: WeightsVersion) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Counts a failed runner. Returns whether this stopped the rollout.
    pub(crate) fn record_failure(&mut self, reason: StopReason, limit: u32) -> bool {
        self.failures += 1;
        // The next runner is again updated alone.
        self.first_up = None;
        if self.failures < limit || self.stopped.is_some() {
            return false;
        }
        self.stopped = Some(reason);
        true
    }
}
