//! Life of a runner.

/// Where a runner is in its life.
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
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
#[repr(u8)]
pub enum RunnerState {
    /// It is known and not yet ready for work.
    #[default]
    Joining = 0,
    /// It takes work.
    Live = 1,
    /// It finishes what it has and takes nothing new.
    Leaving = 2,
    /// It is off the list and said so, or has been off it for long enough.
    Gone = 3,
}
