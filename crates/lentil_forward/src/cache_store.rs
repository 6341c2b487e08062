//! Follows which segments a cache store holds: runners save KV cache entries to it
//! and fetch them from it.

use std::{net, rc, time};

use lentil_policy::forward::runners::SegmentKey;

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

/// Segments in a cache store.
#[derive(Clone, Debug)]
pub struct Contents {
    /// Address of the store.
    pub address: net::SocketAddr,
    /// Keys of the segments, sorted.
    pub keys: Vec<SegmentKey>,
}

/// Keeps a router's view of the cache store up to date.
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

    /// Follows the store of the router's data centre, or else the first configured;
    /// never returns.
    pub async fn follow(&self) {
        loop {
            if let Some(address) = self.address() {
                self.follow_one(address).await;
            }
            smol::Timer::after(self.settings.retry_delay).await;
        }
    }

    /// The store to follow. `None`: none exists, or enough other routers follow it.
    fn address(&self) -> Option<net::SocketAddr> {
        let state = self.router.state();
        let is_follower = state.rank() < self.settings.max_followers;
        let store = state.routing()?.store(&self.router.place)?;
        is_follower.then_some(store.address)
    }

    /// Follows a store until a call fails or it is no longer the one to follow.
    async fn follow_one(&self, address: net::SocketAddr) {
        let mut index = cache::SegmentIndex::default();
        let min_tokens = self.router.settings.placement.min_segment;
        while self.address() == Some(address) {
            let batch = self
                .reader
                .events(address, index.next(), self.settings.wait);
            let batch = match batch.await {
                Ok(batch) => batch,
                Err(error) => {
                    log::warn!(store:% = address, error:%; "the cache store does not answer");
                    break;
                }
            };
            if index.apply(&batch, min_tokens) || !self.router.state().has_contents(address) {
                let keys = index.sorted();
                self.router
                    .state()
                    .set_contents(Some(Contents { address, keys }));
            }
        }
        self.router.state().set_contents(None);
    }
}
