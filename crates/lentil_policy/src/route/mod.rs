//! Routing: chooses the runner that serves a request.

mod cost;
mod health;
mod homes;
mod last_holders;
mod nested;
mod request_counts;

use std::time;

use lentil_config::Objective;
use lentil_types::{Instant, RunnerName, ServiceName};

use crate::protocol;

pub use cost::Cost;
pub use health::HealthSettings;
pub use nested::{Nested, Settings as NestedSettings};

/// A runner from the configuration and the instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Name, unique among all runners.
    pub name: RunnerName,
    /// Service that it serves.
    pub service: ServiceName,
    /// Data centre that it is in.
    pub place: lentil_types::PlaceName,
}

/// Decision before there are bids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Send it to this runner without asking for bids.
    Direct {
        /// The runner.
        name: RunnerName,
        /// Boot that holds the prompt's prefix; `None` if any will do.
        boot: Option<lentil_types::BootId>,
    },
    /// Ask these runners for bids and choose among them.
    Ask(Vec<RunnerName>),
    /// No runner can take it.
    Refuse {
        /// Retry-after hint for the caller.
        retry: time::Duration,
    },
}

/// A bid and the runner that made it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerBid {
    /// The runner.
    pub runner: RunnerName,
    /// Its bid.
    pub bid: protocol::Bid,
}

/// Decision once the bids are in or timed out.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this runner.
    Runner {
        /// The runner.
        name: RunnerName,
        /// Boot of the engine that made the bid; `None` without a bid.
        boot: Option<lentil_types::BootId>,
    },
    /// Bids came in, but none from a runner that takes work.
    Refuse {
        /// Retry-after hint for the caller.
        retry: time::Duration,
    },
}

/// Result of an attempt, for the runner's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptVerdict {
    /// The answer was complete.
    Good,
    /// The runner refused it; not counted as a failure.
    Refused,
    /// It broke off, timed out or could not reach the runner.
    Bad,
}

/// Chooses runners, and learns from load reports, dispatches and verdicts.
pub trait RoutePolicy: Send {
    /// Replaces the known runners. Those that stay keep their learned state.
    fn set_runners(&mut self, now: Instant, runners: &[RunnerInfo]);

    /// Sets the market's objective. Policies without a trade-off ignore it.
    fn set_objective(&mut self, _objective: Objective) {}

    /// Takes in a runner's load report.
    fn on_load(&mut self, now: Instant, runner: &RunnerName, load: &protocol::Load);

    /// Plans a request. `exclude` lists runners at which it already failed.
    fn plan(
        &mut self,
        now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        rng: &mut dyn rand::Rng,
    ) -> Plan;

    /// Chooses among the bids of the runners in [`Plan::Ask`]. Any may be
    /// absent.
    fn choose(
        &mut self,
        now: Instant,
        offer: &protocol::Offer,
        asked: &[RunnerName],
        bids: &[RunnerBid],
    ) -> Choice;

    /// Records that a request was sent to a runner.
    fn on_dispatch(&mut self, now: Instant, runner: &RunnerName, work: &protocol::Work);

    /// Records the end of an attempt at a runner.
    fn on_verdict(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        work: &protocol::Work,
        verdict: AttemptVerdict,
    );

    /// Learned state for diagnostics, one line per runner.
    fn dump(&self) -> Vec<String>;
}
