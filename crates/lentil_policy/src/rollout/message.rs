//! What happens to a [`Rollout`](super::Rollout) and what it wants done.

use lentil_types::{
    BootId, FencingNumber, ModelName, RunnerName, RunnerState, ServiceName, WeightsVersion,
};

use super::Progress;

/// What the text wants of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The model that it runs.
    pub model: ModelName,
    /// The weights wanted.
    pub weights: WeightsVersion,
    /// At least this many runners stay ready.
    pub floor: u32,
}

/// What a runner's sidecar last said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerStatus {
    /// The service that it runs.
    pub service: ServiceName,
    /// The engine's life.
    pub boot: BootId,
    /// The weights that it has loaded.
    pub weights: WeightsVersion,
    /// Where it is in its life.
    pub state: RunnerState,
}

/// Loads weights at one runner. Given twice it does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number of the lease's tenure.
    pub number: FencingNumber,
    /// The model.
    pub model: ModelName,
    /// The weights.
    pub weights: WeightsVersion,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum OrderFault {
    /// The weight store has too much to do; the weights may be good.
    Throttled = 1,
    /// The engine could not load these weights.
    BadWeights = 2,
    /// The fencing number is old or the sidecar has not learned it yet.
    Fenced = 3,
    /// No answer came: it may be carried out.
    Lost = 4,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The text wants this.
    Targets(Vec<Target>),
    /// A runner's sidecar said how it is.
    RunnerStatus(RunnerName, RunnerStatus),
    /// A runner is gone from the text.
    Removed(RunnerName),
    /// An order was taken: the engine loads.
    OrderAccepted(RunnerName),
    /// An order failed.
    OrderFailed(RunnerName, OrderFault),
    /// What an earlier controller recorded.
    Recorded(ServiceName, Progress),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Give an order through the runner's sidecar. Check the lease right before.
    Order(RunnerName, Order),
    /// Record how a service's rollout goes.
    Record(ServiceName, Progress),
}
