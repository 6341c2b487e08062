//! Which shared parts are saved to the store of cache entries.
//!
//! Load it answers: runners drop parts that are asked for again seconds later.
//! Fetching one from the store is much faster than reading it, but the store has
//! one link, on which saves delay fetches, so saves get a part of it.

use std::time;

use lentil_types::{Instant, Tokens};

use crate::forward::routing;

/// Settings of [`Saves`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Part of the store's link that saves may take.
    pub share: f64,
    /// Bytes that may be saved at once, as seconds of that share.
    pub burst: time::Duration,
    /// Parts are saved only under weights that have been named for this long:
    /// those that are replaced every few seconds do not live to be used.
    pub settled: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.7,
            burst: time::Duration::from_secs(2),
            settled: time::Duration::from_millis(1_500),
        }
    }
}

/// Grants saves to one router.
#[derive(Clone, Debug)]
pub struct Saves {
    settings: Settings,
    /// Bytes that may be saved, and when that was worked out.
    left: f64,
    at: Instant,
}

impl Saves {
    /// Nothing was saved yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            left: 0.0,
            at: Instant::ZERO,
        }
    }

    /// Whether a part of `tokens` may be saved now. `age`: since when its
    /// weights are named, where they are not the first; `routers`: how many
    /// share the store.
    pub fn take(
        &mut self,
        now: Instant,
        store: &routing::CacheStore,
        bytes: f64,
        age: Option<time::Duration>,
        routers: usize,
    ) -> bool {
        let rate = store.link_rate * self.settings.share / routers.max(1) as f64;
        let more = now.since(self.at).as_secs_f64() * rate;
        let most = rate * self.settings.burst.as_secs_f64();
        self.left = (self.left + more).min(most.max(bytes));
        self.at = now;
        let is_settled = age.is_none_or(|age| age >= self.settings.settled);
        if !is_settled || self.left < bytes {
            return false;
        }
        self.left -= bytes;
        true
    }
}

/// Size of the cache entries of a part, in bytes.
pub fn segment_bytes(engine: &routing::Engine, tokens: Tokens) -> f64 {
    tokens.0 as f64 * engine.token_bytes
}
