//! Nested prefix hashing, with bids.

use std::time;

use lentil_config::Objective;
use lentil_types::{BootId, Instant, PlaceName, RunnerName, RunnerState, ServiceName, Table};
use rand::RngExt as _;
use xxhash_rust::xxh3;

use crate::{protocol, route};

use super::{
    health::{Health, HealthSettings},
    homes,
    last_holders::{Holder, LastHolders},
    request_counts::RequestCounts,
};

/// Settings of [`Nested`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Cost model for bids.
    pub cost: route::Cost,
    /// Own data centre, preferred at equal cost.
    pub place: Option<PlaceName>,
    /// Asks for bids; if false, uses the first home that is not full.
    pub uses_bids: bool,
    /// Homes asked for bids.
    pub ask_count: usize,
    /// Homes of a prefix, as a multiple of its share of traffic times runners.
    pub spread: f32,
    /// Requests added to the total, so that a new prefix has a small share.
    pub prior_requests: f32,
    /// A runner with more requests than this multiple of the mean, plus 1, is full.
    pub load_bound: f32,
    /// Age up to which a load report or known holder is used without asking.
    pub fresh_for: time::Duration,
    /// Half-life of request counts, and age up to which a holder is asked.
    pub half_life: time::Duration,
    /// Cost added to a runner in another data centre.
    pub remote_cost: time::Duration,
    /// Ejection and slow start.
    pub health: HealthSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cost: route::Cost::default(),
            place: None,
            uses_bids: true,
            ask_count: 3,
            spread: 1.25,
            prior_requests: 20.0,
            load_bound: 1.25,
            fresh_for: time::Duration::from_secs(2),
            half_life: time::Duration::from_secs(10),
            remote_cost: time::Duration::from_millis(1),
            health: HealthSettings::default(),
        }
    }
}

/// Retry-after hint when no runner takes work.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// A runner that was not live is tried again this long after its last report.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(1);
/// A piece with at most this many recent requests, including the planned one,
/// is assumed uncached.
const MAX_COLD_COUNT: f32 = 1.0;

#[derive(Clone, Debug)]
struct Row {
    info: route::RunnerInfo,
    seed: u64,
    /// Last load report and its arrival.
    load: Option<(Instant, protocol::Load)>,
    /// Requests sent since the last load report.
    sent_since_load: u32,
    /// Requests in flight from this router.
    in_flight: u32,
    health: Health,
}

impl Row {
    fn new(info: &route::RunnerInfo) -> Self {
        Self {
            info: info.clone(),
            seed: xxh3::xxh3_64(info.name.as_bytes()),
            load: None,
            sent_since_load: 0,
            in_flight: 0,
            health: Health::default(),
        }
    }

    fn takes_work(&self, now: Instant) -> bool {
        let Some((reported_at, load)) = &self.load else {
            return true;
        };
        load.state == RunnerState::Live || now.since(*reported_at) >= PROBE_AFTER
    }

    /// Whether it should take work soon.
    fn is_joining(&self) -> bool {
        let is_joining = |(_, load): &(Instant, protocol::Load)| load.state == RunnerState::Joining;
        self.load.as_ref().is_some_and(is_joining)
    }

    /// Estimated requests queued or running.
    fn outstanding(&self) -> u32 {
        let reported = self.load.map_or(0, |(_, load)| load.queued + load.running);
        (reported + self.sent_since_load).max(self.in_flight)
    }

    /// Whether a recent report had an empty queue.
    fn is_idle(&self, now: Instant, fresh_for: time::Duration) -> bool {
        let is_idle = |(reported_at, load): &(Instant, protocol::Load)| {
            load.queued == 0 && now.since(*reported_at) < fresh_for
        };
        self.load.as_ref().is_some_and(is_idle)
    }
}

/// Candidate runners of a service.
struct Eligible {
    nodes: Vec<homes::Node>,
    /// Mean outstanding requests, ejected runners included.
    mean: f32,
}

