//! State of a router: configuration, runners, queues and budgets.

use std::{net, rc, time};

use lentil_policy::{
    forward::{
        backlog, crash_blame, demand, placement, refused_callers, retries, rollout_pacer, routing,
        runners::{self, SegmentKey},
        save_budget, scheduler, stream_origins, target_weights, team_limits,
    },
    poison,
};
use lentil_types::{
    ConfigVersion, Fingerprint, Instant, ModelName, ServiceName, Table, WeightsVersion,
};

use super::{Settings, plan::Plan};

/// Shared state of a router.
pub struct State {
    routing: Option<rc::Rc<routing::Routing>>,
    /// When it was put in force.
    routing_since: Instant,
    runners: runners::Runners,
    targets: target_weights::TargetWeights,
    retry_budgets: Table<ServiceName, retries::RetryBudget>,
    retries: retries::Settings,
    /// Routers that share the retry and save budgets, this one included.
    routers: usize,
    /// Routers with lower addresses than this one.
    rank: usize,
    /// Sorted keys of the segments in each followed cache store.
    contents: Table<net::SocketAddr, Vec<SegmentKey>>,
    /// Requests waiting for a runner.
    pub scheduler: scheduler::Scheduler,
    /// Callers that this router refused.
    pub refused: refused_callers::RefusedCallers,
    demand: Table<ServiceName, demand::Demand>,
    save_budget: save_budget::SaveBudget,
    pacers: Table<ServiceName, rollout_pacer::RolloutPacer>,
    pacing: rollout_pacer::Settings,
    crashes: Table<Fingerprint, Vec<runners::Incarnation>>,
    /// Requests whose connection broke, until it is known whether the runner died.
    broken: Vec<BrokenRequest>,
    suspects: poison::Suspects,
    /// Runners found dead lately.
    dead: Vec<(Instant, runners::Incarnation)>,
    /// Segments that crash runners.
    pub blame: crash_blame::CrashBlame,
    /// Where recent streams began of which callers got events.
    pub streams: stream_origins::RecentStreams<stream_origins::Origin>,
    /// Limits of teams.
    pub limits: team_limits::TeamLimits,
    /// Questions for the origin of a stream that are being asked.
    pub lookups: Table<backlog::RequestHash, stream_origins::OriginLookup>,
}

/// Most fingerprints and broken requests kept.
const MAX_CRASHES: usize = 1_024;
/// A request may have killed its runner if the runner is found dead within this
/// time after their connection broke.
const BROKEN_RETENTION: time::Duration = time::Duration::from_secs(5);
/// An answer that ended with its connection counts as whole if its runner is not found dead
/// in this time; agents report a dead one within half of it.
const PROOF_TIME: time::Duration = time::Duration::from_secs(1);
/// Connections that end within this time may have ended together.
const SAME_MOMENT: time::Duration = time::Duration::from_millis(50);
/// Crashes after which a request is rejected as poison. Two are not enough:
/// requests that merely ran on the same runner are counted too.
const FATAL_CRASHES: usize = 3;

