//! Ids of requests, attempts and engine processes.

use std::{fmt, str};

/// An id was not written in the expected number of hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not an id of {digits} hexadecimal digits")]
pub struct ParseIdError {
    text: String,
    digits: usize,
}

/// Defines an id that is written as a fixed number of hexadecimal digits.
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
                let hex = s.len() == $digits && s.bytes().all(|b| b.is_ascii_hexdigit());
                if !hex {
                    return Err(error());
                }
                <$int>::from_str_radix(s, 16).map(Self).map_err(|_| error())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(from)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

hex_id! {
    /// One caller's request, unique over all entries and restarts.
    RequestId(u128), 32
}

hex_id! {
    /// One life of an engine process. A restarted engine has another one.
    BootId(u64), 16
}

hex_id! {
    /// What a request asks for, whoever sends it and however often. Requests
    /// that crash engines are known by it.
    Fingerprint(u64), 16
}

/// Counts the attempts at one request, from 1.
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

/// One attempt at one request. Every answer names the attempt it belongs to.
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
    /// Which attempt at it.
    pub attempt: Attempt,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.request, self.attempt)
    }
}
