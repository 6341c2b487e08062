//! Estimates the cost of a request at each runner.

use std::{net, time};

use lentil_types::{Instant, PlaceName, Tokens, WeightsVersion};

use super::{
    Context, ExpectedSpeed, Refusal, Requirements, Settings, Store,
    load_estimate::LoadEstimate,
    shared_prefix,
    sources::{Homes, Sources, sources},
    store_index,
};
use crate::forward::{
    pace, routing,
    runners::{self, RequestCost, Runner, SegmentId, SegmentKey},
    save_budget, target_weights,
};

/// How much longer a transfer of KV cache takes between data centres.
const REMOTE_TRANSFER_FACTOR: f64 = 2.0;

/// An eligible runner with its expected cost.
pub(super) struct Candidate<'a> {
    pub(super) runner: &'a Runner,
    pub(super) request_cost: RequestCost,
    pub(super) version: Option<WeightsVersion>,
    pub(super) source: Option<net::SocketAddr>,
    pub(super) prefills: bool,
    pub(super) home_rank: Option<usize>,
    pub(super) store: Option<&'a Store<'a>>,
    pub(super) save_bytes: f64,
    /// Time that the runner needs for its prompt backlog, in milliseconds.
    backlog_ms: f64,
    /// Expected time until it has worked off what it has, in milliseconds.
    wait_ms: f64,
    /// Whether it is kept for short prompts.
    is_reserved: bool,
    /// Expected time to the first byte, in milliseconds.
    pub(super) expected_ms: f64,
    /// Expected time plus penalties, in milliseconds.
    pub(super) cost: f64,
    /// What the expected time is based on.
    pub(super) speed: ExpectedSpeed,
}

