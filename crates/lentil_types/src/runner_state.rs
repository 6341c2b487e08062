//! Lifecycle of a runner.

/// Lifecycle state of a runner.
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
    /// Known, but not yet ready for requests.
    #[default]
    Joining = 0,
    /// Accepts requests.
    Live = 1,
    /// Finishes the requests it has and accepts no new ones.
    Leaving = 2,
    /// Off the instance list, for long enough or reported as gone.
    Gone = 3,
}
