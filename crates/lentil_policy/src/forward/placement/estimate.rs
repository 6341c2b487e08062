//! Estimates the cost of a request at each runner.

use std::{net, time};

use lentil_types::{Instant, Tokens, WeightsVersion};

use super::{
    Context, Refusal, Requirements, Settings,
    load_estimate::LoadEstimate,
    reserve::Reserve,
    shared_prefix,
    sources::{Sources, sources},
};
use crate::forward::{
    routing,
    runners::{self, RequestCost, Runner, SegmentId},
    save_budget, target_weights,
};

/// An eligible runner with its expected cost.
pub(super) struct Candidate<'a> {
    pub(super) runner: &'a Runner,
    pub(super) request_cost: RequestCost,
    pub(super) version: Option<WeightsVersion>,
    pub(super) source: Option<net::SocketAddr>,
    pub(super) prefills: bool,
    /// Time that the runner needs for its prompt backlog, in milliseconds.
    backlog_ms: f64,
    /// Expected time to the first byte, in milliseconds.
    pub(super) expected_ms: f64,
    /// Expected time plus penalties, in milliseconds.
    pub(super) cost: f64,
}

/// How a runner would obtain the KV cache of a prompt.
#[derive(Default)]
struct PromptPlan {
    /// Tokens that it must compute.
    uncached: Tokens,
    /// Time to fetch the shared prefix, in milliseconds.
    fetch_ms: f64,
    /// Runner or store to fetch it from.
    source: Option<net::SocketAddr>,
    /// Whether it must prefill a prefix that no runner is known to hold.
    prefills: bool,
    /// Cost besides the time, in milliseconds.
    penalty: f64,
}

/// Computes the cost of one request at each runner.
pub(super) struct Estimator<'a> {
    now: Instant,
    settings: &'a Settings,
    engine: Option<&'a routing::Engine>,
    requirements: &'a Requirements<'a>,
    /// Tokens of the whole prompt.
    tokens: Tokens,
    /// The shared prefix and its tokens.
    segment: Option<(SegmentId, Tokens)>,
    sources: Vec<Sources<'a>>,
    reserve: Reserve,
    load: LoadEstimate,
}

