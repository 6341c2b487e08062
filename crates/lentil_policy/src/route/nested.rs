//! Router by nested prefixes, with bids where it is unsure.

use std::time;

use lentil_config::Objective;
use lentil_types::{BootId, Instant, PlaceName, RunnerName, RunnerState, ServiceName, Table};
use rand::RngExt as _;
use xxhash_rust::xxh3;

use crate::{protocol, route};

use super::{
    health::{Health, HealthSettings},
    heat::Heat,
    homes,
    recent::{Holder, Recent},
};

/// Settings of a [`Nested`] router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What a bid costs.
    pub cost: route::Cost,
    /// Data centre of this process; its runners come first at equal cost.
    pub place: Option<PlaceName>,
    /// Whether runners are asked for bids.
    pub uses_bids: bool,
    /// Homes that are asked.
    pub ask_count: usize,
    /// Runners for a prefix, as a multiple of its share of the traffic.
    pub spread: f32,
    /// Requests that count against a new prefix having a large share.
    pub prior_requests: f32,
    /// A runner with this multiple of the mean load, and one more, is full.
    pub load_bound: f32,
    /// How long what is known of a runner counts as recent.
    pub fresh_for: time::Duration,
    /// Time after which a count of requests has fallen to half.
    pub half_life: time::Duration,
    /// Added cost of a runner in another data centre.
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

/// Advice to a caller that no runner could take.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);
/// How long a runner that takes no work is left alone.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(1);
/// A prefix with fewer requests lately has no holder but the known one.
const COLD_HEAT: f32 = 1.0;

#[derive(Clone, Debug)]
struct Row {
    info: route::RunnerInfo,
    seed: u64,
    load: Option<(Instant, protocol::Load)>,
    /// Requests sent since the last load.
    sent: u32,
    /// Requests sent and not ended.
    flight: u32,
    health: Health,
}

impl Row {
    fn new(info: &route::RunnerInfo) -> Self {
        Self {
            info: info.clone(),
            seed: xxh3::xxh3_64(info.name.as_bytes()),
            load: None,
            sent: 0,
            flight: 0,
            health: Health::default(),
        }
    }

    fn takes_work(&self, now: Instant) -> bool {
        let Some((at, load)) = &self.load else {
            return true;
        };
        load.state == RunnerState::Live || now.since(*at) >= PROBE_AFTER
    }

    /// Whether it is expected to take work again soon.
    fn is_joining(&self) -> bool {
        let joins = |(_, load): &(Instant, protocol::Load)| load.state == RunnerState::Joining;
        self.load.as_ref().is_some_and(joins)
    }

    fn pressure(&self) -> u32 {
        let known = self.load.map_or(0, |(_, load)| load.queued + load.running);
        (known + self.sent).max(self.flight)
    }

    /// Whether it said lately that nothing waits there.
    fn is_idle(&self, now: Instant, fresh: time::Duration) -> bool {
        let idle =
            |(at, load): &(Instant, protocol::Load)| load.queued == 0 && now.since(*at) < fresh;
        self.load.as_ref().is_some_and(idle)
    }
}

/// What is known of a service when a request is planned.
struct Field {
    /// Runners that take work.
    nodes: Vec<homes::Node>,
    /// Mean load of those.
    mean: f32,
}

/// Routes by nested prefixes: a few homes are chosen without state, asked where
/// it is unsure which one is best, and sent to directly where it is sure.
#[derive(Debug)]
pub struct Nested {
    settings: Settings,
    /// Sorted by name.
    rows: Vec<Row>,
    services: Table<ServiceName, Vec<usize>>,
    heat: Heat,
    recent: Recent,
}

