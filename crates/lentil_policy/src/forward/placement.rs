//! Which runner gets a request.
//!
//! Load it answers: long prompts share large parts, and reading a part costs far
//! more than waiting a little for a runner that holds it. A runner that does not
//! hold a part fetches it from one that does. A part that nobody is known to hold
//! is read at one of its homes, which every router finds by rendezvous hashing, so
//! that it is read once and looked for there. Short requests go where the wait is
//! shortest.

mod estimate;
mod load_estimate;
mod reserve;
mod sources;

use std::{net, time};

use lentil_types::{
    Instant, ModelName, PlaceName, RunnerName, ServiceName, TeamName, Tokens, WeightsVersion,
};

use crate::forward::{
    routing,
    runners::{Incarnation, RequestCost, Runner, Runners, SegmentId, SegmentKey},
};

/// Settings of the choice. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prompt tokens that an engine computes in a millisecond.
    pub prefill_rate: f64,
    /// Expected wait for each request that a runner already has.
    pub per_request: f64,
    /// Expected wait for each request beyond a runner's slots.
    pub per_queued: f64,
    /// Added for a runner that must fetch a part: the copy takes memory there
    /// that other parts lose. About a third of what reading such a part takes.
    pub fetch_penalty: f64,
    /// Added for a runner that is no home of a part that nobody holds: other
    /// routers will not look for it there.
    pub nonhome_penalty: f64,
    /// Added for the second home of such a part: the first one is asked before it.
    pub secondary_penalty: f64,
    /// Added to a long prompt's cost at a runner of which nothing was told for
    /// `stale_age`: it may have work that this router does not know of.
    pub stale_penalty: f64,
    /// Age up to which what was told of prompts counts as known: about what a
    /// long prompt takes to compute.
    pub stale_age: time::Duration,
    /// Added for a runner that would read a part which another one reads now.
    pub duplicate_penalty: f64,
    /// Added for each thousand tokens of memory that a runner does not have: it
    /// would put requests back that run, and compute them again.
    pub per_memory: f64,
    /// What an agent told counts for half after this time, and the mean of all
    /// runners for the rest: about as long as a request stays at a runner.
    pub load_half_life: time::Duration,
    /// Most time that a runner may still need for its long prompts when it is
    /// given another one. It never stands idle, and a short request waits for
    /// little more than one long prompt.
    pub max_backlog: f64,
    /// Added for a short request at a runner that also gets long prompts: what is
    /// known of them is some time old.
    pub mixed_penalty: f64,
    /// Silence of a runner with requests of this router, in milliseconds, that is
    /// usual. What goes beyond it counts as wait: a frozen instance takes requests
    /// in and does nothing with them.
    pub silence_allowance: f64,
    /// Added for each kilobyte that goes to another data centre.
    pub per_kilobyte: f64,
    /// Added for another data centre whatever the size.
    pub remote_penalty: f64,
    /// Added for older weights once they cost callers quality.
    pub weights_penalty: f64,
    /// Old weights count as good for this long after newer ones are named.
    pub old_grace: time::Duration,
    /// Old weights are not used any more this long after newer ones are named.
    pub old_limit: time::Duration,
    /// Shared parts under this size are not worth a home.
    pub min_segment: Tokens,
    /// Largest random addition, so that routers which know the same do not all
    /// choose the same runner.
    pub max_jitter: f64,
    /// A request is refused when the best wait is over this part of the time
    /// that it has.
    pub wait_fraction: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 50.0,
            per_request: 4.0,
            per_queued: 40.0,
            fetch_penalty: 100.0,
            nonhome_penalty: 150.0,
            secondary_penalty: 20.0,
            stale_penalty: 60.0,
            stale_age: time::Duration::from_millis(400),
            duplicate_penalty: 250.0,
            per_memory: 40.0,
            load_half_life: time::Duration::from_millis(500),
            max_backlog: 120.0,
            mixed_penalty: 15.0,
            silence_allowance: 150.0,
            per_kilobyte: 1.0,
            remote_penalty: 1.0,
            weights_penalty: 400.0,
            old_grace: time::Duration::from_millis(1_200),
            old_limit: time::Duration::from_millis(4_500),
            min_segment: Tokens(1_024),
            max_jitter: 4.0,
            wait_fraction: 0.9,
        }
    }
}

/// What a request needs of a runner.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, where it is a model's request.
    pub model: Option<&'a ModelName>,
    /// Newest weights of the model, and how long they have been named.
    pub newest: Option<(WeightsVersion, time::Duration)>,
    /// Parts of the prompt in order; the last is the request's own.
    pub segments: &'a [(SegmentId, Tokens)],
    /// The team, where it shares no cache with others.
    pub isolated: Option<&'a TeamName>,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// The router's data centre.
    pub place: &'a PlaceName,
    /// Time that the request has left.
    pub time_left: time::Duration,
    /// The store of cache entries, where it answers.
    pub store: Option<&'a StoreContents<'a>>,
    /// Where the store of cache entries is, also where nothing is known of it.
    pub store_address: Option<net::SocketAddr>,
    /// Part of the service's runners that gets no long prompts, so that short
    /// requests find one that answers at once. Every router reserves the same
    /// ones: what a router hears of long prompts is too old to keep clear of them.
    pub reserve: f64,
    /// The only runner that may be chosen, where there is no choice any more.
    pub only_runner: Option<&'a RunnerName>,
}

