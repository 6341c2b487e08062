//! Keeps documents up to date from the store and, while it fails, from other
//! routers.

use std::{cell, net, ops::ControlFlow, rc, sync, time};

use compact_str::CompactString;
use lentil_platform::{Change, Changes, Document, KindStore, Listing, StoreError};
use lentil_policy::{
    forward::{
        document_sources::{self, DocumentSources, Reply},
        open_calls::{self, CallId, OpenCall, OpenCalls},
        watch_doubts::{self, WatchDoubts},
    },
    store::ObjectVersion,
};
use lentil_process::metrics::Counter;
use lentil_types::{Instant, Table};

use crate::{
    byte_budget::ByteBudget,
    datagram,
    documents::Kind,
    generated,
    http_call::{Call, CallError},
    open_futures::OpenFutures,
    peers,
    router::Router,
};

/// Settings of a [`Follower`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait of a watch. A dead connection is found when its watch is
    /// overdue, so this bounds how stale documents can be.
    pub watch_wait: time::Duration,
    /// The same for runners: an outage must be noticed before registrations of live
    /// runners lapse.
    pub runners_wait: time::Duration,
    /// Pause after changes of runners, to batch the next ones in one call. Other
    /// kinds are watched again at once.
    pub batch_delay: time::Duration,
    /// Backoff after the first failed call; doubles with each further one.
    pub min_backoff: time::Duration,
    /// Longest backoff.
    pub max_backoff: time::Duration,
    /// Time for another router's answer, after which the next one is asked beside it.
    pub peer_overdue: time::Duration,
    /// Limit on connecting to another router, and on its answer.
    pub peer_timeout: time::Duration,
    /// Most routers asked in one round.
    pub max_peers: usize,
    /// Most of them that are asked at once.
    pub max_open: usize,
    /// Largest answer of another router, and of all at once, in bytes: registrations of ten
    /// thousand runners.
    pub peer_bytes: usize,
    /// Which calls to the store stay open.
    pub calls: open_calls::Settings,
    /// When a watch is doubted, and what other routers are told.
    pub doubts: watch_doubts::Settings,
    /// When other routers are asked for documents.
    pub sources: document_sources::Settings,
    /// Listings a second of all routers together after the store came back from an older
    /// copy.
    pub restore_rate: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watch_wait: time::Duration::from_millis(3_500),
            runners_wait: time::Duration::from_millis(1_500),
            batch_delay: time::Duration::from_millis(250),
            min_backoff: time::Duration::from_millis(100),
            max_backoff: time::Duration::from_millis(500),
            peer_overdue: time::Duration::from_millis(400),
            peer_timeout: time::Duration::from_secs(2),
            max_peers: 3,
            max_open: 6,
            peer_bytes: 8 << 20,
            calls: open_calls::Settings::default(),
            doubts: watch_doubts::Settings::default(),
            sources: document_sources::Settings::default(),
            restore_rate: 1_000.0,
        }
    }
}

/// Path of documents served to other routers; the kind's number follows.
pub const DOCUMENTS_PATH: &str = "/documents/";
/// Query field with the newest version that the asking router has.
const NEWER_FIELD: &str = "newer=";

/// Most addresses of routers that are kept.
const MAX_KNOWN_ROUTERS: usize = 4_096;

const BINCODE_CONFIG: bincode::config::Configuration = bincode::config::standard();

/// Documents of one kind.
#[derive(Clone, Debug, Default)]
struct CachedDocuments {
    /// Version of the store. `None`: the kind must be listed.
    version: Option<ObjectVersion>,
    documents: Table<CompactString, Document>,
    /// Whether the last call to the store succeeded.
    is_fresh: bool,
    /// When the store last answered a call for this kind.
    answered_at: Option<Instant>,
    doubts: WatchDoubts,
    sources: DocumentSources,
}

impl CachedDocuments {
    /// The version after which another router has newer documents. Registrations are also
    /// removed, so that their newest version does not tell.
    fn reached(&self, kind: Kind) -> Option<ObjectVersion> {
        match kind {
            Kind::Runners => self.version,
            Kind::Routing | Kind::Weights => self.documents.values().map(|doc| doc.version).max(),
        }
    }
}