/// Part of a prompt's own time that the runner may need for other prompts before, so that
/// its time still says something about the runner's speed.
const MAX_WAIT_SHARE: f64 = 0.2;

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
    homes: Option<Homes<'a>>,
    load: LoadEstimate,
    /// What is learned of the speed of the service's runners.
    pace: Option<&'a pace::ServiceState>,
    /// Prompt tokens that the average runner computes per millisecond.
    rate: f64,
    /// Expected wait behind long prompts that no status has told of, at a runner that is
    /// not reserved, in milliseconds of the mean runner.
    unseen_ms: f64,
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
        let pace = runners.pace(requirements.service);
        let pace = pace.filter(|state| state.pace.is_learned() && requirements.model.is_some());
        let unseen_ms = pace.map_or(0.0, |state| unseen_wait(state, eligible));
        Self {
            now,
            pace,
            unseen_ms,
            rate: pace.map_or(settings.prefill_rate, |state| state.pace.rate()),
            settings,
            engine,
            requirements,
            tokens: requirements
                .segments
                .iter()
                .map(|(_, tokens)| *tokens)
                .sum(),
            segment,
            sources: segment.map_or_else(Vec::new, |(id, _)| sources(id, eligible, requirements)),
            homes: segment.map(|(id, _)| Homes::new(id, runners, requirements, pace)),
            load: LoadEstimate::new(now, settings, eligible),
        }
    }

    pub(super) fn candidate<'a>(&self, runner: &'a Runner) -> Candidate<'a>
    where
        'e: 'a,
    {
        let Self {
            settings,
            requirements,
            ..
        } = self;
        let version = requirements.model.and_then(|model| runner.version(model));
        let plan = self.prompt_plan(runner);
        let mut sources = self.sources.iter();
        let sources = sources.find(|sources| Some(sources.version) == version);
        let store = sources.and_then(|sources| self.store(sources.key));
        let load = self.load.occupancy(self.now, runner);
        let slots = f64::from(runner.registration.slots.max(1));
        let queued = (load - (slots - 1.0)).max(0.0);
        let rate = self.rate;
        let (speed, moment) = self.pace.map_or((1.0, 1.0), |state| {
            (state.speed(&runner.pace), runner.pace.moment(self.now))
        });
        // Where the speed is not learned, the slowness counts, which contains the waits.
        let slowness = match self.pace {
            Some(_) => moment / speed,
            None => runner.slowness.max(1.0),
        };
        let base_ms = self.pace.map_or(0.0, |state| state.pace.base_ms());
        let backlog_ms = runner.backlog(self.now, rate * speed / moment).0 as f64 / rate;
        let wait = backlog_ms + load * settings.per_request + queued * settings.per_queued;
        let memory_cost = runner.overcommitment(self.tokens).0 as f64 / 1e3 * settings.per_memory;
        let compute = base_ms + plan.uncached.0 as f64 / rate;
        let expected_ms = match self.pace {
            Some(_) => (wait + compute) * slowness + plan.fetch_ms,
            None => (wait + compute + plan.fetch_ms) * slowness,
        };
        let name = &runner.registration.incarnation.name;
        let is_reserved = self.pace.is_some_and(|state| state.is_reserved(name));
        let is_long = plan.uncached >= runners::LONG_PROMPT;
        let lane_penalty = match (is_long, is_reserved) {
            (true, true) => compute * slowness * settings.reserved_ratio,
            (false, false) => self.unseen_ms * slowness,
            _ => 0.0,
        };
        Candidate {
            runner,
            is_reserved,
            request_cost: RequestCost {
                uncached: plan.uncached,
                memory: self.tokens,
                sent_at: self.now,
            },
            version,
            source: plan.source,
            prefills: plan.prefills,
            home_rank: self.home_rank(runner),
            store: store.filter(|_| self.is_long()),
            save_bytes: store.map_or(0.0, |store| {
                self.transfer_bytes(self.tokens, &store.info.place, runner)
            }),
            backlog_ms: backlog_ms * slowness,
            wait_ms: wait * slowness,
            expected_ms,
            cost: expected_ms + memory_cost + plan.penalty + self.penalty(runner) + lane_penalty,
            speed: ExpectedSpeed {
                speed,
                moment,
                wait_ms: backlog_ms * slowness,
                waits: queued > 0.0 || backlog_ms > compute * MAX_WAIT_SHARE,
            },
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
        let prefill_ms = shared.0 as f64 / self.rate;
        // A segment in prefill is cached by the time that the request is scheduled.
        if runner.segments.holds(sources.key) || runner.is_prefilling(sources.key) {
            return PromptPlan {
                uncached: unshared,
                ..PromptPlan::default()
            };
        }
        if let Some(holder) = sources.holder {
            let rate = self.engine.map_or(0.0, |engine| engine.link_rate);
            let bytes = self.transfer_bytes(shared, &holder.registration.place, runner);
            return self.fetch_plan(shared, bytes / rate, holder.registration.address);
        }
        let store = self.store(sources.key);
        let is_held = |keys: &[SegmentKey]| keys.binary_search(&sources.key).is_ok();
        if let Some(store) = store.filter(|store| store.keys.is_some_and(is_held)) {
            let bytes = self.transfer_bytes(shared, &store.info.place, runner);
            let rate = store.info.link_rate;
            return self.fetch_plan(shared, bytes / rate, store.info.address);
        }
        let home_rank = self.home_rank(runner);
        PromptPlan {
            prefills: true,
            source: self.likely_source(sources, home_rank),
            penalty: prefill_ms
                * match (sources.is_prefilling, home_rank) {
                    (true, _) => self.settings.duplicate_ratio,
                    (false, Some(0)) => 0.0,
                    (false, Some(_)) => self.settings.secondary_ratio,
                    (false, None) => self.settings.nonhome_ratio,
                },
            ..whole
        }
    }

    /// Where a runner looks for a segment that no runner is known to hold before it
    /// prefills it; a failed lookup costs a runner a millisecond. The store may have
    /// it, unless it is known not to. Otherwise a home whose status is old, as usual
    /// in a large fleet, may have prefilled it since.
    fn likely_source(
        &self,
        sources: &Sources<'_>,
        home_rank: Option<usize>,
    ) -> Option<net::SocketAddr> {
        let is_old = |home: &Runner| {
            let age = home.status_age(self.now);
            age.is_none_or(|age| age > self.settings.stale_age)
        };
        // Short segments are not saved.
        let store = self
            .store(sources.key)
            .filter(|store| store.keys.is_none() && self.is_long());
        let has_version = |home: &Runner| {
            let model = self.requirements.model;
            model.is_some_and(|model| home.version(model) == Some(sources.version))
        };
        let mut others = self.homes().enumerate();
        let home = others.find(|(rank, home)| Some(*rank) != home_rank && has_version(home));
        let home = home.map(|(_, home)| home);
        let old_home = home.filter(|home| is_old(home) || store.is_none());
        let home_address = old_home.map(|home| home.registration.address);
        home_address.or(store.map(|store| store.info.address))
    }

    /// Whether the shared prefix is as long as a long prompt.
    fn is_long(&self) -> bool {
        self.segment
            .is_some_and(|(_, tokens)| tokens >= runners::LONG_PROMPT)
    }

    /// Rank of a runner among the homes of the shared prefix.
    pub(super) fn home_rank(&self, runner: &Runner) -> Option<usize> {
        self.homes.as_ref()?.rank(runner)
    }

    /// The store that a segment belongs to.
    fn store(&self, key: SegmentKey) -> Option<&'e Store<'e>> {
        let stores = self.requirements.stores;
        stores.get(store_index(key, stores)?)
    }

    /// Bytes that a transfer of KV cache between a runner and `place` counts for on a
    /// link.
    fn transfer_bytes(&self, tokens: Tokens, place: &PlaceName, runner: &Runner) -> f64 {
        let bytes = self
            .engine
            .map_or(0.0, |engine| save_budget::segment_bytes(engine, tokens));
        if runner.registration.place == *place {
            bytes
        } else {
            bytes * REMOTE_TRANSFER_FACTOR
        }
    }

    /// A prompt whose shared prefix of `shared` tokens is fetched within `seconds`.
    fn fetch_plan(&self, shared: Tokens, seconds: f64, source: net::SocketAddr) -> PromptPlan {
        let unshared = self.tokens.saturating_sub(shared);
        let prefill_ms = shared.0 as f64 / self.rate;
        let penalty = prefill_ms * self.settings.fetch_ratio;
        PromptPlan {
            uncached: unshared,
            fetch_ms: if seconds.is_finite() {
                seconds * 1e3
            } else {
                0.0
            },
            source: Some(source),
            prefills: false,
            penalty,
        }
    }

    /// Runners that may get the request. A long prompt waits until one has a small
    /// backlog, and leaves memory and slots to short requests.
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
        let is_open = |candidate: &Candidate<'_>| !candidate.is_reserved;
        let (open, reserved): (Vec<_>, Vec<_>) = all.into_iter().partition(is_open);
        let objective_ms = self.requirements.objective_left.as_secs_f64() * 1e3;
        let can_be_timely = |all: &[Candidate<'_>]| {
            all.iter()
                .any(|candidate| candidate.expected_ms <= objective_ms)
        };
        // The reserved ones only where they make the difference between late and on time.
        let spares_reserved =
            !open.is_empty() && (can_be_timely(&open) || !can_be_timely(&reserved));
        let mut all = open;
        if !spares_reserved {
            all.extend(reserved);
        }
        let waits = all.iter().map(|candidate| self.room_wait(candidate));
        let least = waits.min_by(f64::total_cmp).unwrap_or(0.0);
        let has_room = |candidate: &Candidate<'_>| self.room_wait(candidate) <= 0.0;
        let admissible: Vec<_> = all.into_iter().filter(has_room).collect();
        if admissible.is_empty() {
            return Err(Refusal::Busy {
                wait: time::Duration::from_secs_f64(least / 1e3),
            });
        }
        Ok(admissible)
    }

    /// Expected time until a runner has room for the prompt, in milliseconds; 0 if it
    /// has.
    fn room_wait(&self, candidate: &Candidate<'_>) -> f64 {
        let excess = (candidate.backlog_ms - self.backlog_limit(candidate)).max(0.0);
        if self.has_memory(candidate.runner) && self.has_slots(candidate.runner) {
            return excess;
        }
        // At most until it has worked off what it has.
        excess.max(candidate.wait_ms).max(self.settings.per_request)
    }

    /// Whether the prompt fits into a runner's free memory. Otherwise the runner
    /// preempts requests and computes them again. An idle one evicts what it caches,
    /// and one that can never hold the prompt refuses it at once.
    fn has_memory(&self, runner: &Runner) -> bool {
        runner.overcommitment(self.tokens) == Tokens(0)
            || runner.is_idle()
            || runner.is_too_small(self.tokens)
    }

    /// Whether enough of a runner's slots are free for short requests that follow. An
    /// urgent request that finds none preempts a long prompt, which is computed again.
    fn has_slots(&self, runner: &Runner) -> bool {
        let slots = f64::from(runner.registration.slots.max(1));
        let load = self.load.occupancy(self.now, runner);
        load < slots * self.settings.long_share || runner.is_idle()
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
        self.settings.max_backlog + saved as f64 / self.rate
    }

    /// Homes of the shared prefix, primary home first.
    fn homes(&self) -> impl Iterator<Item = &'e Runner> {
        self.homes.iter().flat_map(Homes::iter)
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
        let age = runner.status_age(self.now);
        if self.is_long() && age.is_none_or(|age| age > settings.stale_age) {
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

/// Expected wait of a short prompt behind long prompts that no status has told of: the
/// share of the time that the runners which are not reserved compute long prompts, times
/// half of such a prompt's time.
fn unseen_wait(state: &pace::ServiceState, eligible: &[&Runner]) -> f64 {
    let open = eligible
        .iter()
        .filter(|runner| !state.is_reserved(&runner.registration.incarnation.name));
    let (busy, count) = open.fold((0.0, 0.0), |(busy, count), runner| {
        let is_busy = f64::from(u8::from(runner.had_long_prompt()));
        (busy + is_busy, count + 1.0)
    });
    busy / f64::max(count, 1.0) * state.demand.long_ms() / 2.0
}
