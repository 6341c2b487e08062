//! A secret that is not printed.

use std::fmt;

use subtle::ConstantTimeEq as _;

/// A secret. `Debug` and `Serialize` hide it; [`Secret::expose`] shows it.
#[derive(Clone, serde::Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Takes a secret in.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// The secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `guess` is the secret, in time that depends only on its length.
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
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str("(secret)")
    }
}
