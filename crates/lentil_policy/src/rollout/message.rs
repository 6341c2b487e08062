//! Events and commands of a [`Rollout`](super::Rollout).

use lentil_types::{
    BootId, FencingNumber, ModelName, RunnerName, RunnerState, ServiceName, WeightsVersion,
};

use super::Progress;

/// The desired state of a service, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The model that it runs.
    pub model: ModelName,
    /// The target weights.
    pub weights: WeightsVersion,
    /// Least number of ready runners.
    pub floor: u32,
}

/// State of a runner, as reported by its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerStatus {
    /// The service that it runs.
    pub service: ServiceName,
    /// Boot of its engine.
    pub boot: BootId,
    /// The weights that it has loaded.
    pub weights: WeightsVersion,
    /// Whether it joins, serves or leaves.
    pub state: RunnerState,
}

/// Tells one runner to load weights. Idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the controller's lease.
    pub number: FencingNumber,
    /// The model.
    pub model: ModelName,
    /// The weights to load.
    pub weights: WeightsVersion,
}

/// Why an order failed. The number is sent on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum OrderFault {
    /// The weight store is overloaded; the weights may be good.
    Throttled = 1,
    /// The engine could not load these weights.
    BadWeights = 2,
    /// The fencing number is outdated, or the sidecar does not know it yet.
    Fenced = 3,
    /// No answer arrived, so the order may be carried out.
    Lost = 4,
}

/// An input to a [`Rollout`](super::Rollout).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The desired state of every service.
    Targets(Vec<Target>),
    /// A runner's sidecar reported its state.
    RunnerStatus(RunnerName, RunnerStatus),
    /// A runner was removed from the configuration.
    Removed(RunnerName),
    /// A runner accepted an order and loads the weights.
    OrderAccepted(RunnerName),
    /// An order failed.
    OrderFailed(RunnerName, OrderFault),
    /// Progress recorded by an earlier controller.
    Recorded(ServiceName, Progress),
}

/// An action for the shell to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send an order to the runner's sidecar. Check the lease right before.
    Order(RunnerName, Order),
    /// Store the progress of a service's rollout.
    Record(ServiceName, Progress),
}
