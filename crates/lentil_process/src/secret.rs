//! A string that is kept out of logs and dumps.

use std::fmt;

use subtle::ConstantTimeEq as _;

/// A secret; `Debug` and `Serialize` redact it, [`Secret::expose`] returns it.
#[derive(Clone, serde::Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret in clear text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret in clear text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares in time that depends only on the length.
    pub fn matches(&self, guess: &str) -> bool {
        self.0.as_bytes().ct_eq(guess.as_bytes()).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl serde::Serialize for Secret {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("(secret)")
    }
}
