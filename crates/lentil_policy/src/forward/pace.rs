//! How fast the runners of a service compute prompts.
//!
//! Load that this handles: runners of one service that differ in speed for good, by up to
//! three times, and that are slowed for parts of a second by what else runs on their
//! machines. A time to the first byte also contains the work that a runner had before,
//! and this router does not know all of that. So only requests that found a runner with
//! little work count fully, quantiles and bounded steps keep the others from deciding,
//! and the figure that a runner gives of its present pace is taken out of what is learned
//! for good.

use std::time;

use lentil_types::{Instant, RunnerName, Tokens};

use crate::forward::{lanes, runners};

/// Prompt tokens that a runner computes per millisecond until more is known.
pub const DEFAULT_RATE: f64 = 50.0;

/// Samples kept of each size of prompt: those of some seconds.
const MAX_SAMPLES: usize = 64;
/// Samples from which the service counts as learned.
const MIN_SAMPLES: usize = 16;
/// Samples between two evaluations.
const EVALUATION_INTERVAL: usize = 8;
/// Quantile of the samples that is taken as the time of a prompt. Work that this router
/// does not know of only adds time, so it is a little under the median.
const QUANTILE: f64 = 0.4;
/// Shortest time per token, in milliseconds: keeps predictions finite.
const MIN_TOKEN_TIME: f64 = 1e-4;

/// Requests that the prior of a runner counts for.
const PRIOR_WEIGHT: f64 = 3.0;
/// Weight of the newest request once many are known.
const MIN_WEIGHT: f64 = 0.08;
/// Weight of a request that waited, relative to one that did not: the predicted wait is
/// the less certain part.
const WAITED_WEIGHT: f64 = 0.25;
/// Largest step that one request counts for, in the logarithm of the speed. A request
/// behind an unseen long prompt takes several times as long as predicted.
const MAX_STEP: f64 = 0.4;
/// Requests in a row that deviate as far in one direction before the speed is taken to
/// have changed.
const CHANGE_STREAK: u32 = 4;
/// Weight and largest step after that.
const CHANGED_WEIGHT: f64 = 0.3;
const CHANGED_STEP: f64 = 1.5;
/// Bounds of a learned speed.
const LOG_SPEED_RANGE: (f64, f64) = (-2.5, 2.5);
/// Evidence from which a runner's speed counts in the mean of its service.
const MIN_EVIDENCE: f64 = 4.0;
/// Logarithm of the ratio between two neighbouring speed classes, 1.5: three classes for
/// speeds of 0.6 to 1.6, so that routers with slightly different figures agree.
const CLASS_WIDTH: f64 = 0.405;
/// Distance from the middle of a class, in classes, at which a runner leaves it.
const CLASS_HYSTERESIS: f64 = 0.7;

/// Half-life of the weight of the runner's present pace, in seconds: it changes several
/// times a second.
const MOMENT_HALF_LIFE_SECS: f64 = 0.3;
/// Bounds of that figure, as a factor of the usual time.
const MOMENT_RANGE: (f64, f64) = (0.2, 20.0);

/// The time that a prompt took at a runner that had little else to compute.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Tokens that the runner computed.
    pub tokens: Tokens,
    /// Time to the first byte that a runner of mean speed at its usual pace would have
    /// needed, in milliseconds.
    pub ms: f64,
}

/// Prompt times at the average runner of a service.
#[derive(Clone, Debug, Default)]
pub struct ServicePace {
    /// The last samples of short and of long prompts.
    short: Vec<Sample>,
    long: Vec<Sample>,
    count: usize,
    /// Milliseconds per prompt and per token, once learned. Until long prompts are known,
    /// the second is that of [`DEFAULT_RATE`].
    learned: Option<(f64, f64)>,
}

impl ServicePace {
    /// Adds a sample.
    pub fn on_first_byte(&mut self, sample: Sample) {
        let samples = match sample.tokens < runners::LONG_PROMPT {
            true => &mut self.short,
            false => &mut self.long,
        };
        if samples.len() == MAX_SAMPLES {
            samples.remove(0);
        }
        samples.push(sample);
        self.count += 1;
        let known = self.short.len() + self.long.len();
        if known >= MIN_SAMPLES && self.count.is_multiple_of(EVALUATION_INTERVAL) {
            self.evaluate();
        }
    }

