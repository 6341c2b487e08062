//! Purposes and actions of calls to the store.

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
    /// The operators' configuration.
    Config,
    /// Claims of non-idempotent calls.
    Claim,
    /// Requests that crash engines.
    Poison,
    /// Leases of controllers.
    Lease,
    /// Progress of rollouts.
    Rollout,
    /// Anything else.
    Other,
}

impl Purpose {
    /// Purpose of this kind of object.
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

/// The operation of a call to the store.
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
    /// Writes an object if it has the expected version.
    Update,
    /// Waits for a newer version.
    Watch,
    /// Lists the objects of a kind.
    List,
}
