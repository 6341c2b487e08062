//! Instance list.

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
    /// Entry process.
    Entry,
    /// Sidecar process.
    Sidecar,
}

/// An instance, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name of its process.
    pub node: NodeName,
    /// What it runs.
    pub role: InstanceRole,
    /// Its data centre.
    pub place: PlaceName,
    /// Address of its process for peers.
    pub address: net::SocketAddr,
    /// State seen by the platform.
    pub state: RunnerState,
}

/// Lists instances. The list may lag behind the real state.
pub trait InstanceList: Send + Sync {
    /// Instances of a data centre, or all when `place` is `None`.
    fn instances<'a>(&'a self, place: Option<&'a PlaceName>) -> StoreFuture<'a, Vec<Instance>>;
}
