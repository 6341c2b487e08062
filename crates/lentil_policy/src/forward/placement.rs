//! Chooses the runner for a request.
//!
//! Long prompts share large segments, and prefilling one costs far more than a short
//! wait for a runner that has it cached. A runner without the segment fetches it from
//! one that has it. A segment that no runner is known to hold is prefilled at one of
//! its homes, which every router computes by rendezvous hashing, so that it is
//! prefilled once and found there. Short requests go to the runner with the shortest
//! wait.

mod estimate;
mod load_estimate;
mod sources;

use std::{net, time};

use lentil_types::{
    Instant, ModelName, PlaceName, RunnerName, ServiceName, SoftwareVersion, Tokens, WeightsVersion,
};

use crate::forward::{
    pace, routing,
    runners::{self, Incarnation, RequestCost, Runner, Runners, SegmentId, SegmentKey},
    target_weights,
};

/// Settings of the placement; `f64` costs and times are in milliseconds, ratios are
/// fractions of the time to prefill the shared prefix.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_rate: f64,
    /// Expected wait for each request that a runner already has.
    pub per_request: f64,
    /// Expected wait for each request beyond a runner's slots.
    pub per_queued: f64,
    /// Cost of fetching a segment: the copy evicts others from the runner's memory.
    pub fetch_ratio: f64,
    /// Cost of a runner that is no home of a segment which no runner holds: other
    /// routers will not look for it there.
    pub nonhome_ratio: f64,
    /// Cost of the second home of such a segment; the first one is preferred.
    pub secondary_ratio: f64,
    /// Cost of prefilling a segment that another runner is prefilling now.
    pub duplicate_ratio: f64,
    /// Cost of a long prompt at a runner without a status newer than `stale_age`: it
    /// may have work that this router does not know of.
    pub stale_penalty: f64,
    /// Age up to which a status counts as current for long prompts: about the time to
    /// prefill one.
    pub stale_age: time::Duration,
    /// Cost per thousand tokens of memory that a runner lacks: it would preempt
    /// running requests and compute them again.
    pub per_memory: f64,
    /// Cost of a long prompt at a runner that is kept for short ones, as a fraction of the
    /// time to compute it.
    pub reserved_ratio: f64,
    /// Time after which a reported load has half its weight against the mean of all
    /// runners: about as long as a request stays.
    pub load_half_life: time::Duration,
    /// Longest time that a runner may still need for its long prompts when it gets
    /// another one: it never idles, and a short request waits for little more than
    /// one long prompt.
    pub max_backlog: f64,
    /// Fraction of a runner's slots that may be taken when it gets a long prompt. The
    /// rest is for the short requests that arrive while it is computed: an urgent one
    /// that finds no slot preempts it.
    pub long_share: f64,
    /// Normal silence of a runner with requests of this router. Silence beyond it
    /// counts as wait: a frozen instance accepts requests and does nothing with them.
    pub silence_allowance: f64,
    /// Cost per kilobyte of the body sent to another data centre.
    pub per_kilobyte: f64,
    /// Fixed cost of another data centre.
    pub remote_penalty: f64,
    /// Cost of outdated weights once they lower the quality of answers.
    pub weights_penalty: f64,
    /// Time since weights are outdated during which they cost nothing.
    pub old_grace: time::Duration,
    /// Time since weights are outdated from which they are not used.
    pub old_limit: time::Duration,
    /// Shortest time to prefill a shared prefix that is assigned homes. To look for it
    /// elsewhere costs a runner about a millisecond.
    pub min_prefill: f64,
    /// Largest random cost; keeps routers with the same knowledge from choosing the
    /// same runner.
    pub max_jitter: f64,
    /// Fraction of the remaining time that the best expected wait may take before the
    /// request is refused.
    pub wait_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: pace::DEFAULT_RATE,
            per_request: 4.0,
            per_queued: 40.0,
            fetch_ratio: 0.375,
            nonhome_ratio: 0.56,
            secondary_ratio: 0.075,
            duplicate_ratio: 0.94,
            stale_penalty: 60.0,
            stale_age: time::Duration::from_millis(400),
            per_memory: 40.0,
            reserved_ratio: 1.0,
            load_half_life: time::Duration::from_millis(500),
            max_backlog: 120.0,
            long_share: 0.5,
            silence_allowance: 150.0,
            per_kilobyte: 1.0,
            remote_penalty: 1.0,
            weights_penalty: 400.0,
            old_grace: time::Duration::from_millis(1_200),
            old_limit: time::Duration::from_millis(4_500),
            min_prefill: 5.0,
            max_jitter: 4.0,
            wait_fraction: 0.9,
        }
    }
}