    /// Time per token from the difference between long prompts and the typical short one,
    /// then the fixed time from the short one. The part that grows with the square of the
    /// length is contained in the rate at the usual length.
    fn evaluate(&mut self) {
        let short_ms = quantile(self.short.iter().map(|sample| (sample.ms, 1.0)));
        let tokens = self
            .short
            .iter()
            .map(|sample| (sample.tokens.0 as f64, 1.0));
        let short_tokens = quantile(tokens);
        let (ms, tokens) = (short_ms.unwrap_or(0.0), short_tokens.unwrap_or(0.0));
        // Longer prompts say more about the time per token.
        let token_times = self.long.iter().map(|sample| {
            let more = sample.tokens.0 as f64 - tokens;
            ((sample.ms - ms) / more, more)
        });
        let is_known = self.long.len() >= EVALUATION_INTERVAL;
        let token_time = quantile(token_times).filter(|_| is_known);
        let token_time = token_time.map_or(1.0 / self.rate(), |time| time.max(MIN_TOKEN_TIME));
        let base = (ms - tokens * token_time).max(0.0);
        self.learned = Some((base, token_time));
    }

    /// Prompt tokens per millisecond.
    pub fn rate(&self) -> f64 {
        self.learned
            .map_or(DEFAULT_RATE, |(_, token_time)| 1.0 / token_time)
    }

    /// Fixed time per prompt, in milliseconds; 0 until learned.
    pub fn base_ms(&self) -> f64 {
        self.learned.map_or(0.0, |(base, _)| base)
    }

    /// Whether enough samples are known.
    pub fn is_learned(&self) -> bool {
        self.learned.is_some()
    }

    /// Samples seen.
    pub fn evidence(&self) -> usize {
        self.count
    }
}

/// The value below which [`QUANTILE`] of the weight lies.
fn quantile(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let total: f64 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    let at = values.iter().find(|(_, weight)| {
        below += weight;
        below >= total * QUANTILE
    });
    at.map(|(value, _)| *value)
}

/// Speed of one incarnation of a runner, and its pace of the moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunnerPace {
    /// Logarithm of the speed against the service; 0 is the prior.
    log_speed: f64,
    /// Requests that it was learned from; those that waited count for less.
    evidence: f64,
    /// Requests in a row that deviated by more than [`MAX_STEP`], and whether they were
    /// faster than predicted.
    streak: (u32, bool),
    class: i32,
    /// When the runner last gave its pace, and the factor by which work took longer.
    moment: Option<(Instant, f64)>,
    learned_at: Option<Instant>,
}

impl RunnerPace {
    /// A prompt was answered after `observed_ms`. `modelled_ms`: the time that it would
    /// have taken at this runner with the speed known so far. `waited`: the runner had
    /// other prompts to compute before.
    pub fn on_first_byte(
        &mut self,
        now: Instant,
        observed_ms: f64,
        modelled_ms: f64,
        waited: bool,
    ) {
        let step = (modelled_ms.max(1.0) / observed_ms.max(1.0)).ln();
        let is_faster = step > 0.0;
        self.streak = match (step.abs() > MAX_STEP, self.streak) {
            (false, _) => (0, is_faster),
            (true, (count, same)) if same == is_faster => (count + 1, is_faster),
            (true, _) => (1, is_faster),
        };
        let (weight, bound) = if self.streak.0 >= CHANGE_STREAK {
            (CHANGED_WEIGHT, CHANGED_STEP)
        } else {
            let known = self.evidence + PRIOR_WEIGHT;
            ((1.0 / known).max(MIN_WEIGHT), MAX_STEP)
        };
        let certainty = if waited { WAITED_WEIGHT } else { 1.0 };
        let weight = weight * certainty;
        let speed = self.log_speed + weight * step.clamp(-bound, bound);
        self.log_speed = speed.clamp(LOG_SPEED_RANGE.0, LOG_SPEED_RANGE.1);
        self.evidence += certainty;
        self.learned_at = Some(now);
    }

    /// The runner says that work takes `percent` of the usual time now.
    pub fn on_moment(&mut self, now: Instant, percent: u32) {
        let factor = f64::from(percent) / 100.0;
        let factor = factor.clamp(MOMENT_RANGE.0, MOMENT_RANGE.1);
        self.moment = Some((now, factor));
    }