/// Routes by nested prefix hashing. Sends directly to a runner known to be best;
/// otherwise asks the prompt's homes, found without shared state, for bids.
#[derive(Debug)]
pub struct Nested {
    settings: Settings,
    /// Sorted by name.
    rows: Vec<Row>,
    /// Indices into `rows`, per service.
    services: Table<ServiceName, Vec<usize>>,
    counts: RequestCounts,
    holders: LastHolders,
}

impl Nested {
    /// A policy without runners.
    pub fn new(settings: Settings) -> Self {
        Self {
            counts: RequestCounts::new(settings.half_life),
            holders: LastHolders::new(),
            rows: Vec::new(),
            services: Table::new(),
            settings,
        }
    }

    fn find(&self, name: &RunnerName) -> Option<usize> {
        self.rows
            .binary_search_by(|row| row.info.name.cmp(name))
            .ok()
    }

    fn row_mut(&mut self, name: &RunnerName) -> Option<&mut Row> {
        let index = self.find(name)?;
        Some(&mut self.rows[index])
    }

    /// Runners of a service that take work or, if none do, those that are
    /// joining.
    fn eligible(&self, now: Instant, service: &ServiceName, exclude: &[RunnerName]) -> Eligible {
        let eligible = self.eligible_where(now, service, exclude, |row| row.takes_work(now));
        if eligible.nodes.is_empty() {
            return self.eligible_where(now, service, exclude, Row::is_joining);
        }
        eligible
    }

    /// Leaves out ejected runners unless they are more than half.
    fn eligible_where(
        &self,
        now: Instant,
        service: &ServiceName,
        exclude: &[RunnerName],
        may_take: impl Fn(&Row) -> bool,
    ) -> Eligible {
        let of_service = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut nodes = Vec::with_capacity(of_service.len());
        let mut outstanding = 0;
        let mut ejected = 0;
        for &index in of_service {
            let row = &self.rows[index];
            let is_excluded = !exclude.is_empty() && exclude.contains(&row.info.name);
            if is_excluded || !may_take(row) {
                continue;
            }
            ejected += usize::from(row.health.is_ejected(now));
            outstanding += row.outstanding();
            nodes.push(homes::Node {
                row: index,
                seed: row.seed,
            });
        }
        let mean = outstanding as f32 / nodes.len().max(1) as f32;
        if ejected * 2 <= nodes.len() {
            nodes.retain(|node| !self.rows[node.row].health.is_ejected(now));
        }
        Eligible { nodes, mean }
    }

    /// Number of homes of a piece among `runners`.
    fn home_count(&self, now: Instant, piece: lentil_types::PieceHash, runners: usize) -> usize {
        let share =
            self.counts.count(now, piece) / (self.counts.total(now) + self.settings.prior_requests);
        (share * runners as f32 * self.settings.spread).ceil() as usize
    }

    fn is_full(&self, now: Instant, index: usize, mean: f32) -> bool {
        let row = &self.rows[index];
        let is_over = row.outstanding() as f32 > mean * self.settings.load_bound + 1.0;
        is_over || row.in_flight >= row.health.in_flight_limit(now, &self.settings.health)
    }

    /// The recent holder of the longest known prefix, if its queue is empty and
    /// a longer one elsewhere is unlikely.
    fn known_best(
        &self,
        now: Instant,
        work: &protocol::Work,
        eligible: &Eligible,
    ) -> Option<(usize, BootId)> {
        let (depth, holder) = self.holders.longest_match(&work.pieces)?;
        let row = self.rows.get(holder.row)?;
        let is_known = now.since(holder.sent_at) < self.settings.fresh_for
            && row.health.boot() == Some(holder.boot)
            && eligible.nodes.iter().any(|node| node.row == holder.row);
        let rest_is_cold = match work.pieces.get(depth) {
            Some(next) => self.counts.count(now, *next) <= MAX_COLD_COUNT,
            None => true,
        };
        let is_free = row.is_idle(now, self.settings.fresh_for)
            && !self.is_full(now, holder.row, eligible.mean);
        (is_known && rest_is_cold && is_free).then_some((holder.row, holder.boot))
    }