/// The store of cache entries.
#[derive(Clone, Copy, Debug)]
pub struct StoreContents<'a> {
    /// The store.
    pub info: &'a routing::CacheStore,
    /// Parts that it holds, sorted.
    pub keys: &'a [SegmentKey],
}

/// A chosen runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub incarnation: Incarnation,
    /// Where it answers.
    pub address: net::SocketAddr,
    /// Weights that it serves, where the request names a model.
    pub version: Option<WeightsVersion>,
    /// A runner or store that holds the shared part, which the runner does not;
    /// where `prefills` is set, one that may hold it.
    pub source: Option<net::SocketAddr>,
    /// Whether the runner must read the shared part because nobody is known to
    /// hold it.
    pub prefills: bool,
    /// What the request costs it.
    pub request_cost: RequestCost,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
    /// Age of what its agent told, where an agent told something.
    pub status_age: Option<time::Duration>,
}

/// Why no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No runner of the service may take requests now.
    NoRunner,
    /// Every runner has long prompts enough; one more waits before them.
    Busy {
        /// Expected time until a runner may take it.
        wait: time::Duration,
    },
    /// Every runner is expected to answer too late.
    TooLate {
        /// Expected wait at the best runner.
        wait: time::Duration,
    },
}

/// What a choice is made from.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The time now.
    pub now: Instant,
    /// Settings.
    pub settings: &'a Settings,
    /// The runners.
    pub runners: &'a Runners,
    /// What the service's engines can do.
    pub engine: Option<&'a routing::Engine>,
}

/// Chooses a runner, none of `exclude`.
///
/// # Errors
/// [`Refusal`] when there is none, or all would answer too late.
pub fn choose(
    context: Context<'_>,
    requirements: &Requirements<'_>,
    exclude: &[RunnerName],
    rng: &mut dyn rand::Rng,
) -> Result<Choice, Refusal> {
    let fit = fit(context, requirements, exclude);
    let estimate = estimate::Estimate::new(context, requirements, &fit);
    let candidates = fit.iter().map(|runner| estimate.candidate(runner));
    let candidates = estimate.admissible(candidates.collect())?;
    let best = candidates
        .into_iter()
        .map(|candidate| (candidate.cost + jitter(context.settings, rng), candidate))
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
        version: best.version,
        source: best.source,
        prefills: best.prefills,
        request_cost: best.request_cost,
        expected_ms: best.expected_ms,
        status_age: best.runner.status_age(context.now),
    })
}

/// The homes of the shared part, and the `count` other runners that look best, to
/// ask their agents before a choice.
pub fn shortlist<'a>(
    context: Context<'a>,
    requirements: &'a Requirements<'_>,
    exclude: &[RunnerName],
    count: usize,
) -> Vec<&'a Runner> {
    let fit = fit(context, requirements, exclude);
    let estimate = estimate::Estimate::new(context, requirements, &fit);
    let costs = fit
        .iter()
        .map(|runner| (estimate.candidate(runner).cost, *runner));
    let mut costs: Vec<_> = costs.collect();
    costs.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let homes: Vec<_> = estimate.homes().collect();
    let is_home = |runner: &Runner| {
        let mut incarnations = homes.iter().map(|home| &home.registration.incarnation);
        incarnations.any(|incarnation| *incarnation == runner.registration.incarnation)
    };
    let others = costs.into_iter().map(|(_, runner)| runner);
    let others: Vec<_> = others.filter(|r| !is_home(r)).take(count).collect();
    homes.into_iter().chain(others).collect()
}

/// Runners that may take the request at all.
fn fit<'a>(
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
    usable
        .filter(|runner| !exclude.contains(&runner.registration.incarnation.name))
        .filter(|runner| {
            requirements
                .only_runner
                .is_none_or(|only| runner.registration.incarnation.name == *only)
        })
        .filter(|runner| serves(now, settings, runners, requirements, runner))
        .collect()
}

/// The largest shared part that is worth a home: all parts but the request's
/// own, known by the last of them.
pub fn shared_prefix(
    settings: &Settings,
    segments: &[(SegmentId, Tokens)],
) -> Option<(SegmentId, Tokens)> {
    let (_, shared) = segments.split_last()?;
    let tokens: Tokens = shared.iter().map(|(_, tokens)| *tokens).sum();
    let (key, _) = shared.last()?;
    (tokens >= settings.min_segment).then_some((*key, tokens))
}

/// Whether a runner may take the request at all.
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
    let is_recent = match (runner.version(model), requirements.newest) {
        (None, _) => false,
        (Some(own), Some((newest, age))) => own >= newest || age < settings.old_limit,
        (Some(_), None) => true,
    };
    is_recent && !is_changing
}

fn jitter(settings: &Settings, rng: &mut dyn rand::Rng) -> f64 {
    let point = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    point * settings.max_jitter
}
