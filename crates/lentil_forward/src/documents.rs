//! Documents that the store holds for routers.

use compact_str::CompactString;
use lentil_platform::Document;
use lentil_policy::forward::{routing, runners};
use lentil_types::{ModelName, WeightsVersion};

/// A kind of document.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumIter,
    strum::FromRepr,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(usize)]
pub enum Kind {
    /// The accepted configuration.
    Routing,
    /// Registrations of runners.
    Runners,
    /// Target weights of each model.
    Weights,
}

impl Kind {
    /// Number of kinds, numbered from 0.
    pub const COUNT: usize = 3;
}

/// Why a document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub CompactString);

/// The weights that a model is to be served with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsTarget {
    /// The model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: WeightsVersion,
}

/// Decodes a deployment's documents.
pub trait Decoder {
    /// The store's name for a kind.
    fn kind(&self, kind: Kind) -> &'static str;

    /// Decodes the configuration. `None`: it is another document of that kind.
    ///
    /// # Errors
    /// [`DecodeError`] when it cannot be used.
    fn routing(&self, document: &Document) -> Result<Option<routing::Routing>, DecodeError>;

    /// Decodes a runner's registration.
    ///
    /// # Errors
    /// [`DecodeError`] when it describes no usable runner.
    fn runner(&self, document: &Document) -> Result<runners::Registration, DecodeError>;

    /// Decodes the target weights of a model.
    ///
    /// # Errors
    /// [`DecodeError`] when it cannot be used.
    fn weights(&self, document: &Document) -> Result<WeightsTarget, DecodeError>;
}
