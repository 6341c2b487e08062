//! Keeps documents up to date, from the store and, where that turns this
//! process away, from other routers.

use std::{cell, net, rc, sync, time};

use compact_str::CompactString;
use lentil_platform::{Change, Changes, Document, KindStore, Listing, StoreError};
use lentil_policy::store::ObjectVersion;
use lentil_process::metrics::Counter;
use lentil_types::Table;

use crate::{
    documents::Kind,
    generated,
    http_call::{Call, CallError},
    router::Router,
};

/// Settings of a [`Follower`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait of a watch. A connection that fell silent is found when the
    /// watch is overdue, so this bounds how old a document can be.
    pub wait: time::Duration,
    /// Longest wait of a watch of runners. An outage must be noticed before the
    /// entries of living runners lapse in it, which takes three heartbeats.
    pub runners_wait: time::Duration,
    /// Pause after changes of runners, so that changes that come together take one
    /// call. Other kinds are followed at once.
    pub gather: time::Duration,
    /// Pause after the first failed call; each further one is twice as long.
    pub pause: time::Duration,
    /// Longest pause.
    pub max_pause: time::Duration,
    /// Longest wait for documents of other routers, after each failed call.
    pub peer_timeout: time::Duration,
    /// Most routers that are asked in turn after a failed call.
    pub peers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: time::Duration::from_millis(3_500),
            runners_wait: time::Duration::from_secs(2),
            gather: time::Duration::from_millis(250),
            pause: time::Duration::from_millis(100),
            max_pause: time::Duration::from_millis(500),
            peer_timeout: time::Duration::from_millis(400),
            peers: 2,
        }
    }
}

/// Path on which routers serve the documents of a kind; its number follows.
pub const DOCUMENTS_PATH: &str = "/documents/";

const CONFIG: bincode::config::Configuration = bincode::config::standard();

/// What is known of one kind.
#[derive(Clone, Debug, Default)]
struct Mirror {
    at: Option<ObjectVersion>,
    documents: Table<CompactString, Document>,
    /// Whether the store answered the last call.
    is_fresh: bool,
}

/// Follows every kind of document for one router.
pub struct Follower {
    router: rc::Rc<Router>,
    store: sync::Arc<dyn KindStore>,
    settings: Settings,
    mirrors: cell::RefCell<[Mirror; Kind::COUNT]>,
    /// Where other routers serve documents, sorted.
    others: cell::RefCell<Vec<net::SocketAddr>>,
}

impl Follower {
    /// A follower that knows nothing. `seeds`: where some routers may serve
    /// documents.
    pub fn new(
        router: rc::Rc<Router>,
        store: sync::Arc<dyn KindStore>,
        settings: Settings,
        mut seeds: Vec<net::SocketAddr>,
    ) -> rc::Rc<Self> {
        seeds.sort_unstable();
        seeds.dedup();
        rc::Rc::new(Self {
            router,
            store,
            settings,
            mirrors: cell::RefCell::default(),
            others: cell::RefCell::new(seeds),
        })
    }

    /// Another router was heard of.
    pub fn on_router(&self, address: net::SocketAddr) {
        let mut others = self.others.borrow_mut();
        if let Err(at) = others.binary_search(&address) {
            others.insert(at, address);
        }
    }

    /// Follows a kind for ever.
    pub async fn follow(&self, kind: Kind) {
        let mut failures = 0u32;
        loop {
            match self.step(kind, failures > 0).await {
                Ok(()) => {
                    if failures > 0 {
                        log::info!(kind:%, failures; "the store answers again");
                    }
                    failures = 0;
                    self.on_answer(kind);
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(kind:%; "the store dropped its history; listing anew");
                    self.mirror(kind, |mirror| mirror.at = None);
                }
                Err(error) => {
                    failures = failures.saturating_add(1);
                    self.on_failure(kind, failures, &error);
                    let pause = async {
                        smol::Timer::after(self.pause(failures)).await;
                    };
                    // Routers that do not answer must not hold the store up.
                    let asked = futures_lite::future::or(self.ask_routers(kind), async {
                        smol::Timer::after(self.settings.peer_timeout).await;
                    });
                    futures_lite::future::zip(asked, pause).await;
                }
            }
        }
    }

    /// Lists the kind, or waits for its next changes. After a failure it does not
    /// wait: a call that the store will never answer must not take long.
    async fn step(&self, kind: Kind, is_probe: bool) -> Result<(), StoreError> {
        let name = self.router.decoder.kind(kind);
        self.router.metrics.count(Counter::StoreCalls);
        let at = self.mirrors.borrow()[kind as usize].at;
        let Some(at) = at else {
            self.router.metrics.count(Counter::StoreLists);
            let listing = self.store.list(name).await?;
            self.apply_list(kind, &listing);
            return Ok(());
        };
        let wait = match kind {
            _ if is_probe => time::Duration::ZERO,
            Kind::Runners => self.settings.runners_wait,
            Kind::Routing | Kind::Weights => self.settings.wait,
        };
        self.router.metrics.count(Counter::StoreWatches);
        let changes = self.store.watch(name, at, wait).await?;
        self.apply_changes(kind, &changes);
        if kind == Kind::Runners && !changes.changes.is_empty() {
            smol::Timer::after(self.settings.gather).await;
        }
        Ok(())
    }

