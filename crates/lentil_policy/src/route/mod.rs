//! Which runner gets a request.

mod cost;
mod health;
mod heat;
mod homes;
mod nested;
mod recent;

use std::time;

use lentil_config::Objective;
use lentil_types::{Instant, RunnerName, ServiceName};

use crate::protocol;

pub use cost::Cost;
pub use health::HealthSettings;
pub use nested::{Nested, Settings as NestedSettings};

/// A runner as the configuration and the instance list give it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Name.
    pub name: RunnerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Data centre that it is in.
    pub place: lentil_types::PlaceName,
}

/// What to do with a request before there are bids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Send it to this runner without asking.
    Direct {
        /// The runner.
        name: RunnerName,
        /// The engine's life that is known to have the prompt's beginning.
        boot: Option<lentil_types::BootId>,
    },
    /// Ask these runners and choose among their bids.
    Ask(Vec<RunnerName>),
    /// No runner can take it.
    Refuse {
        /// When another try is worth while.
        retry: time::Duration,
    },
}

/// A bid and who made it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerBid {
    /// The runner.
    pub runner: RunnerName,
    /// Its bid.
    pub bid: protocol::Bid,
}

/// What to do with a request when the bids are in, or time is up for them.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send it to this runner.
    Runner {
        /// The runner.
        name: RunnerName,
        /// The engine's life that its bid named; `None` without a bid.
        boot: Option<lentil_types::BootId>,
    },
    /// Every runner that could take it is predicted to miss the deadline.
    Refuse {
        /// When another try is worth while.
        retry: time::Duration,
    },
}

/// How an attempt at a runner went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptVerdict {
    /// It answered in full.
    Good,
    /// It refused; the runner itself is well.
    Refused,
    /// It broke off, timed out or could not be reached.
    Bad,
}

/// Chooses runners. It learns from loads, bids and verdicts.
pub trait Router: Send {
    /// Replaces the set of known runners. Learned state of those that stay is
    /// kept.
    fn set_runners(&mut self, now: Instant, runners: &[RunnerInfo]);

    /// Sets what the market is run for. Routers without a trade-off ignore it.
    fn set_objective(&mut self, _objective: Objective) {}

    /// A runner said how it is.
    fn on_load(&mut self, now: Instant, runner: &RunnerName, load: &protocol::Load);

    /// Plans a request. `exclude` lists runners that already failed it.
    fn plan(
        &mut self,
        now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        rng: &mut dyn rand::Rng,
    ) -> Plan;

    /// Chooses among the bids of the runners that [`Plan::Ask`] named. Some or
    /// all may be missing.
    fn choose(
        &mut self,
        now: Instant,
        offer: &protocol::Offer,
        asked: &[RunnerName],
        bids: &[RunnerBid],
    ) -> Choice;

    /// A request was sent to a runner.
    fn on_dispatch(&mut self, now: Instant, runner: &RunnerName, work: &protocol::Work);

    /// An attempt at a runner ended.
    fn on_verdict(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        work: &protocol::Work,
        verdict: AttemptVerdict,
    );

    /// Learned state, for the dump: one line a runner.
    fn dump(&self) -> Vec<String>;
}