/// A request whose connection to a runner ended before its answer was complete, or may
/// have.
#[derive(Clone, Debug)]
pub(super) struct BrokenRequest {
    pub(super) broken_at: Instant,
    pub(super) incarnation: runners::Incarnation,
    pub(super) fingerprint: Fingerprint,
    /// Segments that it may share with other requests.
    pub(super) segments: Vec<runners::SegmentId>,
    /// When its answer began, if that ended where a whole one may, with the connection.
    pub(super) unproven_since: Option<Instant>,
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            routing: None,
            routing_since: Instant::ZERO,
            runners: runners::Runners::new(settings.runners),
            targets: target_weights::TargetWeights::default(),
            retry_budgets: Table::new(),
            retries: settings.retries,
            routers: 1,
            rank: 0,
            contents: Table::new(),
            scheduler: scheduler::Scheduler::new(settings.scheduler),
            refused: refused_callers::RefusedCallers::default(),
            demand: Table::new(),
            save_budget: save_budget::SaveBudget::new(settings.saves),
            pacers: Table::new(),
            pacing: settings.pacing,
            crashes: Table::new(),
            broken: Vec::new(),
            suspects: poison::Suspects::default(),
            dead: Vec::new(),
            blame: crash_blame::CrashBlame::new(settings.blame),
            streams: stream_origins::RecentStreams::default(),
            limits: team_limits::TeamLimits::new(settings.limits, Instant::ZERO),
            lookups: Table::new(),
        }
    }

    /// The configuration in force, once one is known.
    pub fn routing(&self) -> Option<&rc::Rc<routing::Routing>> {
        self.routing.as_ref()
    }

    /// Puts a configuration in force, with its limits of teams; `None` if it is not newer.
    pub fn set_routing(
        &mut self,
        now: Instant,
        routing: routing::Routing,
    ) -> Option<ConfigVersion> {
        let version = routing.version;
        let old = self.routing.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= version) {
            return None;
        }
        self.limits.set_teams(now, routing.teams());
        self.runners.set_services(now, routing.service_names());
        self.routing = Some(rc::Rc::new(routing));
        self.routing_since = now;
        Some(version)
    }

    /// Teams whose cache entries a request may use by the configuration in force now: it
    /// may have changed since the request arrived.
    pub(super) fn cache_group(&self, plan: &Plan) -> runners::CacheGroup {
        let routing = self.routing.as_ref().unwrap_or(&plan.routing);
        routing.cache_group(plan.team.as_ref().map(|team| &team.name))
    }

    /// How long the configuration has been in force.
    pub fn routing_age(&self, now: Instant) -> time::Duration {
        now.since(self.routing_since)
    }

    /// All known runners.
    pub fn runners(&self) -> &runners::Runners {
        &self.runners
    }

    /// Mutable access to the runners.
    pub fn runners_mut(&mut self) -> &mut runners::Runners {
        &mut self.runners
    }

    /// Sets the target weights of a model; `false` if they are not newer.
    pub fn on_target(&mut self, now: Instant, model: &ModelName, version: WeightsVersion) -> bool {
        self.targets.on_target(now, model, version)
    }

    /// Target weights of a model, and how long they are known.
    pub fn newest(
        &self,
        now: Instant,
        model: &ModelName,
    ) -> Option<(WeightsVersion, time::Duration)> {
        let (version, at) = self.targets.newest(model)?;
        Some((version, now.since(at)))
    }

    /// Target versions of a model in ascending order, and since when they are known.
    pub fn target_history(&self, model: &ModelName) -> &[(WeightsVersion, Instant)] {
        self.targets.history(model)
    }

    /// Target weights of all models.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelName, (WeightsVersion, Instant))> {
        self.targets.iter()
    }

    /// Sets the number of live routers and this one's rank. `is_reported`: whether agents
    /// have reported them lately.
    pub fn set_routers(&mut self, routers: usize, rank: usize, is_reported: bool) {
        self.routers = routers.max(1);
        self.rank = rank;
        self.runners.set_share(runners::Share {
            routers: is_reported.then_some(self.routers),
            rank,
        });
    }

    /// Routers with lower addresses than this one.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Sets the contents of a cache store; `None` if it does not answer.
    pub fn set_contents(&mut self, store: net::SocketAddr, keys: Option<Vec<SegmentKey>>) {
        match keys {
            Some(keys) => {
                self.contents.insert(store, keys);
            }
            None => {
                self.contents.remove(&store);
            }
        }
    }

    /// Whether the contents of the cache store at `address` are known.
    pub fn has_contents(&self, address: net::SocketAddr) -> bool {
        self.contents.contains(&address)
    }

    /// The configured cache stores and what is known of them.
    pub fn stores<'a>(&'a self, routing: &'a routing::Routing) -> Vec<placement::Store<'a>> {
        let stores = routing.stores.iter().map(|info| placement::Store {
            info,
            keys: self.contents.get(&info.address).map(Vec::as_slice),
        });
        stores.collect()
    }

    /// Whether the budget allows a save of `bytes`. `age`: how long the weights have
    /// been the target.
    pub fn try_save(
        &mut self,
        now: Instant,
        routing: &routing::Routing,
        bytes: f64,
        age: Option<time::Duration>,
    ) -> bool {
        let link_rate = routing.stores.iter().map(|store| store.link_rate).sum();
        self.save_budget
            .try_take(now, link_rate, bytes, age, self.routers)
    }

    /// Paces the change of a service's runners to new weights.
    pub fn pacer(&mut self, service: &ServiceName) -> &mut rollout_pacer::RolloutPacer {
        let settings = self.pacing;
        let new_pacer = || rollout_pacer::RolloutPacer::new(settings);
        self.pacers.get_or_insert_with(service.clone(), new_pacer)
    }

    /// Adds a request to the retry budget.
    pub fn on_request(&mut self, now: Instant, service: &ServiceName) {
        self.retry_budget(service).on_request(now);
    }

    /// Adds the tokens of a sent request to the demand.
    pub fn on_sent(&mut self, now: Instant, service: &ServiceName, cost: runners::RequestCost) {
        self.runners.on_demand(now, service, cost.uncached);
        let is_queued =
            self.scheduler.order() == scheduler::Order::Fair && cost.memory >= runners::LONG_PROMPT;
        if cost.uncached < runners::LONG_PROMPT && !is_queued {
            return;
        }
        let demand = self
            .demand
            .get_or_insert_with(service.clone(), demand::Demand::default);
        if is_queued {
            demand.on_queued_sent(now, cost.memory, cost.uncached);
        }
        if cost.uncached >= runners::LONG_PROMPT {
            demand.on_sent(now, cost.uncached);
        }
    }

    /// Recent demand for prompt tokens of a service.
    pub fn demand(&self, service: &ServiceName) -> demand::Demand {
        self.demand.get(service).copied().unwrap_or_default()
    }

    /// Live routers, this one included.
    pub fn routers(&self) -> usize {
        self.routers
    }

    /// Takes a retry from a service's budget.
    pub fn try_take_retry(&mut self, now: Instant, service: &ServiceName) -> bool {
        let routers = self.routers;
        self.retry_budget(service).try_take(now, routers)
    }

    /// Records that a request's connection to a runner broke. Returns whether the runner
    /// is known to be dead.
    pub(super) fn on_broken(&mut self, request: BrokenRequest) -> bool {
        let now = request.broken_at;
        let is_dead = self
            .dead
            .iter()
            .any(|(_, dead)| *dead == request.incarnation);
        self.broken
            .retain(|other| now.since(other.broken_at) <= BROKEN_RETENTION);
        if self.broken.len() < MAX_CRASHES {
            self.broken.push(request);
        }
        is_dead
    }

    /// Returns the requests whose answers have proved whole: they ended with their
    /// connection, and the runner was not found dead since.
    pub(super) fn proven(&mut self, now: Instant) -> Vec<BrokenRequest> {
        let is_proven = |request: &mut BrokenRequest| {
            let age = now.since(request.broken_at);
            request.unproven_since.is_some() && age >= PROOF_TIME
        };
        self.broken.extract_if(.., is_proven).collect()
    }

    /// Returns the requests that ran when a runner died, oldest first, and those whose
    /// answers had ended before and were whole.
    pub(super) fn on_dead(
        &mut self,
        now: Instant,
        incarnation: &runners::Incarnation,
    ) -> (Vec<BrokenRequest>, Vec<BrokenRequest>) {
        self.dead
            .retain(|(at, dead)| now.since(*at) <= BROKEN_RETENTION && dead != incarnation);
        if self.dead.len() < MAX_CRASHES {
            self.dead.push((now, incarnation.clone()));
        }
        let own = self
            .broken
            .extract_if(.., |request| request.incarnation == *incarnation);
        let recent: Vec<_> = own
            .filter(|request| now.since(request.broken_at) <= BROKEN_RETENTION)
            .collect();
        // All connections that are open end with the runner.
        let died_at = recent.iter().map(|request| request.broken_at).max();
        recent.into_iter().partition(|request| {
            let age = died_at.unwrap_or_default().since(request.broken_at);
            request.unproven_since.is_none() || age <= SAME_MOMENT
        })
    }

    /// Records a request that was running when a runner died. Returns its number of
    /// such runners.
    pub fn on_crash(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        incarnation: runners::Incarnation,
    ) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.keys().next().copied();
            oldest.and_then(|oldest| self.crashes.remove(&oldest));
        }
        let incarnations = self.crashes.get_or_insert_with(fingerprint, Vec::new);
        if !incarnations.contains(&incarnation) {
            incarnations.push(incarnation);
        }
        let count = incarnations.len();
        if count >= FATAL_CRASHES {
            self.suspects
                .learn(now, fingerprint, poison::POISON_CRASHES);
        }
        count
    }

    /// Clears the crashes of a request that completed.
    pub fn on_survived(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Runners that died while the request was running.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.crashes.get(&fingerprint).map_or(0, Vec::len)
    }

    /// Whether a request is rejected because of crashes.
    pub fn is_poison(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.suspects.is_poison(now, fingerprint)
    }

    fn retry_budget(&mut self, service: &ServiceName) -> &mut retries::RetryBudget {
        let settings = self.retries;
        let new_budget = || retries::RetryBudget::new(settings);
        self.retry_budgets
            .get_or_insert_with(service.clone(), new_budget)
    }
}
