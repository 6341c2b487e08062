//! Observed rates of a backend server.

use std::time;

use lentil_types::{Instant, TokenRate, Tokens};

/// Weight of the old value at each new observation.
const DECAY: f64 = 0.9;

/// Tokens prefilled per second during which any prompt was in prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillRate {
    tokens: f64,
    /// In seconds.
    busy: f64,
    /// `None` while nothing is prefilled.
    since: Option<Instant>,
}

impl PrefillRate {
    /// Starts from an expected rate, weighted like one second of observation.
    pub(super) fn new(expected: TokenRate) -> Self {
        Self {
            tokens: expected.0,
            busy: 1.0,
            since: None,
        }
    }

    /// A prefill begins.
    pub(super) fn on_begin(&mut self, now: Instant) {
        self.since = self.since.or(Some(now));
    }

    /// A prefill has ended; `has_more` if others are in progress.
    pub(super) fn on_done(&mut self, now: Instant, computed: Tokens, has_more: bool) {
        if let Some(since) = self.since {
            self.busy = self.busy * DECAY + now.since(since).as_secs_f64();
            self.tokens = self.tokens * DECAY + computed.0 as f64;
        }
        self.since = has_more.then_some(now);
    }

    pub(super) fn get(&self) -> TokenRate {
        TokenRate(self.tokens.max(1.0) / self.busy.max(1e-6))
    }
}

/// Exponential moving average of an observed value.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingAverage(pub(super) f64);

impl MovingAverage {
    pub(super) fn add(&mut self, value: f64) {
        self.0 = self.0 * DECAY + value * (1.0 - DECAY);
    }

    /// The average in seconds.
    pub(super) fn as_duration(&self) -> time::Duration {
        time::Duration::try_from_secs_f64(self.0).unwrap_or(time::Duration::MAX)
    }
}
