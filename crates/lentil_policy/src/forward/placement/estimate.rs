//! What a request costs at each runner.

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
    save_budget,
};

/// A runner that may take the request, with its expected cost.
pub(super) struct Candidate<'a> {
    pub(super) runner: &'a Runner,
    pub(super) request_cost: RequestCost,
    pub(super) version: Option<WeightsVersion>,
    pub(super) source: Option<net::SocketAddr>,
    pub(super) prefills: bool,
    /// Time that the runner needs for what it has to compute, in milliseconds.
    ahead: f64,
    /// Expected time to the first byte, in milliseconds.
    pub(super) expected_ms: f64,
    /// The expected time and what else speaks against the runner.
    pub(super) cost: f64,
}

/// How a runner would get at a prompt.
#[derive(Default)]
struct Prompt {
    /// Tokens that it must compute.
    uncached: Tokens,
    /// Time that it fetches others, in milliseconds.
    fetch: f64,
    /// Where it fetches them from.
    source: Option<net::SocketAddr>,
    /// Whether it must compute a part that nobody holds.
    prefills: bool,
    /// What speaks against it besides the time.
    bias: f64,
}

pub(super) struct Estimate<'a> {
    now: Instant,
    settings: &'a Settings,
    engine: Option<&'a routing::Engine>,
    requirements: &'a Requirements<'a>,
    /// Tokens of the whole prompt.
    tokens: Tokens,
    segment: Option<(SegmentId, Tokens)>,
    sources: Vec<Sources<'a>>,
    reserve: Reserve,
    load: LoadEstimate,
}

impl<'e> Estimate<'e> {
    pub(super) fn new(
        context: Context<'e>,
        requirements: &'e Requirements<'_>,
        fit: &[&'e Runner],
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
            sources: segment
                .map_or_else(Vec::new, |(id, _)| sources(id, fit, requirements, &reserve)),
            reserve,
            load: LoadEstimate::new(now, settings, fit),
        }
    }