impl Nested {
    /// A router that knows no runner yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            heat: Heat::new(settings.half_life),
            recent: Recent::new(),
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
        let at = self.find(name)?;
        Some(&mut self.rows[at])
    }

    /// Runners of a service that may be chosen: those that take work, or, where
    /// none does, those that are joining.
    fn field(&self, now: Instant, service: &ServiceName, exclude: &[RunnerName]) -> Field {
        let field = self.field_of(now, service, exclude, |row| row.takes_work(now));
        if field.nodes.is_empty() {
            return self.field_of(now, service, exclude, Row::is_joining);
        }
        field
    }

    /// Ejected runners are left out unless more than half would be.
    fn field_of(
        &self,
        now: Instant,
        service: &ServiceName,
        exclude: &[RunnerName],
        may_take: impl Fn(&Row) -> bool,
    ) -> Field {
        let of_service = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut nodes = Vec::with_capacity(of_service.len());
        let mut pressure = 0;
        let mut ejected = 0;
        for &at in of_service {
            let row = &self.rows[at];
            let excluded = !exclude.is_empty() && exclude.contains(&row.info.name);
            if excluded || !may_take(row) {
                continue;
            }
            ejected += usize::from(row.health.is_ejected(now));
            pressure += row.pressure();
            nodes.push(homes::Node {
                row: at,
                seed: row.seed,
            });
        }
        let mean = pressure as f32 / nodes.len().max(1) as f32;
        if ejected * 2 <= nodes.len() {
            nodes.retain(|node| !self.rows[node.row].health.is_ejected(now));
        }
        Field { nodes, mean }
    }

    /// Number of homes of a piece among `runners`.
    fn home_count(&self, now: Instant, piece: lentil_types::PieceHash, runners: usize) -> usize {
        let share =
            self.heat.of(now, piece) / (self.heat.total(now) + self.settings.prior_requests);
        (share * runners as f32 * self.settings.spread).ceil() as usize
    }

    fn is_full(&self, now: Instant, at: usize, mean: f32) -> bool {
        let row = &self.rows[at];
        let over = row.pressure() as f32 > mean * self.settings.load_bound + 1.0;
        over || row.flight >= row.health.allowed(now, &self.settings.health)
    }

    /// The runner that surely is the best, if there is one.
    fn sure(&self, now: Instant, work: &protocol::Work, field: &Field) -> Option<(usize, BootId)> {
        let (depth, holder) = self.recent.deepest(&work.pieces)?;
        let row = self.rows.get(holder.row)?;
        let is_known = now.since(holder.at) < self.settings.fresh_for
            && row.health.boot() == Some(holder.boot)
            && field.nodes.iter().any(|node| node.row == holder.row);
        let rest_is_cold = match work.pieces.get(depth) {
            Some(next) => self.heat.of(now, *next) <= COLD_HEAT,
            None => true,
        };
        let is_free =
            row.is_idle(now, self.settings.fresh_for) && !self.is_full(now, holder.row, field.mean);
        (is_known && rest_is_cold && is_free).then_some((holder.row, holder.boot))
    }

    /// The runners to ask: the last known holder, the homes, and one at random.
    fn candidates(
        &self,
        now: Instant,
        work: &protocol::Work,
        field: &Field,
        rng: &mut dyn rand::Rng,
    ) -> Vec<usize> {
        let is_there = |at: usize| field.nodes.iter().any(|node| node.row == at);
        let holder = self.recent.deepest(&work.pieces);
        let holder = holder.filter(|(_, holder)| now.since(holder.at) < self.settings.half_life);
        let mut found: Vec<usize> = holder.map(|(_, holder)| holder.row).into_iter().collect();
        found.retain(|&at| is_there(at));
        for node in field.nodes.iter().take(self.settings.ask_count) {
            if !found.contains(&node.row) {
                found.push(node.row);
            }
        }
        if let Some(at) = self.lighter(field, rng).filter(|at| !found.contains(at)) {
            found.push(at);
        }
        found
    }

    /// The less loaded of two runners taken at random.
    fn lighter(&self, field: &Field, rng: &mut dyn rand::Rng) -> Option<usize> {
        let count = field.nodes.len();
        if count == 0 {
            return None;
        }
        let mut draw = || field.nodes[rng.random_range(0..count)].row;
        let (a, b) = (draw(), draw());
        let lighter = self.rows[b].pressure() < self.rows[a].pressure();
        Some(if lighter { b } else { a })
    }

    fn direct(&self, at: usize, boot: Option<BootId>) -> route::Plan {
        route::Plan::Direct {
            name: self.rows[at].info.name.clone(),
            boot,
        }
    }

    /// The first home that is not full, or the first.
    fn first_free(&self, now: Instant, field: &Field) -> Option<usize> {
        let free = field
            .nodes
            .iter()
            .take(self.settings.ask_count)
            .find(|node| !self.is_full(now, node.row, field.mean));
        free.or(field.nodes.first()).map(|node| node.row)
    }

    /// Cost of a bid, in seconds of waiting.
    fn cost(&self, now: Instant, work: &protocol::Work, bid: &route::RunnerBid) -> f64 {
        let own = self.settings.cost.of(work, bid.bid.cached, bid.bid.wait);
        let row = self.find(&bid.runner).map(|at| &self.rows[at]);
        let is_far = row.is_none_or(|row| self.settings.place.as_ref() != Some(&row.info.place));
        let far = if is_far {
            self.settings.remote_cost.as_secs_f64()
        } else {
            0.0
        };
        let is_warming =
            row.is_some_and(|row| row.flight >= row.health.allowed(now, &self.settings.health));
        let warm_up = if is_warming {
            self.settings.health.warm_up.as_secs_f64()
        } else {
            0.0
        };
        own + far + warm_up
    }
}