    /// The last holder, the homes, and the less loaded of two random runners.
    fn runners_to_ask(
        &self,
        now: Instant,
        work: &protocol::Work,
        eligible: &Eligible,
        rng: &mut dyn rand::Rng,
    ) -> Vec<usize> {
        let is_eligible = |index: usize| eligible.nodes.iter().any(|node| node.row == index);
        let holder = self.holders.longest_match(&work.pieces);
        let holder =
            holder.filter(|(_, holder)| now.since(holder.sent_at) < self.settings.half_life);
        let mut found: Vec<usize> = holder.map(|(_, holder)| holder.row).into_iter().collect();
        found.retain(|&index| is_eligible(index));
        for node in eligible.nodes.iter().take(self.settings.ask_count) {
            if !found.contains(&node.row) {
                found.push(node.row);
            }
        }
        if let Some(index) = self
            .less_loaded(eligible, rng)
            .filter(|index| !found.contains(index))
        {
            found.push(index);
        }
        found
    }

    /// The less loaded of two random runners.
    fn less_loaded(&self, eligible: &Eligible, rng: &mut dyn rand::Rng) -> Option<usize> {
        let count = eligible.nodes.len();
        if count == 0 {
            return None;
        }
        let mut draw = || eligible.nodes[rng.random_range(0..count)].row;
        let (a, b) = (draw(), draw());
        let is_b_lighter = self.rows[b].outstanding() < self.rows[a].outstanding();
        Some(if is_b_lighter { b } else { a })
    }

    fn direct(&self, index: usize, boot: Option<BootId>) -> route::Plan {
        route::Plan::Direct {
            name: self.rows[index].info.name.clone(),
            boot,
        }
    }

    /// The first home that is not full, or else the first.
    fn first_free(&self, now: Instant, eligible: &Eligible) -> Option<usize> {
        let free = eligible
            .nodes
            .iter()
            .take(self.settings.ask_count)
            .find(|node| !self.is_full(now, node.row, eligible.mean));
        free.or(eligible.nodes.first()).map(|node| node.row)
    }

    /// Cost of a bid, in weighted seconds.
    fn cost(&self, now: Instant, work: &protocol::Work, bid: &route::RunnerBid) -> f64 {
        let base = self.settings.cost.of(work, bid.bid.cached, bid.bid.wait);
        let row = self.find(&bid.runner).map(|index| &self.rows[index]);
        let is_remote = row.is_none_or(|row| self.settings.place.as_ref() != Some(&row.info.place));
        let remote = if is_remote {
            self.settings.remote_cost.as_secs_f64()
        } else {
            0.0
        };
        let is_warming = row.is_some_and(|row| {
            row.in_flight >= row.health.in_flight_limit(now, &self.settings.health)
        });
        let warm_up = if is_warming {
            self.settings.health.warm_up.as_secs_f64()
        } else {
            0.0
        };
        base + remote + warm_up
    }
}

impl route::RoutePolicy for Nested {
    fn set_runners(&mut self, _now: Instant, runners: &[route::RunnerInfo]) {
        let mut old: Table<RunnerName, Row> = std::mem::take(&mut self.rows)
            .into_iter()
            .map(|row| (row.info.name.clone(), row))
            .collect();
        let known: Table<RunnerName, &route::RunnerInfo> = runners
            .iter()
            .map(|info| (info.name.clone(), info))
            .collect();
        self.services = Table::new();
        self.holders.clear();
        for info in known.values() {
            let kept = old.remove(info.name.as_str());
            let mut row = kept.unwrap_or_else(|| Row::new(info));
            row.info = (*info).clone();
            let of_service = self
                .services
                .get_or_insert_with(info.service.clone(), Vec::new);
            of_service.push(self.rows.len());
            self.rows.push(row);
        }
    }

    fn set_objective(&mut self, objective: Objective) {
        self.settings.cost.objective = objective;
    }

    fn on_load(&mut self, now: Instant, runner: &RunnerName, load: &protocol::Load) {
        if let Some(row) = self.row_mut(runner) {
            row.load = Some((now, *load));
            row.sent_since_load = 0;
            row.health.on_boot(now, load.boot);
        }
    }

