//! Sizes and counts with a unit. Their arithmetic saturates.

use std::{fmt, iter, num, ops, str};

/// A string is not a whole number with or without its unit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a whole number of {unit}")]
pub struct ParseSizeError {
    text: String,
    unit: &'static str,
    source: num::ParseIntError,
}

/// Defines a size with a unit, which is optional when parsing.
macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Difference, or zero if `other` is larger.
            #[must_use]
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
                sizes.fold(Self(0), |sum, size| sum + size)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $unit), self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseSizeError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                let number = s.strip_suffix($unit).unwrap_or(s).trim();
                let error = |source| ParseSizeError { text: s.to_owned(), unit: $unit, source };
                number.parse().map(Self).map_err(error)
            }
        }
    };
}

size! {
    /// A size in bytes.
    Bytes, "B"
}
size! {
    /// A count of model tokens.
    Tokens, "tokens"
}
size! {
    /// What a limit of a team counts: requests or tokens.
    Units, "units"
}
size! {
    /// A count of cache pieces.
    Pieces, "pieces"
}