impl route::Router for Nested {
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
        self.recent.clear();
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
            row.sent = 0;
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
        self.heat.add(now, &work.pieces);
        let mut field = self.field(now, &work.service, exclude);
        if field.nodes.is_empty() {
            return route::Plan::Refuse { retry: RETRY_AFTER };
        }
        if work.pieces.is_empty() {
            let at = self.lighter(&field, rng).unwrap_or(field.nodes[0].row);
            return self.direct(at, None);
        }
        if let Some((at, boot)) = self.sure(now, work, &field) {
            return self.direct(at, Some(boot));
        }
        let runners = field.nodes.len();
        let counts = |piece| self.home_count(now, piece, runners);
        homes::arrange(
            &mut field.nodes,
            &work.pieces,
            counts,
            self.settings.ask_count,
        );
        if !self.settings.uses_bids {
            let at = self.first_free(now, &field).unwrap_or(field.nodes[0].row);
            return self.direct(at, None);
        }
        let found = self.candidates(now, work, &field, rng);
        let names = found.iter().map(|&at| self.rows[at].info.name.clone());
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
        let wanted = if is_any_live {
            RunnerState::Live
        } else {
            RunnerState::Joining
        };
        let can_take = |bid: &&route::RunnerBid| bid.bid.load.state == wanted;
        let cost = |bid: &route::RunnerBid| self.cost(now, &offer.work, bid);
        // Equal bids go to the runner asked first.
        let place = |bid: &route::RunnerBid| asked.iter().position(|name| *name == bid.runner);
        let best = bids.iter().filter(can_take).min_by(|a, b| {
            let by_cost = cost(a).total_cmp(&cost(b));
            by_cost.then_with(|| place(a).cmp(&place(b)))
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
        let Some(at) = self.find(runner) else {
            return;
        };
        let row = &mut self.rows[at];
        row.sent += 1;
        row.flight += 1;
        if let Some(boot) = row.health.boot() {
            let holder = Holder {
                row: at,
                boot,
                at: now,
            };
            self.recent.set(&work.pieces, holder);
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
            row.flight = row.flight.saturating_sub(1);
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
                row.pressure(),
                row.flight,
                row.health.boot().unwrap_or_default(),
            )
        };
        self.rows.iter().map(line).collect()
    }
}
