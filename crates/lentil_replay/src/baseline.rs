//! Routers that the nested-prefix router is compared with.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time,
};

use lentil_policy::{protocol, route, sidecar};
use lentil_types::{Instant, PieceHash, RunnerName, RunnerState, Table};
use rand::RngExt as _;
use xxhash_rust::xxh3;

/// `Retry-After` when no runner is available.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// A runner is full at this multiple of the mean load plus one request.
const LOAD_BOUND: f32 = 1.25;

/// How a [`Baseline`] picks a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Round robin over the runners.
    RoundRobin,
    /// The runner with the fewest requests in flight from this entry.
    LeastLoaded,
    /// The runner that the first piece hashes to, or the next that is not full.
    PrefixHash,
}

#[derive(Clone, Debug)]
struct Row {
    info: route::RunnerInfo,
    load: Option<(Instant, protocol::Load)>,
    in_flight: u32,
}

/// A router that uses neither nested prefixes nor bids.
#[derive(Debug)]
pub struct Baseline {
    pick: Pick,
    rows: Table<RunnerName, Row>,
    planned: usize,
}

impl Baseline {
    /// A router without runners.
    pub fn new(pick: Pick) -> Self {
        Self {
            pick,
            rows: Table::new(),
            planned: 0,
        }
    }

    fn pick<'a>(
        &'a self,
        rows: &[&'a Row],
        piece: Option<PieceHash>,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a Row> {
        match (self.pick, piece) {
            (Pick::RoundRobin, _) => rows.get(self.planned % rows.len().max(1)).copied(),
            (Pick::PrefixHash, Some(piece)) => {
                let total: u32 = rows.iter().map(|row| row.in_flight).sum();
                let bound = total as f32 / rows.len().max(1) as f32 * LOAD_BOUND + 1.0;
                let mut rows = rows.to_vec();
                rows.sort_by_key(|row| xxh3::xxh3_64_with_seed(row.info.name.as_bytes(), piece.0));
                let below_bound = rows.iter().find(|row| (row.in_flight as f32) < bound);
                below_bound.or(rows.first()).copied()
            }
            _ => {
                let least = rows.iter().map(|row| row.in_flight).min()?;
                let least: Vec<_> = rows.iter().filter(|row| row.in_flight == least).collect();
                Some(least[rng.random_range(0..least.len())])
            }
        }
    }
}

impl route::RoutePolicy for Baseline {
    fn set_runners(&mut self, _now: Instant, runners: &[route::RunnerInfo]) {
        let row = |info: &route::RunnerInfo| Row {
            info: info.clone(),
            load: None,
            in_flight: 0,
        };
        let rows = runners.iter().map(|info| (info.name.clone(), row(info)));
        self.rows = rows.collect();
    }

    fn on_load(&mut self, now: Instant, runner: &RunnerName, load: &protocol::Load) {
        if let Some(row) = self.rows.get_mut(runner) {
            row.load = Some((now, *load));
        }
    }

    fn plan(
        &mut self,
        now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        rng: &mut dyn rand::Rng,
    ) -> route::Plan {
        self.planned += 1;
        let is_live = |row: &&Row| {
            let state = row.load.map(|(at, load)| (at, load.state));
            state.is_none_or(|(at, state)| {
                state == RunnerState::Live || now.since(at) >= RETRY_AFTER
            })
        };
        let rows: Vec<_> = self
            .rows
            .values()
            .filter(|row| row.info.service == work.service && !exclude.contains(&row.info.name))
            .filter(is_live)
            .collect();
        match self.pick(&rows, work.pieces.first().copied(), rng) {
            Some(row) => route::Plan::Direct {
                name: row.info.name.clone(),
                boot: None,
            },
            None => route::Plan::Refuse { retry: RETRY_AFTER },
        }
    }

    fn choose(
        &mut self,
        _now: Instant,
        _offer: &protocol::Offer,
        _asked: &[RunnerName],
        _bids: &[route::RunnerBid],
    ) -> route::Choice {
        route::Choice::Refuse { retry: RETRY_AFTER }
    }

    fn on_dispatch(&mut self, _now: Instant, runner: &RunnerName, _work: &protocol::Work) {
        if let Some(row) = self.rows.get_mut(runner) {
            row.in_flight += 1;
        }
    }

    fn on_verdict(
        &mut self,
        _now: Instant,
        runner: &RunnerName,
        _work: &protocol::Work,
        _verdict: route::AttemptVerdict,
    ) {
        if let Some(row) = self.rows.get_mut(runner) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    fn dump(&self) -> Vec<String> {
        Vec::new()
    }
}

/// The policies of a replay's sidecars, shared with the [`Oracle`].
pub type Sidecars = Arc<Mutex<Table<RunnerName, sidecar::SidecarPolicy>>>;

/// Reads every runner's cache and queue without delay and picks the cheapest
/// runner. The upper bound for other routers.
pub struct Oracle {
    cost: route::Cost,
    sidecars: Sidecars,
    runners: Vec<route::RunnerInfo>,
}

impl Oracle {
    /// A router that reads the state of `sidecars`.
    pub fn new(cost: route::Cost, sidecars: Sidecars) -> Self {
        Self {
            cost,
            sidecars,
            runners: Vec::new(),
        }
    }
}

impl route::RoutePolicy for Oracle {
    fn set_runners(&mut self, _now: Instant, runners: &[route::RunnerInfo]) {
        self.runners = runners.to_vec();
    }

    fn on_load(&mut self, _now: Instant, _runner: &RunnerName, _load: &protocol::Load) {}

    fn plan(
        &mut self,
        now: Instant,
        work: &protocol::Work,
        _exclude: &[RunnerName],
        rng: &mut dyn rand::Rng,
    ) -> route::Plan {
        let offer = protocol::Offer {
            id: lentil_types::AttemptId::default(),
            work: work.clone(),
            budget: time::Duration::MAX,
        };
        let sidecars = self.sidecars.lock().unwrap_or_else(PoisonError::into_inner);
        let mut best: Option<(f64, u32, &RunnerName)> = None;
        for info in self
            .runners
            .iter()
            .filter(|info| info.service == work.service)
        {
            let Some(sidecar) = sidecars.get(&info.name) else {
                continue;
            };
            let bid = sidecar.bid(now, &offer);
            if bid.load.state != RunnerState::Live {
                continue;
            }
            let cost = self.cost.of(work, bid.cached, bid.wait);
            // Equal costs go to the runner with the fewest requests.
            let draw = (bid.load.running + bid.load.queued) * 1_024 + rng.random_range(0..1_024);
            if best.is_none_or(|(least, other, _)| (cost, draw) < (least, other)) {
                best = Some((cost, draw, &info.name));
            }
        }
        match best {
            Some((_, _, name)) => route::Plan::Direct {
                name: name.clone(),
                boot: None,
            },
            None => route::Plan::Refuse { retry: RETRY_AFTER },
        }
    }

    fn choose(
        &mut self,
        _now: Instant,
        _offer: &protocol::Offer,
        _asked: &[RunnerName],
        _bids: &[route::RunnerBid],
    ) -> route::Choice {
        route::Choice::Refuse { retry: RETRY_AFTER }
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