    fn plan(
        &mut self,
        now: Instant,
        work: &protocol::Work,
        exclude: &[RunnerName],
        rng: &mut dyn rand::Rng,
    ) -> route::Plan {
        self.counts.add(now, &work.pieces);
        let mut eligible = self.eligible(now, &work.service, exclude);
        if eligible.nodes.is_empty() {
            return route::Plan::Refuse { retry: RETRY_AFTER };
        }
        if work.pieces.is_empty() {
            let index = self
                .less_loaded(&eligible, rng)
                .unwrap_or(eligible.nodes[0].row);
            return self.direct(index, None);
        }
        if let Some((index, boot)) = self.known_best(now, work, &eligible) {
            return self.direct(index, Some(boot));
        }
        let runners = eligible.nodes.len();
        let counts = |piece| self.home_count(now, piece, runners);
        homes::sort_homes(
            &mut eligible.nodes,
            &work.pieces,
            counts,
            self.settings.ask_count,
        );
        if !self.settings.uses_bids {
            let index = self
                .first_free(now, &eligible)
                .unwrap_or(eligible.nodes[0].row);
            return self.direct(index, None);
        }
        let found = self.runners_to_ask(now, work, &eligible, rng);
        let names = found
            .iter()
            .map(|&index| self.rows[index].info.name.clone());
        route::Plan::Ask(names.collect())
    }

    fn choose(
        &mut self,
        now: Instant,
        offer: &protocol::Offer,
        asked: &[RunnerName],
        bids: &[route::RunnerBid],
    ) -> route::Choice {
        let states = || bids.iter().map(|bid| bid.bid.load.state);
        let is_any_live = states().any(|state| state == RunnerState::Live);
        let required = if is_any_live {
            RunnerState::Live
        } else {
            RunnerState::Joining
        };
        let can_take = |bid: &&route::RunnerBid| bid.bid.load.state == required;
        let cost = |bid: &route::RunnerBid| self.cost(now, &offer.work, bid);
        // Equal bids go to the runner asked first.
        let asked_index =
            |bid: &route::RunnerBid| asked.iter().position(|name| *name == bid.runner);
        let best = bids.iter().filter(can_take).min_by(|a, b| {
            let by_cost = cost(a).total_cmp(&cost(b));
            by_cost.then_with(|| asked_index(a).cmp(&asked_index(b)))
        });
        match (best, asked.first()) {
            (Some(best), _) => route::Choice::Runner {
                name: best.runner.clone(),
                boot: Some(best.bid.load.boot),
            },
            (None, Some(first)) if bids.is_empty() => route::Choice::Runner {
                name: first.clone(),
                boot: None,
            },
            (None, _) => route::Choice::Refuse { retry: RETRY_AFTER },
        }
    }

    fn on_dispatch(&mut self, now: Instant, runner: &RunnerName, work: &protocol::Work) {
        let Some(index) = self.find(runner) else {
            return;
        };
        let row = &mut self.rows[index];
        row.sent_since_load += 1;
        row.in_flight += 1;
        if let Some(boot) = row.health.boot() {
            let holder = Holder {
                row: index,
                boot,
                sent_at: now,
            };
            self.holders.set(&work.pieces, holder);
        }
    }

    fn on_verdict(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        _work: &protocol::Work,
        verdict: route::AttemptVerdict,
    ) {
        let settings = self.settings.health;
        if let Some(row) = self.row_mut(runner) {
            row.in_flight = row.in_flight.saturating_sub(1);
            row.health.on_verdict(now, &settings, verdict);
        }
    }

    fn dump(&self) -> Vec<String> {
        let line = |row: &Row| {
            let state = row
                .load
                .map_or_else(String::new, |(_, load)| load.state.to_string());
            format!(
                "{} state={state} pressure={} flight={} boot={}",
                row.info.name,
                row.outstanding(),
                row.in_flight,
                row.health.boot().unwrap_or_default(),
            )
        };
        self.rows.iter().map(line).collect()
    }
}
