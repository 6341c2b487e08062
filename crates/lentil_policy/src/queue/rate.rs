//! Observed rates of a backend server.

use std::time;

use lentil_types::{Instant, TokenRate, Tokens};

/// Weight of what was known against a new observation.
const KEEP: f64 = 0.9;

/// Rate of prompt computation: tokens computed while at least one prompt was.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillRate {
    tokens: f64,
    /// In seconds.
    busy: f64,
    since: Option<Instant>,
}

impl PrefillRate {
    /// A rate that is expected before anything was observed.
    pub(super) fn new(expected: TokenRate) -> Self {
        Self {
            tokens: expected.0,
            busy: 1.0,
            since: None,
        }
    }

    /// A prompt begins to be computed.
    pub(super) fn on_begin(&mut self, now: Instant) {
        self.since = self.since.or(Some(now));
    }

    /// A prompt is computed; `more` tells whether others are under way.
    pub(super) fn on_done(&mut self, now: Instant, computed: Tokens, more: bool) {
        if let Some(since) = self.since {
            self.busy = self.busy * KEEP + now.since(since).as_secs_f64();
            self.tokens = self.tokens * KEEP + computed.0 as f64;
        }
        self.since = more.then_some(now);
    }

    pub(super) fn get(&self) -> TokenRate {
        TokenRate(self.tokens.max(1.0) / self.busy.max(1e-6))
    }
}

/// Mean of an observed value, weighted towards the newest.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mean(pub(super) f64);

impl Mean {
    pub(super) fn add(&mut self, value: f64) {
        self.0 = self.0 * KEEP + value * (1.0 - KEEP);
    }

    pub(super) fn seconds(&self) -> time::Duration {
        time::Duration::try_from_secs_f64(self.0).unwrap_or(time::Duration::MAX)
    }
}
