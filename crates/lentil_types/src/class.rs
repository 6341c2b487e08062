//! How urgent a request is.

/// How urgent a request is. The order is the order of service.
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
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::FromRepr,
    strum::IntoStaticStr,
    strum::VariantNames,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
#[repr(u8)]
pub enum Class {
    /// Somebody waits at a counter or a gate.
    Urgent = 0,
    /// Ordinary interactive work.
    #[default]
    Normal = 1,
    /// Long work that may wait and is never dropped for being slow.
    Patient = 2,
}
