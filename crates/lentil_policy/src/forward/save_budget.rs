//! Which shared parts are saved to the store of cache entries.
//!
//! Load it answers: runners drop parts that are asked for again seconds later.
//! Fetching one from the store is much faster than reading it, but the store has
//! one link, on which saves delay fetches, so saves get a part of it.

use std::time;

use lentil_types::{Instant, Tokens};

use crate::forward::routing;

/// Settings of [`SaveBudget`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Part of the store's link that saves may take.
    pub link_share: f64,
    /// Bytes that may be saved at once, as seconds of that share.
    pub burst_time: time::Duration,
    /// Parts are saved only under weights that have been named for this long:
    /// those that are replaced every few seconds do not live to be used.
    pub weights_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            link_share: 0.7,
            burst_time: time::Duration::from_secs(2),
            weights_age: time::Duration::from_millis(1_500),
        }
    }
}

/// Grants saves to one router.
#[derive(Clone, Debug)]
pub struct SaveBudget {
    settings: Settings,
    /// Bytes that may be saved, and when that was worked out.
    budget: f64,
    refilled: Instant,
}

impl SaveBudget {
    /// Nothing was saved yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            budget: 0.0,
            refilled: Instant::ZERO,
        }
    }

    /// Whether a part of `tokens` may be saved now. `age`: since when its
    /// weights are named, where they are not the first; `routers`: how many
    /// share the store.
    pub fn try_take(
        &mut self,
        now: Instant,
        store: &routing::CacheStore,
        bytes: f64,
        age: Option<time::Duration>,
        routers: usize,
    ) -> bool {
        let rate = store.link_rate * self.settings.link_share / routers.max(1) as f64;
        let more = now.since(self.refilled).as_secs_f64() * rate;
        let most = rate * self.settings.burst_time.as_secs_f64();
        self.budget = (self.budget + more).min(most.max(bytes));
        self.refilled = now;
        let is_settled = age.is_none_or(|age| age >= self.settings.weights_age);
        if !is_settled || self.budget < bytes {
            return false;
        }
        self.budget -= bytes;
        true
    }
}

/// Size of the cache entries of a part, in bytes.
pub fn segment_bytes(engine: &routing::Engine, tokens: Tokens) -> f64 {
    tokens.0 as f64 * engine.token_bytes
}
