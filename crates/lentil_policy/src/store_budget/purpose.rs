//! What a call to the store is for.

/// What a call to the store is for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum Purpose {
    /// The operators' text.
    Config,
    /// Claims of calls that may not be repeated.
    Claim,
    /// Requests that crash engines.
    Poison,
    /// Leases of controllers.
    Lease,
    /// State of rollouts.
    Rollout,
    /// Anything else.
    Other,
}

impl Purpose {
    /// The purpose of an object of this kind.
    pub fn of_kind(kind: &str) -> Self {
        match kind {
            "config" => Self::Config,
            "claims" => Self::Claim,
            "poison" => Self::Poison,
            "leases" => Self::Lease,
            "rollouts" => Self::Rollout,
            _ => Self::Other,
        }
    }
}

/// What a call does.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum Action {
    /// Reads an object.
    Read,
    /// Writes an object on a condition.
    Update,
    /// Waits for a newer version.
    Watch,
    /// Lists objects.
    List,
}
