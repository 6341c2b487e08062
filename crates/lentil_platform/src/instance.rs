//! The platform's list of instances.

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

/// An instance, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name of the process on it.
    pub node: NodeName,
    /// What it runs.
    pub role: InstanceRole,
    /// Its data centre.
    pub place: PlaceName,
    /// Address at which the process listens for peers.
    pub address: net::SocketAddr,
    /// Its state, as the platform sees it.
    pub state: RunnerState,
}

/// Lists instances. The list may lag behind the real state.
pub trait InstanceList: Send + Sync {
    /// Lists the instances of a data centre, or all when `place` is `None`.
    fn instances<'a>(&'a self, place: Option<&'a PlaceName>) -> StoreFuture<'a, Vec<Instance>>;
}