/// What a request requires of a runner.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Service whose runners are considered.
    pub service: &'a ServiceName,
    /// Model; `None` where the request names no model.
    pub model: Option<&'a ModelName>,
    /// Target versions of the model, in ascending order, and since when.
    pub targets: &'a [(WeightsVersion, Instant)],
    /// Segments of the prompt in order; the last one is not shared.
    pub segments: &'a [(SegmentId, Tokens)],
    /// Teams whose cache entries it may use.
    pub cache_group: &'a runners::CacheGroup,
    /// Size of the request body.
    pub body_bytes: usize,
    /// Data centre of the router.
    pub place: &'a PlaceName,
    /// Time until the request's deadline.
    pub time_left: time::Duration,
    /// Time until an answer is late.
    pub objective_left: time::Duration,
    /// The cache stores; each segment belongs to one of them.
    pub stores: &'a [Store<'a>],
    /// Largest age of a runner's status; `None` for any. Old statuses of runners that
    /// were idle then would attract every long prompt under overload.
    pub max_status_age: Option<time::Duration>,
    /// Whether the request may run only once: at a runner that has stopped it is lost.
    pub runs_once: bool,
    /// The only permitted runner; `None` for any.
    pub only_runner: Option<&'a RunnerName>,
    /// The only permitted software version; `None` for any. A stream stays at the one that
    /// began it.
    pub software: Option<&'a SoftwareVersion>,
}

/// A cache store and what this router knows of it.
#[derive(Clone, Copy, Debug)]
pub struct Store<'a> {
    /// Address and link of the store.
    pub info: &'a routing::CacheStore,
    /// Segments in the store, sorted; `None` if this router does not follow it.
    pub keys: Option<&'a [SegmentKey]>,
}

/// Index of the store that a segment belongs to. Rendezvous hashing: every router
/// computes the same one, and the stores share capacity and bandwidth evenly.
fn store_index(key: SegmentKey, stores: &[Store<'_>]) -> Option<usize> {
    let scores = stores
        .iter()
        .map(|store| store_score(key, store.info.address));
    let best = scores.enumerate().max_by_key(|(_, score)| *score);
    best.map(|(index, _)| index)
}

fn store_score(key: SegmentKey, address: net::SocketAddr) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::with_seed(key.0);
    match address.ip() {
        net::IpAddr::V4(ip) => hash.update(&ip.octets()),
        net::IpAddr::V6(ip) => hash.update(&ip.octets()),
    }
    hash.update(&address.port().to_le_bytes());
    hash.digest()
}

/// A chosen runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Incarnation of the runner.
    pub incarnation: Incarnation,
    /// Address that the request is sent to.
    pub address: net::SocketAddr,
    /// Version of the runner's software.
    pub software: SoftwareVersion,
    /// Weights that the runner serves; `None` where the request names no model.
    pub version: Option<WeightsVersion>,
    /// Teams whose cache entries it may use.
    pub cache_group: runners::CacheGroup,
    /// Runner or store that holds the shared prefix, or may hold it where `prefills`
    /// is set; `None` where there is nothing to fetch.
    pub source: Option<net::SocketAddr>,
    /// Whether the runner must prefill the shared prefix because none is known to
    /// hold it.
    pub prefills: bool,
    /// Cache store that the shared prefix belongs to.
    pub store: Option<net::SocketAddr>,
    /// Bytes that cross the store's link when the runner saves the whole prompt there.
    pub save_bytes: f64,
    /// Rank of the runner among the homes of the shared prefix; `None` if it is none.
    pub home_rank: Option<usize>,
    /// Cost of the request at the runner.
    pub request_cost: RequestCost,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
    /// Age of the runner's status; `None` where there is none.
    pub status_age: Option<time::Duration>,
    /// Speed and load of the runner that the expected time is based on.
    pub speed: ExpectedSpeed,
}

