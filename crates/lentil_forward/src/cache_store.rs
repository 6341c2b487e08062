//! Follows which segments a cache store holds: runners save KV cache entries to it
//! and fetch them from it.

use std::{net, rc, time};

use lentil_policy::forward::runners;

use crate::{cache, router::Router};

/// Settings of a [`CacheStore`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for events.
    pub wait: time::Duration,
    /// Pause after a failed call, and between checks for a store to follow.
    pub retry_delay: time::Duration,
    /// Most routers that follow a store, which takes about a dozen calls at once.
    pub max_followers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: time::Duration::from_millis(950),
            retry_delay: time::Duration::from_millis(500),
            max_followers: 10,
        }
    }
}

/// Stores that a router follows at most. Further ones are used without knowing what
/// they hold.
pub const MAX_STORES: usize = 16;

/// Keeps a router's view of the cache stores up to date.
pub struct CacheStore {
    router: rc::Rc<Router>,
    reader: Box<dyn cache::Reader>,
    settings: Settings,
}

impl CacheStore {
    /// A follower that has read no events.
    pub fn new(router: rc::Rc<Router>, reader: Box<dyn cache::Reader>, settings: Settings) -> Self {
        Self {
            router,
            reader,
            settings,
        }
    }

    /// Follows the configured store with this index; never returns.
    pub async fn follow(&self, index: usize) {
        loop {
            if let Some(address) = self.address(index) {
                self.follow_one(index, address).await;
            }
            smol::Timer::after(self.settings.retry_delay).await;
        }
    }

    /// The store to follow. `None`: it does not exist, or enough other routers follow
    /// it.
    fn address(&self, index: usize) -> Option<net::SocketAddr> {
        let state = self.router.state();
        let is_follower = state.rank() < self.settings.max_followers;
        let store = state.routing()?.stores.get(index)?;
        is_follower.then_some(store.address)
    }

    /// Follows a store until a call fails or it is no longer the one to follow.
    async fn follow_one(&self, index: usize, address: net::SocketAddr) {
        let mut segments = cache::SegmentIndex::default();
        let min_tokens = runners::LONG_PROMPT;
        while self.address(index) == Some(address) {
            let batch = self
                .reader
                .events(address, segments.next(), self.settings.wait);
            let batch = match batch.await {
                Ok(batch) => batch,
                Err(error) => {
                    log::warn!(store:% = address, error:%; "the cache store does not answer");
                    break;
                }
            };
            let has_changed = segments.apply(&batch, min_tokens);
            let mut state = self.router.state();
            if has_changed || !state.has_contents(address) {
                state.set_contents(address, Some(segments.sorted()));
            }
        }
        self.router.state().set_contents(address, None);
    }
}