    fn on_answer(&self, kind: Kind) {
        self.mirror(kind, |mirror| mirror.is_fresh = true);
        if kind == Kind::Runners {
            let now = self.router.now();
            self.router.state().runners_mut().on_store_answer(now);
        }
    }

    fn on_failure(&self, kind: Kind, failures: u32, error: &StoreError) {
        self.router.metrics.count(Counter::StoreLost);
        if failures == 1 {
            log::warn!(kind:%, error:%; "the store does not answer; asking other routers");
        }
        self.mirror(kind, |mirror| mirror.is_fresh = false);
        if kind == Kind::Runners {
            self.router.state().runners_mut().on_store_lost();
        }
    }

    fn pause(&self, failures: u32) -> time::Duration {
        let pause = self.settings.pause * (1 << failures.min(8).saturating_sub(1));
        let pause = pause.min(self.settings.max_pause);
        pause / 2 + self.router.jitter(pause / 2)
    }

    fn apply_list(&self, kind: Kind, listing: &Listing) {
        self.router.on_list(kind, listing);
        let documents = listing.documents.iter();
        let documents = documents.map(|doc| (doc.name.clone(), doc.clone()));
        self.mirror(kind, |mirror| {
            mirror.at = Some(listing.revision);
            mirror.documents = documents.collect();
        });
    }

    fn apply_changes(&self, kind: Kind, changes: &Changes) {
        self.router.on_changes(kind, changes);
        self.mirror(kind, |mirror| {
            mirror.at = mirror.at.max(Some(changes.revision));
            for change in &changes.changes {
                match change {
                    Change::Changed(doc) => {
                        mirror.documents.insert(doc.name.clone(), doc.clone());
                    }
                    Change::Removed(name) => {
                        mirror.documents.remove(name);
                    }
                }
            }
        });
    }

    fn mirror(&self, kind: Kind, change: impl FnOnce(&mut Mirror)) {
        change(&mut self.mirrors.borrow_mut()[kind as usize]);
    }

    // ------------------------------------------------------------------------
    // Other routers

    /// The documents of a kind for another router; `None` when this one has
    /// none, or may be as far behind as the other.
    pub fn serve(&self, kind: usize) -> Option<Vec<u8>> {
        let mirrors = self.mirrors.borrow();
        let mirror = mirrors.get(kind)?;
        let documents = mirror.documents.values().map(|doc| generated::Document {
            name: doc.name.to_string(),
            version: doc.version.0,
            value: doc.value.clone(),
        });
        let message = generated::Documents {
            kind: u32::try_from(kind).ok()?,
            at: mirror.at.filter(|_| mirror.is_fresh)?.0,
            documents: documents.collect(),
        };
        match bincode::encode_to_vec(message, CONFIG) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::error!(kind, error:%; "documents cannot be encoded");
                None
            }
        }
    }

    /// Asks a few routers for a kind and takes over what is newer.
    async fn ask_routers(&self, kind: Kind) {
        let mut others = self.others.borrow().clone();
        for _ in 0..self.settings.peers.min(others.len()) {
            let at = self.pick(others.len());
            let peer = others.swap_remove(at);
            match self.ask(peer, kind).await {
                Ok(Some(listing)) => return self.take_over(kind, peer, &listing),
                Ok(None) => {}
                Err(error) => {
                    log::debug!(kind:%, router:% = peer, error:%; "a router does not answer");
                }
            }
        }
    }

    fn pick(&self, count: usize) -> usize {
        let point = self
            .router
            .jitter(time::Duration::from_secs(1))
            .as_secs_f64();
        ((point * count as f64) as usize).min(count.saturating_sub(1))
    }

    async fn ask(&self, peer: net::SocketAddr, kind: Kind) -> Result<Option<Listing>, CallError> {
        let target = format!("{DOCUMENTS_PATH}{}", kind as usize);
        let call = Call {
            target: &target,
            timeout: self.settings.peer_timeout,
            ..Call::default()
        };
        let reply = call.send(peer, self.settings.peer_timeout).await?;
        if reply.head.status != 200 {
            return Ok(None);
        }
        match decode(&reply.body) {
            Some(listing) => Ok(Some(listing)),
            None => {
                log::warn!(kind:%, router:% = peer; "a router's documents do not decode");
                Ok(None)
            }
        }
    }

    /// Takes over what another router knows, where it is newer.
    fn take_over(&self, kind: Kind, peer: net::SocketAddr, listing: &Listing) {
        let own = self.mirrors.borrow()[kind as usize].at;
        if own >= Some(listing.revision) {
            return;
        }
        log::info!(kind:%, router:% = peer, own:? = own.map(|at| at.0), at = listing.revision.0; "documents come from another router");
        self.apply_list(kind, listing);
    }
}

fn decode(bytes: &[u8]) -> Option<Listing> {
    let decoded = bincode::decode_from_slice::<generated::Documents, _>(bytes, CONFIG);
    let (message, _) = decoded.ok()?;
    let documents = message.documents.into_iter().map(|doc| Document {
        name: doc.name.into(),
        version: ObjectVersion(doc.version),
        value: doc.value,
    });
    Some(Listing {
        documents: documents.collect(),
        revision: ObjectVersion(message.at),
    })
}
