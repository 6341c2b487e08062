//! Follows what the store of cache entries holds.

use std::{net, rc, time};

use lentil_policy::forward::runners::SegmentKey;

use crate::{cache, router::Router};

/// Settings of a [`CacheStore`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for changes.
    pub wait: time::Duration,
    /// Pause after a question that failed, and before the first one.
    pub pause: time::Duration,
    /// Routers that follow the store. It takes about a dozen questions at once.
    pub followers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: time::Duration::from_millis(950),
            pause: time::Duration::from_millis(500),
            followers: 10,
        }
    }
}

/// Parts that the store of cache entries holds.
#[derive(Clone, Debug)]
pub struct Contents {
    /// The store.
    pub address: net::SocketAddr,
    /// The parts, sorted.
    pub keys: Vec<SegmentKey>,
}

/// Follows what the store of cache entries holds.
pub struct CacheStore {
    router: rc::Rc<Router>,
    reader: Box<dyn cache::Reader>,
    settings: Settings,
}

impl CacheStore {
    /// One that knows nothing yet.
    pub fn new(router: rc::Rc<Router>, reader: Box<dyn cache::Reader>, settings: Settings) -> Self {
        Self {
            router,
            reader,
            settings,
        }
    }

    /// Follows the nearest store for ever.
    pub async fn follow(&self) {
        loop {
            if let Some(address) = self.address() {
                self.follow_one(address).await;
            }
            smol::Timer::after(self.settings.pause).await;
        }
    }

    /// The store to follow; none where enough other routers follow it.
    fn address(&self) -> Option<net::SocketAddr> {
        let state = self.router.state();
        let is_follower = state.rank() < self.settings.followers;
        let store = state.routing()?.store(&self.router.place)?;
        is_follower.then_some(store.address)
    }

    /// Follows a store until it does not answer, or is not the one to follow.
    async fn follow_one(&self, address: net::SocketAddr) {
        let mut cache = cache::SegmentIndex::default();
        let least = self.router.settings.placement.min_segment;
        while self.address() == Some(address) {
            let news = self
                .reader
                .events(address, cache.next(), self.settings.wait);
            let news = match news.await {
                Ok(news) => news,
                Err(error) => {
                    log::warn!(store:% = address, error:%; "the store of cache entries does not answer");
                    break;
                }
            };
            if cache.apply(&news, least) || !self.router.state().follows(address) {
                let keys = cache.sorted();
                self.router
                    .state()
                    .set_contents(Some(Contents { address, keys }));
            }
        }
        self.router.state().set_contents(None);
    }
}
