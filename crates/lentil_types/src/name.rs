//! Validated names from the configuration text and from callers.

use std::{borrow, fmt, ops, str};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Why a name is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NameError {
    /// It is empty.
    #[error("a {kind} may not be empty")]
    Empty {
        /// Kind of name, such as `team name`.
        kind: &'static str,
    },
    /// It is longer than 128 bytes.
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, this one has {bytes}")]
    TooLong {
        /// Kind of name, such as `team name`.
        kind: &'static str,
        /// Length of the name, in bytes.
        bytes: usize,
    },
    /// It contains a character other than `A-Z a-z 0-9 . _ - : /`.
    #[error("{found:?} may not stand in a {kind}; allowed are A-Z a-z 0-9 . _ - : /")]
    BadChar {
        /// Kind of name, such as `team name`.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
}

fn check(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong {
            kind,
            bytes: text.len(),
        });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-:/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(found) => Err(NameError::BadChar { kind, found }),
        None => Ok(()),
    }
}

/// Defines a name type that is validated on construction and deserialization.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(compact_str::CompactString);

        impl $name {
            /// Validates `text` as a name.
            ///
            /// # Errors
            /// [`NameError`] when `text` is empty, longer than 128 bytes or has a
            /// forbidden character.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }

            /// Name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ops::Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Self::new(s)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <borrow::Cow<'de, str>>::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

name! {
    /// A region: data centres that share a wide-area network.
    RegionName, "region name"
}
name! {
    /// A data centre.
    PlaceName, "place name"
}
name! {
    /// A service that the configuration text defines.
    ServiceName, "service name"
}
name! {
    /// One backend server of a service.
    RunnerName, "runner name"
}
name! {
    /// A model, as callers name it in requests.
    ModelName, "model name"
}
name! {
    /// An adapter that engines load for a model.
    AdapterName, "adapter name"
}
name! {
    /// A team: a customer with its own API key, share and cache scope.
    TeamName, "team name"
}
name! {
    /// A cache scope. Teams reuse each other's cached prefixes only inside one scope.
    ScopeName, "cache scope"
}
name! {
    /// One process of the system.
    NodeName, "node name"
}
name! {
    /// A caller's idempotency key for a call that may not be repeated.
    IdempotencyKey, "idempotency key"
}
