//! Rates of tokens and requests.

use std::{fmt, str, time};

use crate::{Tokens, Units};

/// A string is not a positive, finite number per second.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a positive number a second")]
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
        parse(s, "tokens/s").map(Self)
    }
}

/// A rate in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

impl RequestRate {
    /// Requests in a span of time.
    pub fn requests_in(self, span: time::Duration) -> f64 {
        self.0 * span.as_secs_f64()
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.0)
    }
}

impl str::FromStr for RequestRate {
    type Err = ParseRateError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "requests/s").map(Self)
    }
}

/// A rate in units of a limit per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct UnitRate(pub f64);

impl UnitRate {
    /// Time for `units` at this rate, at most [`time::Duration::MAX`].
    pub fn time_for(self, units: Units) -> time::Duration {
        let seconds = units.0 as f64 / self.0.max(f64::MIN_POSITIVE);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }
}

impl fmt::Display for UnitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} units/s", self.0)
    }
}

impl str::FromStr for UnitRate {
    type Err = ParseRateError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        parse(s, "units/s").map(Self)
    }
}

fn parse(s: &str, unit: &str) -> Result<f64, ParseRateError> {
    let number = s.strip_suffix(unit).unwrap_or(s).trim();
    match number.parse::<f64>() {
        Ok(rate) if rate.is_finite() && rate > 0.0 => Ok(rate),
        _ => Err(ParseRateError(s.to_owned())),
    }
}
