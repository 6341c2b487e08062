//! What a router knows.

use std::{net, rc, time};

use lentil_policy::{
    forward::{placement, retries, routing, runners, save_budget, target_weights, wait_queue},
    poison,
};
use lentil_types::{
    ConfigVersion, Fingerprint, Instant, ModelName, ServiceName, Table, Tokens, WeightsVersion,
};

use super::Settings;
use crate::cache_store::Contents;

/// What a router knows.
pub struct State {
    routing: Option<rc::Rc<routing::Routing>>,
    runners: runners::Runners,
    targets: target_weights::TargetWeights,
    retry_budgets: Table<ServiceName, retries::RetryBudget>,
    retries: retries::Settings,
    /// Routers that share the retry budget, this one included.
    routers: usize,
    /// Routers before this one, in the order of their addresses.
    rank: usize,
    contents: Option<Contents>,
    /// Requests that wait for a runner.
    pub wait_queue: wait_queue::WaitQueue,
    demand: Table<ServiceName, wait_queue::Demand>,
    save_budget: save_budget::SaveBudget,
    crashes: Table<Fingerprint, Vec<runners::Incarnation>>,
    /// Requests that a runner broke off, until it is known whether it died.
    broken: Vec<(Instant, runners::Incarnation, Fingerprint)>,
    suspects: poison::Suspects,
}

/// Most fingerprints whose crashes are counted at once.
const MAX_CRASHES: usize = 1_024;
/// A runner that is found dead within this time after it broke a request off
/// died of it, or beside it.
const BROKEN_RETENTION: time::Duration = time::Duration::from_secs(5);
/// Runners that a request must have killed before it is refused. One that runs
/// beside it when a runner dies is in doubt too, so two are not enough.
const FATAL_CRASHES: usize = 3;

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            routing: None,
            runners: runners::Runners::new(settings.runners),
            targets: target_weights::TargetWeights::default(),
            retry_budgets: Table::new(),
            retries: settings.retries,
            routers: 1,
            rank: 0,
            contents: None,
            wait_queue: wait_queue::WaitQueue::default(),
            demand: Table::new(),
            save_budget: save_budget::SaveBudget::new(settings.saves),
            crashes: Table::new(),
            broken: Vec::new(),
            suspects: poison::Suspects::default(),
        }
    }

    /// The configuration in force.
    pub fn routing(&self) -> Option<&rc::Rc<routing::Routing>> {
        self.routing.as_ref()
    }

    /// Puts a configuration in force, if it is newer. `None`: it is not.
    pub fn set_routing(&mut self, routing: routing::Routing) -> Option<ConfigVersion> {
        let version = routing.version;
        let old = self.routing.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= version) {
            return None;
        }
        self.routing = Some(rc::Rc::new(routing));
        Some(version)
    }

    /// Runners.
    pub fn runners(&self) -> &runners::Runners {
        &self.runners
    }

    /// Runners, to change them.
    pub fn runners_mut(&mut self) -> &mut runners::Runners {
        &mut self.runners
    }

    /// Weights of a model were named. `false`: as new ones are known.
    pub fn on_target(&mut self, now: Instant, model: &ModelName, version: WeightsVersion) -> bool {
        self.targets.on_target(now, model, version)
    }

    /// Newest weights of a model, and since how long they are known.
    pub fn newest(
        &self,
        now: Instant,
        model: &ModelName,
    ) -> Option<(WeightsVersion, time::Duration)> {
        let (version, at) = self.targets.newest(model)?;
        Some((version, now.since(at)))
    }

    /// All named weights.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelName, &(WeightsVersion, Instant))> {
        self.targets.iter()
    }

    /// Sets how many routers there are, and how many stand before this one in
    /// the order of their addresses.
    pub fn set_routers(&mut self, routers: usize, rank: usize) {
        self.routers = routers.max(1);
        self.rank = rank;
    }

    /// Routers before this one in the order of their addresses.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Sets what the store of cache entries holds; `None`: it does not answer.
    pub fn set_contents(&mut self, contents: Option<Contents>) {
        self.contents = contents;
    }

    /// Whether it is known what the store at `address` holds.
    pub fn has_contents(&self, address: net::SocketAddr) -> bool {
        self.contents
            .as_ref()
            .is_some_and(|contents| contents.address == address)
    }

    /// The store of cache entries, where it answers.
    pub fn store<'a>(
        &'a self,
        routing: &'a routing::Routing,
    ) -> Option<placement::StoreContents<'a>> {
        let contents = self.contents.as_ref()?;
        let info = routing
            .stores
            .iter()
            .find(|store| store.address == contents.address)?;
        Some(placement::StoreContents {
            info,
            keys: &contents.keys,
        })
    }

    /// Where the runner may save the part of `tokens` that it reads.
    pub fn try_save(
        &mut self,
        now: Instant,
        routing: &routing::Routing,
        bytes: f64,
        age: Option<time::Duration>,
    ) -> Option<net::SocketAddr> {
        let address = self.contents.as_ref()?.address;
        let info = routing
            .stores
            .iter()
            .find(|store| store.address == address)?;
        let may_save = self
            .save_budget
            .try_take(now, info, bytes, age, self.routers);
        may_save.then_some(address)
    }

    /// A request for a service arrived.
    pub fn on_request(&mut self, now: Instant, service: &ServiceName) {
        self.retry_budget(service).on_request(now);
    }

    /// A request was sent that a runner has so many prompt tokens to compute for.
    pub fn on_sent(&mut self, now: Instant, service: &ServiceName, uncached: Tokens) {
        let demand = self
            .demand
            .get_or_insert_with(service.clone(), wait_queue::Demand::default);
        demand.on_sent(now, uncached.0, uncached >= runners::LONG_PROMPT);
    }

    /// What a service is asked to compute.
    pub fn demand(&self, service: &ServiceName) -> wait_queue::Demand {
        self.demand.get(service).copied().unwrap_or_default()
    }

    /// Routers that are alive, this one included.
    pub fn routers(&self) -> usize {
        self.routers
    }

    /// Takes a retry out of a service's budget.
    pub fn try_take_retry(&mut self, now: Instant, service: &ServiceName) -> bool {
        let routers = self.routers;
        self.retry_budget(service).try_take(now, routers)
    }

    /// A runner broke a request off.
    pub fn on_broken(
        &mut self,
        now: Instant,
        incarnation: &runners::Incarnation,
        fingerprint: Fingerprint,
    ) {
        let is_recent = |at: &Instant| now.since(*at) <= BROKEN_RETENTION;
        self.broken.retain(|(at, ..)| is_recent(at));
        if self.broken.len() < MAX_CRASHES {
            self.broken.push((now, incarnation.clone(), fingerprint));
        }
    }

    /// A runner died. Returns the requests that it broke off shortly before.
    pub fn on_dead(
        &mut self,
        now: Instant,
        incarnation: &runners::Incarnation,
    ) -> Vec<Fingerprint> {
        let own = self
            .broken
            .extract_if(.., |(_, other, _)| other == incarnation);
        let recent = own.filter(|(at, ..)| now.since(*at) <= BROKEN_RETENTION);
        recent.map(|(_, _, fingerprint)| fingerprint).collect()
    }

    /// A request ran when a runner died. Returns the runners that it killed.
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

    /// A request ended well: it is not what kills runners.
    pub fn on_survived(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
    }

    /// Runners that a request killed.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.crashes.get(&fingerprint).map_or(0, Vec::len)
    }

    /// Whether a request is refused because it kills runners.
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
