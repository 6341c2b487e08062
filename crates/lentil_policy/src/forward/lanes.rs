//! Which runners of a service are kept for short prompts.
//!
//! Load that this handles: long prompts and many short ones at the same runners. A runner
//! computes prompts one after the other, and no status tells of a long prompt that another
//! router has just sent, so a short one behind it is late. All routers reserve the same
//! runners without talking: they order them by speed class and hash, and measure about the
//! same mix of demand. The slowest come first: a short prompt loses the least there.

use std::time;

use lentil_types::{Instant, RunnerName};

/// Settings of the reservation.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Capacity of the reserved runners divided by what short prompts need on average.
    pub headroom: f64,
    /// Largest fraction of a service's runners that is reserved.
    pub max_share: f64,
    /// Time after which a sent short prompt has half its weight in the demand. Long
    /// prompts can use the runners within a second after the short ones need them less.
    pub short_half_life: time::Duration,
    /// The same for long prompts. There are fewer of them, so it takes longer to measure
    /// their rate.
    pub long_half_life: time::Duration,
    /// Interval at which the reserved runners are determined.
    pub interval: time::Duration,
}

impl Settings {
    /// Settings by which runners are taken out of the homes of segments. Each change moves
    /// segments, so it follows only the lasting demand, without headroom.
    pub fn lasting(&self) -> Self {
        Self {
            headroom: 1.0,
            short_half_life: time::Duration::from_secs(20),
            long_half_life: time::Duration::from_secs(20),
            interval: time::Duration::from_secs(2),
            ..*self
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            headroom: 1.5,
            max_share: 0.5,
            short_half_life: time::Duration::from_millis(400),
            long_half_life: time::Duration::from_secs(4),
            interval: time::Duration::from_millis(100),
        }
    }
}

/// A sum whose parts lose half their weight in each half-life.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    updated: Instant,
    sum: f64,
    count: f64,
}

impl Meter {
    fn add(&mut self, now: Instant, half_life: time::Duration, value: f64) {
        let weight = self.weight(now, half_life);
        self.sum = self.sum * weight + value;
        self.count = self.count * weight + 1.0;
        self.updated = now;
    }

    fn weight(&self, now: Instant, half_life: time::Duration) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        (-age / half_life.as_secs_f64()).exp2()
    }

    fn rate(&self, now: Instant, half_life: time::Duration) -> f64 {
        self.sum * self.weight(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64()
    }
}

/// Computation that this router has asked of a service, in milliseconds of the mean
/// runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    short: Meter,
    long: Meter,
}

/// Short prompts below this rate, in milliseconds of computation a second, need no
/// runners of their own.
const MIN_SHORT_RATE: f64 = 0.5;

impl Demand {
    /// A prompt was sent that takes `ms`.
    pub fn on_sent(&mut self, now: Instant, settings: &Settings, is_long: bool, ms: f64) {
        match is_long {
            true => self.long.add(now, settings.long_half_life, ms),
            false => self.short.add(now, settings.short_half_life, ms),
        }
    }

    /// Fraction of the computation that short prompts need; `None` if there are none.
    pub fn short_share(&self, now: Instant, settings: &Settings) -> Option<f64> {
        let short = self.short.rate(now, settings.short_half_life);
        let long = self.long.rate(now, settings.long_half_life);
        (short >= MIN_SHORT_RATE).then(|| short / (short + long))
    }

    /// Mean time of a long prompt, in milliseconds; 0 if none was sent.
    pub fn long_ms(&self) -> f64 {
        if self.long.count > 0.0 {
            self.long.sum / self.long.count
        } else {
            0.0
        }
    }
}

/// The runners that are kept for short prompts, in order of their names. `runners`: the
/// usable ones and the speed of their class.
pub fn reserved(
    settings: &Settings,
    short_share: Option<f64>,
    runners: &[(&RunnerName, f64)],
) -> Vec<RunnerName> {
    let Some(share) = short_share else {
        return Vec::new();
    };
    let mut order: Vec<_> = runners
        .iter()
        .map(|(name, speed)| (*speed, xxhash_rust::xxh3::xxh3_64(name.as_bytes()), *name))
        .collect();
    order.sort_by(|(a, a_hash, _), (b, b_hash, _)| a.total_cmp(b).then(a_hash.cmp(b_hash)));
    let total: f64 = order.iter().map(|(speed, ..)| speed).sum();
    let needed = total * share * settings.headroom;
    // Within the number of runners.
    let max = (runners.len() as f64 * settings.max_share) as usize;
    let mut covered = 0.0;
    let chosen = order.iter().take(max).take_while(|(speed, ..)| {
        let is_needed = covered < needed;
        covered += speed;
        is_needed
    });
    let mut chosen: Vec<_> = chosen.map(|(.., name)| (*name).clone()).collect();
    chosen.sort();
    chosen
}
