//! What the store holds for this system, and how it is read.

use compact_str::CompactString;
use lentil_platform::Document;
use lentil_policy::forward::{routing, runners};
use lentil_types::{ModelName, WeightsVersion};

/// A kind of document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(usize)]
pub enum Kind {
    /// The accepted configuration.
    Routing,
    /// Runners that registered themselves.
    Runners,
    /// Newest weights of each model.
    Weights,
}

impl Kind {
    /// Number of kinds.
    pub const COUNT: usize = 3;
}

/// A document that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub CompactString);

/// Weights that were named for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsTarget {
    /// The model.
    pub model: ModelName,
    /// Their version.
    pub version: WeightsVersion,
}

/// Reads a deployment's documents.
pub trait Decoder {
    /// What the store calls a kind.
    fn kind(&self, kind: Kind) -> &'static str;

    /// Reads a configuration. `None`: the document is another one of that kind.
    ///
    /// # Errors
    /// [`DecodeError`] when it cannot be used.
    fn routing(&self, document: &Document) -> Result<Option<routing::Routing>, DecodeError>;

    /// Reads a runner's entry.
    ///
    /// # Errors
    /// [`DecodeError`] when it names no runner to use.
    fn runner(&self, document: &Document) -> Result<runners::Registration, DecodeError>;

    /// Reads the newest weights of a model.
    ///
    /// # Errors
    /// [`DecodeError`] when it cannot be used.
    fn weights(&self, document: &Document) -> Result<WeightsTarget, DecodeError>;
}
