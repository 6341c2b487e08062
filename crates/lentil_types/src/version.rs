//! Versions and fencing numbers. All but the software versions only increase.

use std::{convert, fmt, num, str};

/// Defines a number that only increases.
macro_rules! version {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }
    };
}

version! {
    /// Version of the configuration, assigned by the object API. 0 means none yet.
    ConfigVersion(u64)
}
version! {
    /// Version of a model's weights.
    WeightsVersion(u32)
}
version! {
    /// Fencing number of a lease's tenure. An order with a lower number is refused.
    FencingNumber(u64)
}

/// Version of a backend server's software. Compared only for equality; empty where the
/// platform names none.
#[derive(
    Clone,
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
pub struct SoftwareVersion(pub compact_str::CompactString);

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for SoftwareVersion {
    type Err = convert::Infallible;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Ok(Self(s.into()))
    }
}
