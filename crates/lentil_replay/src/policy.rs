//! The routing policies that are compared.

use lentil_config::Objective;
use lentil_policy::route;
use lentil_types::PlaceName;

use crate::{
    Model,
    baseline::{Baseline, Oracle, Pick, Sidecars},
};

/// A routing policy.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Round robin over the runners.
    RoundRobin,
    /// The runner with the fewest requests in flight.
    LeastLoaded,
    /// Hash of the first piece, with bounded load.
    PrefixHash,
    /// Nested prefixes without bids.
    NestedBlind,
    /// Nested prefixes with bids, as the daemons run it.
    Nested,
    /// Exact state of every runner without delay.
    Oracle,
}

impl Policy {
    /// Whether the policy of the daemons is compared with this one.
    pub fn is_baseline(self) -> bool {
        !matches!(self, Self::Nested | Self::Oracle)
    }

    /// A router of this policy for one entry.
    pub fn router(
        self,
        objective: Objective,
        place: Option<PlaceName>,
        sidecars: &Sidecars,
    ) -> Box<dyn route::RoutePolicy> {
        let cost = route::Cost {
            objective,
            ..Default::default()
        };
        let nested = |uses_bids| route::NestedSettings {
            cost,
            place,
            uses_bids,
            ..Default::default()
        };
        match self {
            Self::RoundRobin => Box::new(Baseline::new(Pick::RoundRobin)),
            Self::LeastLoaded => Box::new(Baseline::new(Pick::LeastLoaded)),
            Self::PrefixHash => Box::new(Baseline::new(Pick::PrefixHash)),
            Self::NestedBlind => Box::new(route::Nested::new(nested(false))),
            Self::Nested => Box::new(route::Nested::new(nested(true))),
            Self::Oracle => Box::new(Oracle::new(cost, sidecars.clone())),
        }
    }

    /// The model of this policy: the oracle gets all events, without delay.
    pub fn model(self, model: Model) -> Model {
        match self {
            Self::Oracle => Model {
                event_lag: [std::time::Duration::ZERO; 2],
                event_loss: 0.0,
                ..model
            },
            _ => model,
        }
    }
}