/// What a router offers to another one that asks for documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Encoded documents.
    Documents(Vec<u8>),
    /// The store confirms that there are none newer than those of the asking router.
    Unchanged,
    /// Its documents may be as old as those of the asking router.
    Nothing,
}

/// The store's answer to a call.
enum Answer {
    Listing(Listing),
    Changes(Changes),
}

/// What happens while other routers are asked.
enum RoundEvent {
    /// A router has replied, which may end the round with what it offered.
    Replied(ControlFlow<Option<(net::SocketAddr, Listing)>>),
    /// The router that was asked last does not reply soon.
    Overdue,
    /// A router has told of newer documents.
    Overtaken,
}

/// What happens to the open calls of one kind.
enum CallEvent {
    /// The next call is to be made.
    Due,
    /// The call that waits for changes may never be answered.
    Doubted,
    /// The newest call has no answer. It stays open.
    Overdue(OpenCall),
    Ended(OpenCall, Result<Answer, StoreError>),
}

/// Keeps a router's documents up to date.
pub struct Follower {
    router: rc::Rc<Router>,
    store: sync::Arc<dyn KindStore>,
    settings: Settings,
    /// Indexed by kind.
    cached: cell::RefCell<[CachedDocuments; Kind::COUNT]>,
    /// Addresses at which other routers serve documents, sorted.
    peers: cell::RefCell<Vec<net::SocketAddr>>,
    /// Notified when the store stops answering a kind of call, answers again, or has come
    /// back from a copy: calls that wait on other connections may have been lost too.
    disturbed: event_listener::Event,
    /// Notified when another router has a newer document.
    noticed: event_listener::Event,
    /// Notified when asking other routers may be due earlier.
    sources_changed: event_listener::Event,
    /// What unfinished answers of other routers take together.
    peer_budget: sync::Arc<ByteBudget>,
}

