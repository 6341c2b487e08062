//! Priority classes of requests.

/// Priority class of a request. Smaller values are served first.
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
    /// A person waits on site for the answer.
    Urgent = 0,
    /// Interactive work, the default.
    #[default]
    Normal = 1,
    /// Long work that may wait and is never dropped for being slow.
    Patient = 2,
}
