//! The instance list.

use std::net;

use lentil_types::{NodeName, PlaceName, RunnerState};

use crate::StoreFuture;

/// What an instance runs.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum InstanceRole {
    /// An entry process.
    Entry,
    /// A sidecar process.
    Sidecar,
}

/// One instance, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// The process on it.
    pub node: NodeName,
    /// What it runs.
    pub role: InstanceRole,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Where the process listens for peers.
    pub address: net::SocketAddr,
    /// Where the platform sees it in its life.
    pub state: RunnerState,
}

/// Lists instances, with a lag.
pub trait InstanceList: Send + Sync {
    /// The instances of a data centre, or all when `place` is `None`.
    fn instances<'a>(&'a self, place: Option<&'a PlaceName>) -> StoreFuture<'a, Vec<Instance>>;
}
