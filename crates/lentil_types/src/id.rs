//! Ids of requests, attempts and engine processes.

use std::{fmt, str};

/// A string is not an id of the expected number of hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not an id of {digits} hexadecimal digits")]
pub struct ParseIdError {
    text: String,
    digits: usize,
}

/// Defines an id written in a fixed number of hexadecimal digits.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident($int:ty), $digits:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:0width$x}", self.0, width = $digits)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseIdError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                let error = || ParseIdError { text: s.to_owned(), digits: $digits };
                let is_hex = s.len() == $digits && s.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_hex {
                    return Err(error());
                }
                <$int>::from_str_radix(s, 16).map(Self).map_err(|_| error())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

hex_id! {
    /// Id of a caller's request, unique across all entries and their restarts.
    RequestId(u128), 32
}

hex_id! {
    /// Id of a boot: one start of an engine process.
    BootId(u64), 16
}

hex_id! {
    /// Identifies the content of a request, whoever sends it and however often.
    /// Requests that crash engines are recognised by it.
    Fingerprint(u64), 16
}

/// Number of an attempt at a request, from 1.
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
pub struct Attempt(pub u32);

impl Attempt {
    /// The first attempt at a request.
    pub const FIRST: Self = Self(1);

    /// The attempt after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Attempt {
    type Err = std::num::ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}

/// Id of an attempt. Every answer carries it.
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
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}