    pub(super) fn candidate<'a>(&self, runner: &'a Runner) -> Candidate<'a> {
        let Self {
            settings,
            requirements,
            ..
        } = self;
        let prompt = self.prompt(runner);
        let load = self.load.occupancy(self.now, runner);
        let slots = f64::from(runner.registration.slots.max(1));
        let queued = (load - (slots - 1.0)).max(0.0);
        let rate = settings.prefill_rate;
        let ahead = runner.backlog(self.now, rate).0 as f64 / rate;
        let wait = ahead + load * settings.per_request + queued * settings.per_queued;
        let over = runner.overcommitment(self.tokens).0 as f64 / 1e3 * settings.per_memory;
        let compute = prompt.uncached.0 as f64 / rate;
        let slowness = runner.slowness.max(1.0);
        let expected_ms = (wait + compute + prompt.fetch) * slowness;
        Candidate {
            runner,
            request_cost: RequestCost {
                uncached: prompt.uncached,
                memory: self.tokens,
                sent_at: self.now,
            },
            version: requirements.model.and_then(|model| runner.version(model)),
            source: prompt.source,
            prefills: prompt.prefills,
            ahead: ahead * slowness,
            expected_ms,
            cost: expected_ms + over + prompt.bias + self.bias(runner),
        }
    }

    /// How a runner would get at the prompt.
    fn prompt(&self, runner: &Runner) -> Prompt {
        let whole = Prompt {
            uncached: self.tokens,
            ..Prompt::default()
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
        let own = self.tokens.saturating_sub(shared);
        // What is being read there is there when the request's turn comes.
        if runner.segments.holds(sources.key) || runner.is_prefilling(sources.key) {
            return Prompt {
                uncached: own,
                ..Prompt::default()
            };
        }
        if let Some(holder) = sources.holder {
            let rate = self.engine.map_or(0.0, |engine| engine.link_rate);
            return self.fetched(own, shared, holder.registration.address, rate);
        }
        if let Some(store) = self.requirements.store
            && store.keys.binary_search(&sources.key).is_ok()
        {
            return self.fetched(own, shared, store.info.address, store.info.link_rate);
        }
        let home = sources.home(runner);
        Prompt {
            prefills: true,
            source: self.guess(sources, home),
            bias: match (sources.is_prefilling, home) {
                (true, _) => self.settings.duplicate_penalty,
                (false, Some(0)) => 0.0,
                (false, Some(_)) => self.settings.secondary_penalty,
                (false, None) => self.settings.nonhome_penalty,
            },
            ..whole
        }
    }

    /// Where a runner looks for a part of which nothing is known, before it reads
    /// it: what agents tell comes late, most of all in a large fleet, and to ask
    /// in vain costs a runner a millisecond.
    fn guess(&self, sources: &Sources<'_>, home: Option<usize>) -> Option<net::SocketAddr> {
        let other = |at: usize| sources.homes.get(at).map(|home| home.registration.address);
        match (home, self.requirements.store_address) {
            (Some(0), Some(store)) if self.requirements.store.is_none() => Some(store),
            (Some(0), _) => other(1),
            _ => other(0),
        }
    }

    /// A prompt of which `shared` tokens are fetched over a link.
    fn fetched(&self, own: Tokens, shared: Tokens, from: net::SocketAddr, rate: f64) -> Prompt {
        let bytes = self
            .engine
            .map_or(0.0, |engine| save_budget::segment_bytes(engine, shared));
        Prompt {
            uncached: own,
            fetch: bytes / rate.max(1.0) * 1e3,
            source: Some(from),
            prefills: false,
            bias: self.settings.fetch_penalty,
        }
    }

    /// The runners that may be given the request. A long prompt waits until one
    /// has little left to do, and leaves some to short requests.
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
        let open = |candidate: &Candidate<'_>| !self.reserve.holds(candidate.runner);
        let is_open = all.iter().any(open);
        let aheads = all.iter().map(|candidate| candidate.ahead);
        let least = aheads.min_by(f64::total_cmp).unwrap_or(0.0);
        let may_take = |candidate: &Candidate<'_>| {
            let is_allowed = open(candidate) || !is_open;
            is_allowed && candidate.ahead <= self.limit(candidate)
        };
        let fit: Vec<_> = all.into_iter().filter(may_take).collect();
        if fit.is_empty() {
            let wait = (least - self.settings.max_backlog).max(0.0) / 1e3;
            return Err(Refusal::Busy {
                wait: time::Duration::from_secs_f64(wait),
            });
        }
        Ok(fit)
    }

    /// Most time in milliseconds that a runner may still need for its prompts when
    /// it is given the request. One that holds or reads the shared part may need
    /// as much more as reading it elsewhere would take.
    fn limit(&self, candidate: &Candidate<'_>) -> f64 {
        let keeps = !candidate.prefills && candidate.source.is_none();
        let saved = self
            .segment
            .filter(|_| keeps)
            .map_or(0, |(_, tokens)| tokens.0);
        self.settings.max_backlog + saved as f64 / self.settings.prefill_rate
    }

    /// Homes of the shared part, the first one first.
    pub(super) fn homes(&self) -> impl Iterator<Item = &'e Runner> {
        self.sources
            .iter()
            .flat_map(|sources| sources.homes.iter().copied())
    }

    /// What speaks against a runner besides its expected time.
    fn bias(&self, runner: &Runner) -> f64 {
        let Self {
            settings,
            requirements,
            ..
        } = self;
        let silence = runner.silence(self.now).as_secs_f64() * 1e3;
        let mut bias = (silence - settings.silence_allowance).max(0.0);
        if runner.registration.place != *requirements.place {
            bias += settings.remote_penalty
                + requirements.body_bytes as f64 / 1e3 * settings.per_kilobyte;
        }
        let is_short = requirements.model.is_some() && self.segment.is_none();
        if is_short && !self.reserve.is_empty() && !self.reserve.holds(runner) {
            bias += settings.mixed_penalty;
        }
        let age = runner.status_age(self.now);
        if self.segment.is_some() && age.is_none_or(|age| age > settings.stale_age) {
            bias += settings.stale_penalty;
        }
        let is_old = requirements.model.is_some_and(|model| {
            let newest = requirements
                .newest
                .filter(|(_, age)| *age >= settings.old_grace);
            newest.is_some_and(|(newest, _)| runner.version(model) < Some(newest))
        });
        if is_old {
            bias += settings.weights_penalty;
        }
        bias
    }
}
