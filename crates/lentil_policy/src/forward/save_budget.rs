//! Limits the shared segments that are saved to the cache store.
//!
//! Runners evict segments that are requested again seconds later. Fetching one from
//! a store is much faster than prefilling it, but each store has a single link that
//! saves and fetches share, so saves are limited.

use std::time;

use lentil_types::{Instant, Tokens};

use crate::forward::routing;

/// Settings of a [`SaveBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Fraction of the stores' links that saves may take. Up to the whole of them: a
    /// segment that is not saved is prefilled again, which takes longer than a fetch
    /// behind a save.
    pub link_share: f64,
    /// Bytes that may be saved in one burst, as seconds of that fraction.
    pub burst_time: time::Duration,
    /// Age that target weights must have before segments are saved under them: those
    /// that are replaced every few seconds do not last until the segments are used.
    pub weights_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            link_share: 1.0,
            burst_time: time::Duration::from_secs(2),
            weights_age: time::Duration::from_millis(1_500),
        }
    }
}

/// Grants the saves of one router.
#[derive(Clone, Debug)]
pub struct SaveBudget {
    settings: Settings,
    /// Bytes that may be saved, as of `refilled_at`.
    budget: f64,
    refilled_at: Instant,
}

impl SaveBudget {
    /// An empty budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            budget: 0.0,
            refilled_at: Instant::ZERO,
        }
    }

    /// Takes `bytes` for a save from the budget; `false` if it must not be made now.
    /// `link_rate`: bytes per second of all stores together; `age`: how long its weights
    /// have been the target, `None` for the first ones; `routers`: how many share the
    /// stores.
    pub fn try_take(
        &mut self,
        now: Instant,
        link_rate: f64,
        bytes: f64,
        age: Option<time::Duration>,
        routers: usize,
    ) -> bool {
        let rate = link_rate * self.settings.link_share / routers.max(1) as f64;
        let refill = now.since(self.refilled_at).as_secs_f64() * rate;
        let burst = rate * self.settings.burst_time.as_secs_f64();
        self.budget = (self.budget + refill).min(burst.max(bytes));
        self.refilled_at = now;
        let is_settled = age.is_none_or(|age| age >= self.settings.weights_age);
        if !is_settled || self.budget < bytes {
            return false;
        }
        self.budget -= bytes;
        true
    }
}

/// Size of the cache entries of a segment, in bytes.
pub fn segment_bytes(engine: &routing::Engine, tokens: Tokens) -> f64 {
    tokens.0 as f64 * engine.token_bytes
}
