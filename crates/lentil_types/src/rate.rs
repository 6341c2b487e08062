//! Token rates.

use std::{fmt, str, time};

use crate::Tokens;

/// A string is not a positive, finite number of tokens per second.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a positive number of tokens a second")]
pub struct ParseRateError(String);

/// A rate in tokens per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct TokenRate(pub f64);

impl TokenRate {
    /// Time for `tokens` at this rate, at most [`time::Duration::MAX`].
    pub fn time_for(self, tokens: Tokens) -> time::Duration {
        let seconds = tokens.0 as f64 / self.0.max(f64::MIN_POSITIVE);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens/s", self.0)
    }
}

impl str::FromStr for TokenRate {
    type Err = ParseRateError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let number = s.strip_suffix("tokens/s").unwrap_or(s).trim();
        match number.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate > 0.0 => Ok(Self(rate)),
            _ => Err(ParseRateError(s.to_owned())),
        }
    }
}
