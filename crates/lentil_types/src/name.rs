//! Names that operators and callers write.

use std::{borrow, fmt, ops, str};

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A name is empty, too long or has a character that names may not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NameError {
    /// The name has no characters.
    #[error("a {kind} may not be empty")]
    Empty {
        /// What the name stands for.
        kind: &'static str,
    },
    /// The name has more than 128 bytes.
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, this one has {bytes}")]
    TooLong {
        /// What the name stands for.
        kind: &'static str,
        /// Size of the name, in bytes.
        bytes: usize,
    },
    /// The name has a character other than `A-Z a-z 0-9 . _ - : /`.
    #[error("{found:?} may not stand in a {kind}; allowed are A-Z a-z 0-9 . _ - : /")]
    BadChar {
        /// What the name stands for.
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

/// Defines a checked name.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(compact_str::CompactString);

        impl $name {
            /// Checks `text` and makes a name of it.
            ///
            /// # Errors
            /// [`NameError`] when the text is empty, longer than 128 bytes or
            /// has a character that names may not have.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }

            /// The name as text.
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
            fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let text = <borrow::Cow<'de, str>>::deserialize(from)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

name! {
    /// A region: places that share a wide-area network.
    RegionName, "region name"
}
name! {
    /// A place: one data centre.
    PlaceName, "place name"
}
name! {
    /// A service that the operators' text lists.
    ServiceName, "service name"
}
name! {
    /// One backend server of a service.
    RunnerName, "runner name"
}
name! {
    /// A model as callers name it.
    ModelName, "model name"
}
name! {
    /// An adapter of a model.
    AdapterName, "adapter name"
}
name! {
    /// A team: a customer with its own key, share and cache scope.
    TeamName, "team name"
}
name! {
    /// A cache scope. Teams reuse each other's cache only inside one scope.
    ScopeName, "cache scope"
}
name! {
    /// One process of the system.
    NodeName, "node name"
}
name! {
    /// A caller's key for a call that may not be repeated.
    IdempotencyKey, "idempotency key"
}
