//! A router that asks two random runners for bids.

use std::time;

use lentil_policy::{protocol, route};
use lentil_types::{Instant, RunnerName};
use rand::seq::IndexedRandom as _;

/// Runners asked for a bid.
const ASKED_RUNNERS: usize = 2;
/// `Retry-After` when no runner is available.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Asks two random runners, so that every interleaving of bids, dispatches and
/// restarts occurs.
#[derive(Debug, Default)]
pub(super) struct AskTwo {
    runners: Vec<route::RunnerInfo>,
}

impl route::RoutePolicy for AskTwo {
    fn set_runners(&mut self, _now: Instant, runners: &[route::RunnerInfo]) {
        self.runners = runners.to_vec();
    }

    fn on_load(&mut self, _now: Instant, _runner: &RunnerName, _load: &protocol::Load) {}

    fn plan(
        &mut self,
        _now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        mut rng: &mut dyn rand::Rng,
    ) -> route::Plan {
        let is_eligible = |info: &&route::RunnerInfo| {
            info.service == work.service && !exclude.contains(&info.name)
        };
        let eligible: Vec<_> = self.runners.iter().filter(is_eligible).collect();
        let asked: Vec<_> = eligible
            .sample(&mut rng, ASKED_RUNNERS)
            .map(|info| info.name.clone())
            .collect();
        if asked.is_empty() {
            return route::Plan::Refuse { retry: RETRY_AFTER };
        }
        route::Plan::Ask(asked)
    }

    fn choose(
        &mut self,
        _now: Instant,
        _offer: &protocol::Offer,
        asked: &[RunnerName],
        bids: &[route::RunnerBid],
    ) -> route::Choice {
        let best = bids
            .iter()
            .min_by_key(|bid| bid.bid.load.queued + bid.bid.load.running);
        match (best, asked.first()) {
            (Some(best), _) => route::Choice::Runner {
                name: best.runner.clone(),
                boot: Some(best.bid.load.boot),
            },
            (None, Some(first)) => route::Choice::Runner {
                name: first.clone(),
                boot: None,
            },
            (None, None) => route::Choice::Refuse { retry: RETRY_AFTER },
        }
    }

    fn on_dispatch(&mut self, _now: Instant, _runner: &RunnerName, _work: &protocol::Work) {}

    fn on_verdict(
        &mut self,
        _now: Instant,
        _runner: &RunnerName,
        _work: &protocol::Work,
        _verdict: route::AttemptVerdict,
    ) {
    }

    fn dump(&self) -> Vec<String> {
        Vec::new()
    }
}