    /// Speed against the service; 1 is the prior.
    pub fn speed(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Requests that the speed was learned from; those that waited count for less.
    pub fn evidence(&self) -> f64 {
        self.evidence
    }

    /// Time since the last request that it was learned from.
    pub fn age(&self, now: Instant) -> Option<time::Duration> {
        self.learned_at.map(|at| now.since(at))
    }

    /// Factor by which work is expected to take longer than usual now. The weight of the
    /// runner's figure falls with its age.
    pub fn moment(&self, now: Instant) -> f64 {
        self.moment.map_or(1.0, |(at, factor)| {
            let age = now.since(at).as_secs_f64();
            1.0 + (factor - 1.0) * (-age / MOMENT_HALF_LIFE_SECS).exp2()
        })
    }

    /// Coarse class of the speed: 0 is around the mean, each further one 1.5 times as fast
    /// as the one before.
    pub fn class(&self) -> i32 {
        self.class
    }

    /// Updates the class and returns whether it has changed; `mean` is the mean speed of
    /// the service.
    pub fn update_class(&mut self, mean: f64) -> bool {
        let old = self.class;
        let position = (self.log_speed - mean.ln()) / CLASS_WIDTH;
        if self.evidence >= MIN_EVIDENCE
            && (position - f64::from(self.class)).abs() > CLASS_HYSTERESIS
        {
            // Within the range of the speeds.
            self.class = position.round() as i32;
        }
        self.class != old
    }
}

/// Speed of a class against the mean.
pub fn class_speed(class: i32) -> f64 {
    (f64::from(class) * CLASS_WIDTH).exp()
}

/// Mean speed of a service's runners; 1 while none is known.
pub fn mean_speed<'a>(paces: impl Iterator<Item = &'a RunnerPace>) -> f64 {
    let known = paces.filter(|pace| pace.evidence >= MIN_EVIDENCE);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), pace| {
        (sum + pace.log_speed, count + 1.0)
    });
    if count > 0.0 {
        f64::exp(sum / count)
    } else {
        1.0
    }
}

/// What one answer says about the speed of its runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Tokens that the runner computed; `None` if what it computed is uncertain.
    pub uncached: Option<Tokens>,
    /// Predicted wait before it, in milliseconds, by the speed known then.
    pub wait_ms: f64,
    /// Whether the runner was known to have other work.
    pub waited: bool,
    /// Time to the first byte, in milliseconds.
    pub observed_ms: f64,
    /// Time that work takes there at the moment, in percent of the usual; `None` if the
    /// runner does not say.
    pub moment: Option<u32>,
}

/// Paces of a service whose runners differ.
#[derive(Clone, Debug)]
pub struct ServiceState {
    /// Times at the average runner.
    pub pace: ServicePace,
    /// Mean of the learned speeds. Speeds count relative to it: otherwise it and the times
    /// of the service could drift together without a limit.
    pub mean_speed: f64,
    /// Computation that this router asks of the service.
    pub demand: lanes::Demand,
    /// Runners kept for short prompts, sorted, and when they were determined.
    pub reserved: Vec<RunnerName>,
    pub(super) reserved_at: Option<Instant>,
    /// The lasting part of the demand, the runners that it keeps from being homes of
    /// segments, sorted, and when they were determined.
    pub(super) lasting: lanes::Demand,
    pub(super) excluded: Vec<RunnerName>,
    pub(super) excluded_at: Option<Instant>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            pace: ServicePace::default(),
            mean_speed: 1.0,
            demand: lanes::Demand::default(),
            reserved: Vec::new(),
            reserved_at: None,
            lasting: lanes::Demand::default(),
            excluded: Vec::new(),
            excluded_at: None,
        }
    }
}

impl ServiceState {
    /// Speed of a runner against the mean; 1 until it is known.
    pub fn speed(&self, runner: &RunnerPace) -> f64 {
        if runner.evidence > 0.0 {
            runner.speed() / self.mean_speed
        } else {
            1.0
        }
    }

    /// Time of a prompt at the mean runner, in milliseconds.
    pub fn compute_ms(&self, tokens: Tokens) -> f64 {
        self.pace.base_ms() + tokens.0 as f64 / self.pace.rate()
    }

    /// Whether a runner is kept for short prompts.
    pub fn is_reserved(&self, name: &RunnerName) -> bool {
        self.reserved.binary_search(name).is_ok()
    }

    /// Learns from an answer of `runner`.
    pub fn on_answer(&mut self, now: Instant, runner: &mut RunnerPace, observation: &Observation) {
        if let Some(percent) = observation.moment {
            runner.on_moment(now, percent);
        }
        let Some(tokens) = observation.uncached else {
            return;
        };
        let moment = runner.moment(now);
        let speed = self.speed(runner);
        if !observation.waited {
            let ms = observation.observed_ms * speed / moment;
            self.pace.on_first_byte(Sample { tokens, ms });
        }
        if !self.pace.is_learned() {
            return;
        }
        let compute = self.compute_ms(tokens);
        let wait = if observation.waited {
            observation.wait_ms
        } else {
            0.0
        };
        let modelled = wait + compute * moment / speed;
        if runner.evidence <= 0.0 {
            runner.log_speed = self.mean_speed.ln();
        }
        runner.on_first_byte(now, observation.observed_ms, modelled, observation.waited);
    }
}