/// Speed and load of a runner that its expected time is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedSpeed {
    /// Speed against the mean of the service's runners; 1 where it is not learned.
    pub speed: f64,
    /// Factor by which work takes longer there than usual at the moment.
    pub moment: f64,
    /// Time that it needs for the prompts that it has, in milliseconds.
    pub wait_ms: f64,
    /// Whether it has so much work that the time of the request says little about its
    /// speed.
    pub waits: bool,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No runner of the service may take requests now.
    NoRunner,
    /// No runner has room for another long prompt; this one must wait.
    Busy {
        /// Expected time until a runner has room.
        wait: time::Duration,
    },
    /// Every runner that could take the request has had as many as it allows.
    Limited {
        /// Time until one allows another.
        wait: time::Duration,
        /// Mean time between two requests that they allow this router.
        interval: time::Duration,
    },
    /// Too many requests wait for a runner.
    Full {
        /// Expected time until this one would have had its turn.
        wait: time::Duration,
    },
    /// Even the best runner is expected to answer too late.
    TooLate {
        /// Expected wait at the best runner.
        wait: time::Duration,
    },
}

impl Refusal {
    /// When the caller may come back: when a runner is expected to have room, and not
    /// before `min`.
    pub fn retry_after(self, min: time::Duration) -> time::Duration {
        match self {
            Self::NoRunner => min,
            Self::Busy { wait }
            | Self::Limited { wait, .. }
            | Self::Full { wait }
            | Self::TooLate { wait } => wait.max(min),
        }
    }
}

/// What a choice is based on.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// Current time.
    pub now: Instant,
    /// Costs and limits.
    pub settings: &'a Settings,
    /// All known runners.
    pub runners: &'a Runners,
    /// Properties of the service's engines, if it runs models.
    pub engine: Option<&'a routing::Engine>,
}

/// Chooses the runner with the lowest cost; never one of `exclude`.
///
/// # Errors
/// [`Refusal`] where no runner is eligible or has room, or all would answer too late.
pub fn choose(
    context: Context<'_>,
    requirements: &Requirements<'_>,
    exclude: &[RunnerName],
    rng: &mut dyn rand::Rng,
) -> Result<Choice, Refusal> {
    let eligible = admitted(context, eligible(context, requirements, exclude))?;
    let eligible = within_limits(requirements, eligible)?;
    let estimator = estimate::Estimator::new(context, requirements, &eligible);
    let candidates = eligible.iter().map(|runner| estimator.candidate(runner));
    let candidates = estimator.admissible(candidates.collect())?;
    let best = candidates
        .into_iter()
        .map(|candidate| {
            let jitter = jitter(context.settings, requirements, candidate.runner, rng);
            (candidate.cost + jitter, candidate)
        })
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, candidate)| candidate)
        .ok_or(Refusal::NoRunner)?;
    let wait = time::Duration::from_secs_f64(best.expected_ms / 1e3);
    if wait
        > requirements
            .time_left
            .mul_f64(context.settings.wait_fraction)
    {
        return Err(Refusal::TooLate { wait });
    }
    Ok(Choice {
        incarnation: best.runner.registration.incarnation.clone(),
        address: best.runner.registration.address,
        software: best.runner.registration.software.clone(),
        version: best.version,
        cache_group: requirements.cache_group.clone(),
        source: best.source,
        prefills: best.prefills,
        store: best.store.map(|store| store.info.address),
        save_bytes: best.save_bytes,
        home_rank: best.home_rank,
        request_cost: best.request_cost,
        expected_ms: best.expected_ms,
        status_age: best.runner.status_age(context.now),
        speed: best.speed,
    })
}

/// Homes of the shared prefix and the `count` other runners with the lowest cost,
/// whose agents are asked for their status before a choice.
pub fn shortlist<'a>(
    context: Context<'a>,
    requirements: &'a Requirements<'_>,
    exclude: &[RunnerName],
    count: usize,
) -> Vec<&'a Runner> {
    let eligible = eligible(context, requirements, exclude);
    let estimator = estimate::Estimator::new(context, requirements, &eligible);
    let costs = eligible
        .iter()
        .map(|runner| (estimator.candidate(runner).cost, *runner));
    let mut costs: Vec<_> = costs.collect();
    costs.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let ranked = costs.into_iter().map(|(_, runner)| runner);
    let (homes, others): (Vec<_>, Vec<_>) =
        ranked.partition(|runner| estimator.home_rank(runner).is_some());
    homes
        .into_iter()
        .chain(others.into_iter().take(count))
        .collect()
}

/// Runners that allow another request now.
fn admitted<'a>(
    context: Context<'_>,
    eligible: Vec<&'a Runner>,
) -> Result<Vec<&'a Runner>, Refusal> {
    let Context { now, runners, .. } = context;
    let waits = eligible
        .iter()
        .map(|runner| runners.admission_wait(now, runner));
    let waits: Vec<_> = waits.collect();
    if let Some(wait) = waits.iter().copied().min().flatten() {
        let interval = runners.admission_interval(now, &eligible);
        return Err(Refusal::Limited { wait, interval });
    }
    let admitted = eligible.into_iter().zip(waits);
    let admitted = admitted.filter_map(|(runner, wait)| wait.is_none().then_some(runner));
    Ok(admitted.collect())
}

