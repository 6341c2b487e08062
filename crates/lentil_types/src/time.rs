//! Monotonic time for policy code, which reads no clock itself.

use std::{fmt, ops, time};

/// A point in monotonic time: microseconds since the process or replay started.
/// Code that runs a policy reads its clock and passes this in.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Start of the process or replay.
    pub const ZERO: Self = Self(0);
    /// Never; later than every other instant.
    pub const NEVER: Self = Self(u64::MAX);

    /// `ms` milliseconds after the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Time since `earlier`, or zero if that is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Instant {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06} s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