impl<'e> Estimator<'e> {
    pub(super) fn new(
        context: Context<'e>,
        requirements: &'e Requirements<'_>,
        eligible: &[&'e Runner],
    ) -> Self {
        let Context {
            now,
            settings,
            runners,
            engine,
        } = context;
        let segment = shared_prefix(settings, requirements.segments);
        let reserve = Reserve::new(runners, requirements);
        Self {
            now,
            settings,
            engine,
            requirements,
            tokens: requirements
                .segments
                .iter()
                .map(|(_, tokens)| *tokens)
                .sum(),
            segment,
            sources: segment.map_or_else(Vec::new, |(id, _)| {
                sources(id, eligible, requirements, &reserve)
            }),
            reserve,
            load: LoadEstimate::new(now, settings, eligible),
        }
    }

    pub(super) fn candidate<'a>(&self, runner: &'a Runner) -> Candidate<'a> {
        let Self {
            settings,
            requirements,
            ..
        } = self;
        let plan = self.prompt_plan(runner);
        let load = self.load.occupancy(self.now, runner);
        let slots = f64::from(runner.registration.slots.max(1));
        let queued = (load - (slots - 1.0)).max(0.0);
        let rate = settings.prefill_rate;
        let backlog_ms = runner.backlog(self.now, rate).0 as f64 / rate;
        let wait = backlog_ms + load * settings.per_request + queued * settings.per_queued;
        let memory_cost = runner.overcommitment(self.tokens).0 as f64 / 1e3 * settings.per_memory;
        let compute = plan.uncached.0 as f64 / rate;
        let slowness = runner.slowness.max(1.0);
        let expected_ms = (wait + compute + plan.fetch_ms) * slowness;
        Candidate {
            runner,
            request_cost: RequestCost {
                uncached: plan.uncached,
                memory: self.tokens,
                sent_at: self.now,
            },
            version: requirements.model.and_then(|model| runner.version(model)),
            source: plan.source,
            prefills: plan.prefills,
            backlog_ms: backlog_ms * slowness,
            expected_ms,
            cost: expected_ms + memory_cost + plan.penalty + self.penalty(runner),
        }
    }

    /// How a runner would obtain the prompt.
    fn prompt_plan(&self, runner: &Runner) -> PromptPlan {
        let whole = PromptPlan {
            uncached: self.tokens,
            ..PromptPlan::default()
        };
        let Some((_, shared)) = self.segment else {
            return whole;
        };
        let version = self
            .requirements
            .model
            .and_then(|model| runner.version(model));
        let mut sources = self.sources.iter();
        let Some(sources) = sources.find(|sources| Some(sources.version) == version) else {
            return whole;
        };
        let unshared = self.tokens.saturating_sub(shared);
        // A segment in prefill is cached by the time that the request is scheduled.
        if runner.segments.holds(sources.key) || runner.is_prefilling(sources.key) {
            return PromptPlan {
                uncached: unshared,
                ..PromptPlan::default()
            };
        }
        if let Some(holder) = sources.holder {
            let rate = self.engine.map_or(0.0, |engine| engine.link_rate);
            return self.fetch_plan(unshared, shared, holder.registration.address, rate);
        }
        if let Some(store) = self.requirements.store
            && store.keys.binary_search(&sources.key).is_ok()
        {
            return self.fetch_plan(unshared, shared, store.info.address, store.info.link_rate);
        }
        let home_rank = sources.home_rank(runner);
        PromptPlan {
            prefills: true,
            source: self.likely_source(sources, home_rank),
            penalty: match (sources.is_prefilling, home_rank) {
                (true, _) => self.settings.duplicate_penalty,
                (false, Some(0)) => 0.0,
                (false, Some(_)) => self.settings.secondary_penalty,
                (false, None) => self.settings.nonhome_penalty,
            },
            ..whole
        }
    }

    /// Where a runner looks for a segment that no runner is known to hold before it
    /// prefills it: status arrives late, above all in a large fleet, and a failed
    /// lookup costs a runner a millisecond.
    fn likely_source(
        &self,
        sources: &Sources<'_>,
        home_rank: Option<usize>,
    ) -> Option<net::SocketAddr> {
        let other = |rank: usize| {
            sources
                .homes
                .get(rank)
                .map(|home| home.registration.address)
        };
        match (home_rank, self.requirements.store_address) {
            (Some(0), Some(store)) if self.requirements.store.is_none() => Some(store),
            (Some(0), _) => other(1),
            _ => other(0),
        }
    }

    /// A prompt of which `shared` tokens are fetched over a link of `rate` bytes per
    /// second.
    fn fetch_plan(
        &self,
        unshared: Tokens,
        shared: Tokens,
        source: net::SocketAddr,
        rate: f64,
    ) -> PromptPlan {
        let bytes = self
            .engine
            .map_or(0.0, |engine| save_budget::segment_bytes(engine, shared));
        PromptPlan {
            uncached: unshared,
            fetch_ms: bytes / rate.max(1.0) * 1e3,
            source: Some(source),
            prefills: false,
            penalty: self.settings.fetch_penalty,
        }
    }

    /// Runners that may get the request. A long prompt waits until one has a small
    /// backlog, and leaves reserved runners to short requests.
    pub(super) fn admissible<'a>(
        &self,
        all: Vec<Candidate<'a>>,
    ) -> Result<Vec<Candidate<'a>>, Refusal> {
        let is_long =
            |candidate: &Candidate<'_>| candidate.request_cost.uncached >= runners::LONG_PROMPT;
        if self.requirements.model.is_none()
            || self.requirements.only_runner.is_some()
            || !all.iter().any(is_long)
        {
            return Ok(all);
        }
        let is_unreserved = |candidate: &Candidate<'_>| !self.reserve.contains(candidate.runner);
        let has_unreserved = all.iter().any(is_unreserved);
        let backlogs = all.iter().map(|candidate| candidate.backlog_ms);
        let least = backlogs.min_by(f64::total_cmp).unwrap_or(0.0);
        let may_take = |candidate: &Candidate<'_>| {
            let is_allowed = is_unreserved(candidate) || !has_unreserved;
            is_allowed && candidate.backlog_ms <= self.backlog_limit(candidate)
        };
        let admissible: Vec<_> = all.into_iter().filter(may_take).collect();
        if admissible.is_empty() {
            let wait = (least - self.settings.max_backlog).max(0.0) / 1e3;
            return Err(Refusal::Busy {
                wait: time::Duration::from_secs_f64(wait),
            });
        }
        Ok(admissible)
    }

    /// Longest backlog, in milliseconds, of a runner that may get the request. One
    /// that holds or is prefilling the shared prefix may have as much more as
    /// prefilling it elsewhere would take.
    fn backlog_limit(&self, candidate: &Candidate<'_>) -> f64 {
        let is_cached = !candidate.prefills && candidate.source.is_none();
        let saved = self
            .segment
            .filter(|_| is_cached)
            .map_or(0, |(_, tokens)| tokens.0);
        self.settings.max_backlog + saved as f64 / self.settings.prefill_rate
    }

    /// Homes of the shared prefix, primary home first.
    pub(super) fn homes(&self) -> impl Iterator<Item = &'e Runner> {
        self.sources
            .iter()
            .flat_map(|sources| sources.homes.iter().copied())
    }

    /// Penalties of a runner besides its expected time, in milliseconds.
    fn penalty(&self, runner: &Runner) -> f64 {
        let Self {
            settings,
            requirements,
            ..
        } = self;
        let silence = runner.silence(self.now).as_secs_f64() * 1e3;
        let mut penalty = (silence - settings.silence_allowance).max(0.0);
        if runner.registration.place != *requirements.place {
            penalty += settings.remote_penalty
                + requirements.body_bytes as f64 / 1e3 * settings.per_kilobyte;
        }
        let is_short = requirements.model.is_some() && self.segment.is_none();
        if is_short && !self.reserve.is_empty() && !self.reserve.contains(runner) {
            penalty += settings.mixed_penalty;
        }
        let age = runner.status_age(self.now);
        if self.segment.is_some() && age.is_none_or(|age| age > settings.stale_age) {
            penalty += settings.stale_penalty;
        }
        let has_old_weights = requirements.model.is_some_and(|model| {
            let own = runner.version(model).unwrap_or_default();
            let since = target_weights::outdated_since(requirements.targets, own);
            since.is_some_and(|since| self.now.since(since) >= settings.old_grace)
        });
        if has_old_weights {
            penalty += settings.weights_penalty;
        }
        penalty
    }
}