/// Runners at which this router has fewer requests than its limit. Where it has reached
/// all limits, a long prompt waits: its rejection may be final.
fn within_limits<'a>(
    requirements: &Requirements<'_>,
    eligible: Vec<&'a Runner>,
) -> Result<Vec<&'a Runner>, Refusal> {
    let has_room = |runner: &&Runner| runner.concurrency.allows(runner.in_flight);
    if eligible.iter().all(has_room) || requirements.only_runner.is_some() {
        return Ok(eligible);
    }
    if eligible.iter().any(has_room) {
        return Ok(eligible.into_iter().filter(has_room).collect());
    }
    let tokens = requirements.segments.iter().map(|(_, tokens)| *tokens);
    if requirements.model.is_some() && tokens.sum::<Tokens>() >= runners::LONG_PROMPT {
        return Err(Refusal::Busy {
            wait: time::Duration::ZERO,
        });
    }
    Ok(eligible)
}

/// Runners that may take the request, as far as they allow it.
fn eligible<'a>(
    context: Context<'a>,
    requirements: &Requirements<'_>,
    exclude: &[RunnerName],
) -> Vec<&'a Runner> {
    let Context {
        now,
        settings,
        runners,
        ..
    } = context;
    let usable = runners.usable(now, requirements.service).into_iter();
    let eligible = usable
        .filter(|runner| !exclude.contains(&runner.registration.incarnation.name))
        .filter(|runner| {
            requirements
                .only_runner
                .is_none_or(|only| runner.registration.incarnation.name == *only)
        })
        .filter(|runner| {
            let software = &runner.registration.software;
            requirements.software.is_none_or(|only| only == software)
        })
        .filter(|runner| {
            let max_age = requirements.max_status_age;
            let age = runner.status_age(now);
            max_age.is_none_or(|max| age.is_some_and(|age| age <= max))
        })
        .filter(|runner| serves(now, settings, runners, requirements, runner));
    let mut eligible: Vec<_> = eligible.collect();
    let has_others = eligible.iter().any(|runner| !runner.is_being_checked());
    if requirements.runs_once && has_others {
        eligible.retain(|runner| !runner.is_being_checked());
    }
    eligible
}

/// The shared prefix: all segments but the last, identified by the last shared one.
/// `None` if prefilling it takes less than `min_prefill`.
pub fn shared_prefix(
    settings: &Settings,
    segments: &[(SegmentId, Tokens)],
) -> Option<(SegmentId, Tokens)> {
    let (_, shared) = segments.split_last()?;
    let tokens: Tokens = shared.iter().map(|(_, tokens)| *tokens).sum();
    let (key, _) = shared.last()?;
    let prefill_ms = tokens.0 as f64 / settings.prefill_rate;
    (prefill_ms >= settings.min_prefill).then_some((*key, tokens))
}

/// Whether a runner has recent enough weights and is not changing them.
fn serves(
    now: Instant,
    settings: &Settings,
    runners: &Runners,
    requirements: &Requirements<'_>,
    runner: &Runner,
) -> bool {
    let is_changing = runners.status(now, runner).is_some_and(|s| s.is_changing);
    let Some(model) = requirements.model else {
        return true;
    };
    let is_recent = runner.version(model).is_some_and(|own| {
        let since = target_weights::outdated_since(requirements.targets, own);
        since.is_none_or(|since| now.since(since) < settings.old_limit)
    });
    is_recent && !is_changing
}

/// A random cost. Half of it is a hash of the shared prefix and the runner, so that
/// requests with a prefix too short for homes still tend to meet where it is cached.
fn jitter(
    settings: &Settings,
    requirements: &Requirements<'_>,
    runner: &Runner,
    rng: &mut dyn rand::Rng,
) -> f64 {
    let fraction = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let shared = requirements.segments.split_last();
    let affinity = shared.and_then(|(_, shared)| shared.last()).map(|(id, _)| {
        let score = sources::home_score(*id, runner);
        1.0 - score as f64 / u64::MAX as f64
    });
    let fraction = affinity.map_or(fraction, |affinity| f64::midpoint(fraction, affinity));
    fraction * settings.max_jitter
}