impl Follower {
    /// A follower without documents. `seeds`: addresses at which other routers may
    /// serve them.
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
            cached: cell::RefCell::new(std::array::from_fn(|_| CachedDocuments {
                doubts: WatchDoubts::new(settings.doubts),
                sources: DocumentSources::new(settings.sources),
                ..CachedDocuments::default()
            })),
            peers: cell::RefCell::new(seeds),
            disturbed: event_listener::Event::new(),
            noticed: event_listener::Event::new(),
            sources_changed: event_listener::Event::new(),
            peer_budget: ByteBudget::new(settings.peer_bytes),
        })
    }

    /// Addresses at which other routers may serve documents.
    pub(crate) fn peers(&self) -> Vec<net::SocketAddr> {
        self.peers.borrow().clone()
    }

    /// The router that serves documents at `sender` has one of this version.
    pub(crate) fn on_notice(&self, sender: net::SocketAddr, kind: Kind, version: ObjectVersion) {
        let now = self.router.now();
        let mut is_new = false;
        self.update(kind, |cached| {
            is_new = cached.doubts.on_notice(now, version);
            if is_new {
                cached.sources.on_notice(now, sender);
            }
        });
        if is_new {
            self.router.metrics.count(Counter::DocumentNotices);
            let is_fresh = self.cached.borrow()[kind as usize].is_fresh;
            let silent_ms = self.silent_ms(kind);
            log::info!(kind:%, router:% = sender, version = version.0, is_fresh, silent_ms:?; "another router has a newer document");
        }
        self.noticed.notify(usize::MAX);
        self.sources_changed.notify(usize::MAX);
    }

    /// Adds a router that serves documents at `address`.
    pub fn on_router(&self, address: net::SocketAddr) {
        let mut peers = self.peers.borrow_mut();
        if peers.len() >= MAX_KNOWN_ROUTERS {
            return;
        }
        if let Err(index) = peers.binary_search(&address) {
            peers.insert(index, address);
        }
    }

    /// Follows a kind; never returns.
    pub async fn follow(&self, kind: Kind) {
        let documents =
            futures_lite::future::or(self.follow_store(kind), self.follow_routers(kind));
        futures_lite::future::or(documents, self.remind_routers(kind)).await;
    }

    /// Follows a kind in the store; never returns.
    async fn follow_store(&self, kind: Kind) {
        let mut open = OpenFutures::new();
        let mut calls = OpenCalls::new(self.settings.calls);
        let mut failures = 0u32;
        let mut is_compared = false;
        let mut is_doubted = false;
        // When the next call is made.
        let mut call_at = Some(self.router.now());
        loop {
            if call_at.is_some_and(|at| self.router.now() >= at) {
                call_at = None;
                let is_wanted = kind == Kind::Runners && self.router.is_refresh_wanted();
                let is_probe = failures > 0 || std::mem::take(&mut is_doubted) || is_wanted;
                self.call(kind, is_probe, &mut calls, &mut open);
            }
            let (call, result) = match self.next_event(kind, call_at, &mut calls, &mut open).await {
                CallEvent::Due => {
                    call_at = Some(self.router.now());
                    continue;
                }
                CallEvent::Doubted => {
                    self.router.metrics.count(Counter::WatchesDoubted);
                    is_doubted = true;
                    call_at = Some(self.router.now());
                    continue;
                }
                CallEvent::Overdue(call) => {
                    self.store.renew_connections();
                    let waited = self.router.now().since(call.called_at);
                    (call, Err(StoreError::Timeout(waited)))
                }
                CallEvent::Ended(call, result) => (call, result),
            };
            match result {
                Ok(answer) => {
                    if failures > 0 {
                        let silent_ms = self.silent_ms(kind);
                        log::info!(kind:%, failures, silent_ms:?; "the store answers again");
                        self.disturbed.notify(usize::MAX);
                    }
                    failures = 0;
                    let answered_at = calls.answered_at(&call, self.router.now());
                    self.on_success(kind, &call, answered_at);
                    let has_changes = self.apply(kind, call.after, &answer);
                    let version = self.cached.borrow()[kind as usize].version;
                    calls.on_answer(call.id, version);
                    open.retain(|id| calls.get(id).is_some());
                    let now = self.router.now();
                    let is_overdue = calls.overdue_at().is_none_or(|at| at <= now);
                    call_at = is_overdue.then_some(now);
                    if kind == Kind::Runners {
                        self.router.on_registrations_applied(call.called_at);
                        if has_changes {
                            let batched = async {
                                smol::Timer::after(self.settings.batch_delay).await;
                            };
                            let wanted = self.router.wait_until_refresh_wanted();
                            futures_lite::future::or(batched, wanted).await;
                        }
                    }
                    if !std::mem::replace(&mut is_compared, true) {
                        self.compare_with_peers(kind).await;
                    }
                }
                Err(StoreError::Restored) => {
                    let silent_ms = self.silent_ms(kind);
                    log::warn!(kind:%, silent_ms:?; "the store came back from an older copy; keeping what is known and listing again");
                    self.on_restored(kind);
                    calls.clear();
                    open.retain(|_| false);
                    call_at = Some(self.router.now() + self.restore_delay());
                }
                Err(StoreError::HistoryGone) => {
                    log::info!(kind:%; "the store no longer has the history since the last watch; listing again");
                    self.update(kind, |cached| cached.version = None);
                    calls.clear();
                    open.retain(|_| false);
                    call_at = Some(self.router.now());
                }
                Err(error) => {
                    failures = failures.saturating_add(1);
                    self.on_failure(kind, failures, call.called_at, &error);
                    call_at = Some(self.router.now() + self.pause(failures, call.called_at));
                }
            }
        }
    }

    /// Begins to list the kind, or to watch it from its version. After a failure or a doubt
    /// the call does not wait for changes: it must soon be known whether the store answers.
    fn call<'a>(
        &'a self,
        kind: Kind,
        is_probe: bool,
        calls: &mut OpenCalls,
        open: &mut OpenFutures<'a, CallId, Result<Answer, StoreError>>,
    ) {
        let name = self.router.decoder.kind(kind);
        self.router.metrics.count(Counter::StoreCalls);
        let version = self.cached.borrow()[kind as usize].version;
        let wait = match kind {
            _ if is_probe || version.is_none() => time::Duration::ZERO,
            Kind::Runners => self.settings.runners_wait,
            Kind::Routing | Kind::Weights => self.settings.watch_wait,
        };
        let call = calls.on_call(self.router.now(), wait, version);
        open.retain(|id| calls.get(id).is_some());
        match version {
            None => {
                self.router.metrics.count(Counter::StoreLists);
                let listing = self.store.list(name);
                open.push(call.id, async { listing.await.map(Answer::Listing) });
            }
            Some(version) => {
                self.router.metrics.count(Counter::StoreWatches);
                let changes = self.store.watch(name, version, wait);
                open.push(call.id, async { changes.await.map(Answer::Changes) });
            }
        }
    }

    /// What happens next to the open calls. `call_at`: when another one is made.
    async fn next_event(
        &self,
        kind: Kind,
        call_at: Option<Instant>,
        calls: &mut OpenCalls,
        open: &mut OpenFutures<'_, CallId, Result<Answer, StoreError>>,
    ) -> CallEvent {
        let due = async {
            let Some(call_at) = call_at else {
                return std::future::pending().await;
            };
            // Calls for another kind that are answered again end the pause.
            let disturbed = self.disturbed.listen();
            let pause = self.sleep_until(call_at);
            futures_lite::future::or(pause, disturbed).await;
            CallEvent::Due
        };
        let newest = calls.newest().copied();
        let overdue_at = calls.overdue_at();
        let overdue = async {
            match (newest, overdue_at) {
                (Some(call), Some(at)) if call_at.is_none() => {
                    self.sleep_until(at).await;
                    CallEvent::Overdue(call)
                }
                _ => std::future::pending().await,
            }
        };
        let doubted = async {
            let is_watch = newest.is_some_and(|call| !call.wait.is_zero());
            if !is_watch || call_at.is_some() {
                std::future::pending::<()>().await;
            }
            self.wait_until_doubted(kind).await;
            CallEvent::Doubted
        };
        let ended = async {
            loop {
                let (id, result) = open.next().await;
                let Some(call) = calls.get(id).copied() else {
                    continue;
                };
                let is_failure = !matches!(
                    result,
                    Ok(_) | Err(StoreError::Restored | StoreError::HistoryGone)
                );
                if !is_failure || calls.on_failure(id) {
                    return CallEvent::Ended(call, result);
                }
            }
        };
        let timed = futures_lite::future::or(due, overdue);
        futures_lite::future::or(ended, futures_lite::future::or(doubted, timed)).await
    }

    async fn sleep_until(&self, at: Instant) {
        smol::Timer::after(at.since(self.router.now())).await;
    }

    /// Applies an answer to a call from `version`. Returns whether it has changes.
    fn apply(&self, kind: Kind, version: Option<ObjectVersion>, answer: &Answer) -> bool {
        let revision = match answer {
            Answer::Listing(listing) => listing.revision,
            Answer::Changes(changes) => changes.revision,
        };
        let current = self.cached.borrow()[kind as usize].version;
        if current != version && current > Some(revision) {
            // Another router's documents arrived during the call and are newer.
            return false;
        }
        match answer {
            Answer::Listing(listing) => {
                self.apply_list(kind, listing);
                false
            }
            Answer::Changes(changes) => {
                self.apply_changes(kind, changes);
                !changes.changes.is_empty()
            }
        }
    }

    /// Returns when a call that waits for changes may never be answered: calls for another
    /// kind have failed or recovered since, another router has had a newer document for
    /// a while, or a request needs to know that there are no changes.
    async fn wait_until_doubted(&self, kind: Kind) {
        let disturbed = self.disturbed.listen();
        let outdated = async {
            loop {
                let noticed = self.noticed.listen();
                let due_at = self.cached.borrow()[kind as usize].doubts.due_at();
                let Some(due_at) = due_at else {
                    noticed.await;
                    continue;
                };
                let now = self.router.now();
                if now >= due_at {
                    log::info!(kind:%; "another router has a newer document; calling the store again");
                    return;
                }
                smol::Timer::after(due_at.since(now)).await;
            }
        };
        let wanted = async {
            if kind != Kind::Runners {
                std::future::pending::<()>().await;
            }
            self.router.wait_until_refresh_wanted().await;
        };
        let doubted = futures_lite::future::or(disturbed, outdated);
        futures_lite::future::or(doubted, wanted).await;
    }

    /// The store answered a call, at `answered_at` or later. It is applied after this.
    fn on_success(&self, kind: Kind, call: &OpenCall, answered_at: Instant) {
        self.update(kind, |cached| {
            cached.is_fresh = true;
            cached.answered_at = Some(answered_at);
            cached.doubts.on_answer(call.called_at);
            cached.sources.on_success();
        });
        if kind == Kind::Runners {
            let mut state = self.router.state();
            state.runners_mut().on_store_answer(answered_at);
        }
    }

    fn on_failure(&self, kind: Kind, failures: u32, called_at: Instant, error: &StoreError) {
        self.router.metrics.count(Counter::StoreLost);
        let waited_ms = self.router.now().since(called_at).as_millis();
        let silent_ms = self.silent_ms(kind);
        if failures == 1 {
            log::warn!(kind:%, error:%, waited_ms, silent_ms:?; "the store does not answer; fetching documents from other routers");
            self.disturbed.notify(usize::MAX);
        } else {
            log::info!(kind:%, failures, error:%, waited_ms, silent_ms:?; "a call to the store failed again");
        }
        let now = self.router.now();
        self.update(kind, |cached| {
            cached.is_fresh = false;
            cached.sources.on_failure(now);
        });
        self.sources_changed.notify(usize::MAX);
        if kind == Kind::Runners {
            self.router.state().runners_mut().on_store_failure();
        }
    }

    /// The store has lost its last writes. Registrations that are missing are kept for a
    /// while, as after an outage: the runners write them again.
    fn on_restored(&self, kind: Kind) {
        self.router.metrics.count(Counter::StoreRestored);
        self.disturbed.notify(usize::MAX);
        self.update(kind, |cached| {
            cached.version = None;
            cached.is_fresh = false;
        });
        if kind == Kind::Runners {
            self.router.state().runners_mut().on_store_restored();
        }
    }

    /// Time since the store last answered a call for this kind, in milliseconds.
    fn silent_ms(&self, kind: Kind) -> Option<u128> {
        let answered_at = self.cached.borrow()[kind as usize].answered_at?;
        Some(self.router.now().since(answered_at).as_millis())
    }

    /// Random, so that all routers together list at no more than `restore_rate`.
    fn restore_delay(&self) -> time::Duration {
        let listings = (self.router.state().routers() * Kind::COUNT) as f64;
        let spread = time::Duration::from_secs_f64(listings / self.settings.restore_rate.max(1.0));
        self.router.jitter(spread)
    }

    /// Time until the next call. The time that a failed call took counts as a part of it:
    /// the store may have been back for as long. After a call that waited for changes it
    /// does not, since those of many routers fail at the same moment.
    fn pause(&self, failures: u32, called_at: Instant) -> time::Duration {
        let spent = match failures {
            1 => time::Duration::ZERO,
            _ => self.router.now().since(called_at),
        };
        self.backoff(failures).saturating_sub(spent)
    }

    /// Exponential, with jitter over its upper half.
    fn backoff(&self, failures: u32) -> time::Duration {
        let backoff = self.settings.min_backoff * (1 << failures.min(8).saturating_sub(1));
        let backoff = backoff.min(self.settings.max_backoff);
        backoff / 2 + self.router.jitter(backoff / 2)
    }

    fn apply_list(&self, kind: Kind, listing: &Listing) {
        self.router.on_list(kind, listing);
        let documents = listing.documents.iter();
        let listed = documents.map(|doc| (doc.name.clone(), doc.clone()));
        let listed: Table<_, _> = listed.collect();
        self.update(kind, |cached| {
            cached.version = Some(listing.revision);
            let known = std::mem::replace(&mut cached.documents, listed);
            for document in known.values() {
                self.keep_newer(kind, cached, document);
            }
        });
        self.tell_other_routers(kind);
    }

    /// Tells some other routers of documents that are new, in case they are not told by the
    /// store. Registrations change too often for that.
    fn tell_other_routers(&self, kind: Kind) {
        if kind == Kind::Runners {
            return;
        }
        let mut all = self.cached.borrow_mut();
        let cached = &mut all[kind as usize];
        let documents = cached.documents.values();
        let newest = documents.map(|document| document.version).max();
        if let Some(version) = newest.filter(|version| cached.doubts.on_documents(*version)) {
            self.put_notice(kind, version, self.settings.doubts.fan_out);
        }
        if kind == Kind::Routing {
            self.router
                .set_outdated_since(cached.doubts.missing_since());
        }
    }

    fn put_notice(&self, kind: Kind, version: ObjectVersion, most: usize) {
        let notice = datagram::DocumentNotice { kind, version };
        let notice = datagram::Datagram::DocumentChanged(notice);
        let recipient = peers::Recipient::SomeRouters(most);
        self.router.outbox.put(recipient, notice);
    }

    /// Reminds other routers of the newest version of a kind periodically; never returns.
    async fn remind_routers(&self, kind: Kind) {
        if kind == Kind::Runners {
            std::future::pending::<()>().await;
        }
        let watch_doubts::Settings {
            reminder_interval,
            reminded,
            ..
        } = self.settings.doubts;
        loop {
            // Jitter keeps routers that have started together from reminding together.
            let jitter = self.router.jitter(reminder_interval);
            smol::Timer::after(reminder_interval / 2 + jitter).await;
            let version = self.cached.borrow()[kind as usize].doubts.reminder();
            if let Some(version) = version {
                self.put_notice(kind, version, reminded);
            }
        }
    }

    /// Keeps a document that is newer than the listed one, which comes from an older
    /// copy of the store. Other routers get it from here.
    fn keep_newer(&self, kind: Kind, cached: &mut CachedDocuments, document: &Document) {
        let content = |document: &Document| self.router.content_version(kind, document);
        let Some(version) = content(document) else {
            return;
        };
        let listed = cached.documents.get(&document.name).and_then(content);
        if listed < Some(version) {
            cached
                .documents
                .insert(document.name.clone(), document.clone());
        }
    }

    /// Takes newer documents from another router, once after the first listing: the
    /// store may have lost them shortly before this router started.
    async fn compare_with_peers(&self, kind: Kind) {
        if kind == Kind::Runners {
            return;
        }
        let fetch = async {
            let Some((_, listing)) = self.first_offer(kind, None).await else {
                return;
            };
            self.router.on_list(kind, &listing);
            self.update(kind, |cached| {
                for document in &listing.documents {
                    self.keep_newer(kind, cached, document);
                }
            });
        };
        futures_lite::future::or(fetch, async {
            smol::Timer::after(self.settings.peer_overdue).await;
        })
        .await;
    }

    fn apply_changes(&self, kind: Kind, changes: &Changes) {
        self.router.on_changes(kind, changes);
        self.update(kind, |cached| {
            cached.version = cached.version.max(Some(changes.revision));
            for change in &changes.changes {
                match change {
                    Change::Changed(doc) => {
                        cached.documents.insert(doc.name.clone(), doc.clone());
                    }
                    Change::Removed(name) => {
                        cached.documents.remove(name);
                    }
                }
            }
        });
        self.tell_other_routers(kind);
    }

    fn update(&self, kind: Kind, change: impl FnOnce(&mut CachedDocuments)) {
        let cached = &mut self.cached.borrow_mut()[kind as usize];
        change(cached);
        if kind == Kind::Routing {
            self.router
                .set_outdated_since(cached.doubts.missing_since());
        }
    }

    // ------------------------------------------------------------------------
    // Other routers

    /// Follows a kind in the documents of other routers while the store does not send it, or
    /// another router has a newer document; never returns.
    async fn follow_routers(&self, kind: Kind) {
        loop {
            self.wait_until_round_due(kind).await;
            self.fetch_from_peers(kind).await;
        }
    }

    /// Returns when the routers to ask in a round are to be chosen anew.
    async fn wait_until_overtaken(&self, kind: Kind) {
        loop {
            let changed = self.sources_changed.listen();
            if self.cached.borrow()[kind as usize].sources.is_overtaken() {
                return;
            }
            changed.await;
        }
    }

    async fn wait_until_round_due(&self, kind: Kind) {
        loop {
            let changed = self.sources_changed.listen();
            let due_at = {
                let cached = &self.cached.borrow()[kind as usize];
                cached.sources.due_at(cached.doubts.due_at())
            };
            let Some(due_at) = due_at else {
                changed.await;
                continue;
            };
            let now = self.router.now();
            if now >= due_at {
                return;
            }
            let timer = async {
                smol::Timer::after(due_at.since(now)).await;
            };
            futures_lite::future::or(timer, changed).await;
        }
    }

    /// Answers another router that asks for the kind with this number, with the query of its
    /// target.
    pub fn serve(&self, kind: usize, query: &str) -> Offer {
        let Some(kind) = Kind::from_repr(kind) else {
            return Offer::Nothing;
        };
        let theirs = query.strip_prefix(NEWER_FIELD);
        let theirs = theirs.and_then(|version| version.parse().ok());
        self.offer(kind, theirs.map(ObjectVersion))
    }

    /// What this router offers to one that has documents up to `theirs`. Without an answer of
    /// the store to its last call it offers only what is surely newer.
    fn offer(&self, kind: Kind, theirs: Option<ObjectVersion>) -> Offer {
        let cached = &self.cached.borrow()[kind as usize];
        let Some(at) = cached.version else {
            return Offer::Nothing;
        };
        let reached = cached.reached(kind);
        let is_newer = theirs.is_some() && reached > theirs;
        let is_trusted = cached.is_fresh || (is_newer && kind != Kind::Runners);
        if !is_trusted || reached < theirs {
            return Offer::Nothing;
        }
        if reached == theirs {
            return Offer::Unchanged;
        }
        let documents = cached.documents.values().map(|doc| generated::Document {
            name: doc.name.to_string(),
            version: doc.version.0,
            value: doc.value.clone(),
        });
        let message = generated::Documents {
            kind: kind as u32,
            at: at.0,
            documents: documents.collect(),
        };
        match bincode::encode_to_vec(message, BINCODE_CONFIG) {
            Ok(bytes) => Offer::Documents(bytes),
            Err(error) => {
                log::error!(kind:%, error:%; "cannot encode documents for another router");
                Offer::Nothing
            }
        }
    }

    /// Applies the documents of another router if they are newer.
    async fn fetch_from_peers(&self, kind: Kind) {
        let now = self.router.now();
        self.update(kind, |cached| cached.sources.on_round(now));
        let reached = self.cached.borrow()[kind as usize].reached(kind);
        if let Some((peer, listing)) = self.first_offer(kind, reached).await {
            self.apply_newer(kind, peer, &listing);
        }
    }

    /// Asks routers until one knows whether there are documents newer than `reached`, and
    /// returns them if there are. A router that does not answer soon may still do so while
    /// the next ones are asked.
    async fn first_offer(
        &self,
        kind: Kind,
        reached: Option<ObjectVersion>,
    ) -> Option<(net::SocketAddr, Listing)> {
        let mut open = OpenFutures::new();
        let mut asked = self.asked_peers(kind);
        loop {
            let peer = asked.next();
            if let Some(peer) = peer {
                open.push(peer, self.fetch(peer, kind, reached));
                open.drop_oldest(self.settings.max_open);
            } else if open.is_empty() {
                return None;
            }
            let wait = match peer {
                Some(_) => self.settings.peer_overdue,
                None => self.settings.sources.interval,
            };
            let overdue = async {
                smol::Timer::after(wait).await;
                RoundEvent::Overdue
            };
            let overtaken = async {
                self.wait_until_overtaken(kind).await;
                RoundEvent::Overtaken
            };
            let replied = async { RoundEvent::Replied(self.next_offer(kind, &mut open).await) };
            let event = futures_lite::future::or(overtaken, overdue);
            match futures_lite::future::or(replied, event).await {
                RoundEvent::Replied(ControlFlow::Break(offer)) => return offer,
                RoundEvent::Replied(ControlFlow::Continue(())) => {}
                RoundEvent::Overdue => match peer {
                    Some(peer) => self.on_reply(kind, peer, Reply::Unreached),
                    None if !self.is_round_wanted(kind) => return None,
                    None => asked = self.next_round(kind),
                },
                RoundEvent::Overtaken => asked = self.next_round(kind),
            }
        }
    }

    /// Handles the next reply of the routers that were asked. Ends the round if it tells
    /// whether there are newer documents.
    async fn next_offer(
        &self,
        kind: Kind,
        open: &mut OpenFutures<'_, net::SocketAddr, Result<Fetched, CallError>>,
    ) -> ControlFlow<Option<(net::SocketAddr, Listing)>> {
        let (peer, result) = open.next().await;
        let reply = match &result {
            Ok(Fetched::Documents(_) | Fetched::Unchanged) => Reply::Current,
            Ok(Fetched::Nothing) => Reply::Nothing,
            Err(_) => Reply::Unreached,
        };
        self.on_reply(kind, peer, reply);
        match result {
            Ok(Fetched::Documents(listing)) => return ControlFlow::Break(Some((peer, listing))),
            Ok(Fetched::Unchanged) => return ControlFlow::Break(None),
            Ok(Fetched::Nothing) => {}
            Err(error) => {
                log::debug!(kind:%, router:% = peer, error:%; "cannot fetch documents from another router");
            }
        }
        self.router.metrics.count(Counter::DocumentsNotOffered);
        ControlFlow::Continue(())
    }

    fn on_reply(&self, kind: Kind, peer: net::SocketAddr, reply: Reply) {
        let now = self.router.now();
        self.update(kind, |cached| cached.sources.on_reply(now, peer, reply));
    }

    /// The routers that are asked in one round.
    fn asked_peers(&self, kind: Kind) -> std::vec::IntoIter<net::SocketAddr> {
        let sources = &self.cached.borrow()[kind as usize].sources;
        let mut order = self.router.order_sources(sources, &self.peers.borrow());
        order.truncate(self.settings.max_peers);
        order.into_iter()
    }

    /// Begins another round beside the questions that are open.
    fn next_round(&self, kind: Kind) -> std::vec::IntoIter<net::SocketAddr> {
        let now = self.router.now();
        self.update(kind, |cached| cached.sources.on_round(now));
        self.asked_peers(kind)
    }

    /// Whether documents of other routers are still needed.
    fn is_round_wanted(&self, kind: Kind) -> bool {
        let cached = &self.cached.borrow()[kind as usize];
        cached.sources.due_at(cached.doubts.due_at()).is_some()
    }

    /// Fetches what a router has of a kind after `reached`; everything if that is `None`.
    async fn fetch(
        &self,
        peer: net::SocketAddr,
        kind: Kind,
        reached: Option<ObjectVersion>,
    ) -> Result<Fetched, CallError> {
        let query = reached.map_or_else(String::new, |reached| {
            format!("?{NEWER_FIELD}{}", reached.0)
        });
        let target = format!("{DOCUMENTS_PATH}{}{query}", kind as usize);
        let call = Call {
            target: &target,
            timeout: self.settings.peer_timeout,
            limit: self.settings.peer_bytes,
            budget: Some(self.peer_budget.clone()),
            ..Call::default()
        };
        let reply = call.send(peer, self.settings.peer_timeout).await?;
        Ok(match reply.head.status {
            200 => match decode(&reply.body) {
                Some(listing) => Fetched::Documents(listing),
                None => {
                    log::warn!(kind:%, router:% = peer; "cannot decode the documents of another router");
                    Fetched::Nothing
                }
            },
            304 => Fetched::Unchanged,
            _ => Fetched::Nothing,
        })
    }

    fn apply_newer(&self, kind: Kind, peer: net::SocketAddr, listing: &Listing) {
        let own = self.cached.borrow()[kind as usize].version;
        if own >= Some(listing.revision) {
            return;
        }
        log::info!(kind:%, router:% = peer, own:? = own.map(|version| version.0), at = listing.revision.0; "using newer documents from another router");
        self.apply_list(kind, listing);
    }
}

/// What another router sent.
enum Fetched {
    Documents(Listing),
    Unchanged,
    Nothing,
}

fn decode(bytes: &[u8]) -> Option<Listing> {
    let decoded = bincode::decode_from_slice::<generated::Documents, _>(bytes, BINCODE_CONFIG);
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
