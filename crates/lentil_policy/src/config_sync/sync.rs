//! Keeps one process's documents up to date.

use std::{collections::VecDeque, sync, time};

use lentil_types::{Instant, NodeName, PlaceName, Table};
use rand::{RngExt as _, seq::IndexedRandom as _};
use strum::IntoEnumIterator as _;

use super::{
    Body, Command, Doc, Document, Edit, Event, Known, NotReady, Peer, Reply, StoreState, Tree,
    Update,
};
use crate::store;

/// Settings of a [`ConfigSync`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Processes in each data centre that watch the store.
    pub watchers: usize,
    /// Most processes that ask one process.
    pub children: usize,
    /// How long a watch or an ask waits for something newer.
    pub wait: time::Duration,
    /// How long after that it counts as stalled.
    pub grace: time::Duration,
    /// Age of the store's confirmation at which a process looks elsewhere.
    pub stale: time::Duration,
    /// Doublings of the number of watchers while confirmations stay old.
    pub doublings: u32,
    /// Pause after the store or a peer failed.
    pub pause: time::Duration,
    /// Peers that a process without a text asks at once.
    pub first_asks: usize,
    /// How long it collects their answers before it takes the highest.
    pub first_wait: time::Duration,
}

impl Settings {
    /// The usual settings of a process.
    pub fn new(node: NodeName, place: PlaceName) -> Self {
        Self {
            node,
            place,
            watchers: 2,
            children: 8,
            wait: time::Duration::from_secs(2),
            grace: time::Duration::from_secs(1),
            stale: time::Duration::from_secs(10),
            doublings: 3,
            pause: time::Duration::from_secs(1),
            first_asks: 4,
            first_wait: time::Duration::from_secs(1),
        }
    }
}

/// Versions back for which a peer gets edits instead of the whole document.
const HISTORY: usize = 16;

/// A call to the store that is under way.
#[derive(Clone, Copy, Debug)]
struct Watch {
    since: Instant,
    wait: time::Duration,
}

/// One document and the watch on it.
#[derive(Clone, Debug, Default)]
struct Slot {
    current: Option<Document>,
    /// Highest version heard of before the first is put in force.
    first: Option<Document>,
    /// Edits that led here, each with the version that it starts from.
    history: VecDeque<(store::ObjectVersion, Edit)>,
    watch: Option<Watch>,
    retry: Instant,
    /// When the store last said that nothing newer exists.
    confirmed: Option<Instant>,
}

/// Keeps one process's documents up to date.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    settings: Settings,
    slots: Table<Doc, Slot>,
    peers: Vec<Peer>,
    /// The live processes here; built again when peers change or fail.
    tree: Tree,
    /// Peers that did not answer, and until when they are passed over.
    failed: Table<NodeName, Instant>,
    asks: Table<NodeName, Instant>,
    answered: Vec<NodeName>,
    next_ask: Instant,
    store: StoreState,
    began: Instant,
    is_first: bool,
    commands: Vec<Command>,
}

impl ConfigSync {
    /// A process that has just begun and has nothing.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let tree = Tree::new(
            [settings.node.clone()],
            settings.watchers,
            settings.children,
        );
        Self {
            settings,
            tree,
            slots: Doc::iter().map(|doc| (doc, Slot::default())).collect(),
            peers: Vec::new(),
            failed: Table::new(),
            asks: Table::new(),
            answered: Vec::new(),
            next_ask: Instant::ZERO,
            store: StoreState::Silent,
            began: now,
            is_first: true,
            commands: Vec::new(),
        }
    }

    /// Takes in what happened. Call [`ConfigSync::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Peers(peers) => self.on_peers(peers),
            Event::Stored(doc, found) => self.on_stored(now, doc, found),
            Event::StoreFailed(doc) => self.on_store_failed(now, doc),
            Event::Replied(peer, reply) => self.on_reply(now, &peer, reply),
            Event::Unanswered(peer) => self.on_unanswered(now, peer),
        }
    }

    /// Starts what is due and returns what to do.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<Command> {
        self.expire_failures(now);
        self.expire_asks(now);
        if self.is_first {
            self.begin(now, rng);
        } else {
            self.ask_parent(now, rng);
        }
        if self.watches(now) {
            self.watch(now);
        }
        std::mem::take(&mut self.commands)
    }

    /// When to call [`ConfigSync::tick`] next if nothing happens before.
    pub fn next_wake(&self, now: Instant) -> Instant {
        now + self.settings.pause.min(self.settings.grace) / 2
    }

    /// What this process has of every document.
    pub fn known(&self) -> Vec<Known> {
        let known = |(&doc, slot): (&Doc, &Slot)| Known {
            doc,
            version: slot.version(),
        };
        self.slots.iter().map(known).collect()
    }

    /// The version of a document in force here; 0: none.
    pub fn version(&self, doc: Doc) -> store::ObjectVersion {
        self.slots.get(&doc).map(Slot::version).unwrap_or_default()
    }

    /// The document in force here.
    pub fn document(&self, doc: Doc) -> Option<&Document> {
        self.slots.get(&doc)?.current.as_ref()
    }

    /// How long ago the store confirmed that nothing newer existed.
    pub fn age(&self, now: Instant) -> Option<time::Duration> {
        let oldest = self.slots.values().map(|slot| slot.confirmed).min()??;
        Some(now.since(oldest))
    }

    /// Whether this process watches the store itself.
    pub fn watches(&self, now: Instant) -> bool {
        let rank = self.tree.rank(&self.settings.node).unwrap_or(0);
        rank < self.watchers(now)
    }

    /// Why this process may not serve, if it may not.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.version(Doc::Config) != store::ObjectVersion(0) {
            return None;
        }
        Some(NotReady {
            store: self.store,
            peers: self.peers.len(),
            answered: self.answered.len(),
        })
    }

    /// Whether an asker with `known` would get something newer.
    pub fn has_newer(&self, known: &[Known]) -> bool {
        known
            .iter()
            .any(|known| self.version(known.doc) > known.version)
    }

    /// The answer to a peer that has `known`.
    pub fn reply(&self, now: Instant, known: &[Known]) -> Reply {
        let newer = known.iter().filter_map(|known| {
            let slot = self.slots.get(&known.doc)?;
            slot.update(known)
        });
        Reply {
            updates: newer.collect(),
            age: self.age(now),
        }
    }

    // -----------------------------------------------------------------------
    // Events

    fn on_peers(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.node != self.settings.node);
        self.peers = peers;
        self.rebuild_tree();
    }

    fn on_stored(&mut self, now: Instant, doc: Doc, found: Option<Document>) {
        self.store = StoreState::Up;
        let pause = if self.is_first {
            self.settings.pause
        } else {
            time::Duration::ZERO
        };
        let Some(slot) = self.slots.get_mut(&doc) else {
            return;
        };
        let watch = slot.watch.take();
        slot.retry = now + pause;
        // A read may return an older version than one that is known.
        let is_stale = found
            .as_ref()
            .is_some_and(|found| found.version < slot.version());
        if is_stale {
            slot.retry = now + self.settings.pause;
            return;
        }
        let confirmed = watch.map(|watch| watch.confirmed(found.is_none()));
        slot.confirmed = slot.confirmed.max(confirmed);
        if let Some(found) = found {
            self.offer(doc, found);
        }
    }

    fn on_store_failed(&mut self, now: Instant, doc: Doc) {
        self.store = StoreState::Down;
        if let Some(slot) = self.slots.get_mut(&doc) {
            slot.watch = None;
            slot.retry = now + self.settings.pause;
        }
    }

    fn on_reply(&mut self, now: Instant, peer: &NodeName, reply: Reply) {
        self.asks.remove(peer);
        if self.failed.remove(peer).is_some() {
            self.rebuild_tree();
        }
        if !self.answered.contains(peer) {
            self.answered.push(peer.clone());
        }
        if reply.updates.is_empty() {
            // A peer that does not wait must not be asked without end.
            self.next_ask = self.next_ask.max(now + self.settings.pause / 4);
        }
        for update in reply.updates {
            if !self.on_update(update) {
                self.on_unanswered(now, peer.clone());
                return;
            }
        }
        if let Some(age) = reply.age {
            self.confirm(now, age);
        }
    }

    fn on_unanswered(&mut self, now: Instant, peer: NodeName) {
        self.asks.remove(&peer);
        self.failed.insert(peer, now + self.settings.stale);
        self.rebuild_tree();
    }

    /// Takes what a peer sent. Says whether it fits what is known here.
    fn on_update(&mut self, update: Update) -> bool {
        let Some(slot) = self.slots.get(&update.doc) else {
            return false;
        };
        if update.version <= slot.version() {
            return true;
        }
        let Some(value) = slot.resolve(update.body) else {
            return false;
        };
        let document = Document {
            version: update.version,
            value: value.into(),
        };
        self.offer(update.doc, document);
        true
    }

    /// Notes that the store confirmed this process's versions `age` ago.
    fn confirm(&mut self, now: Instant, age: time::Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Instant(now.0.saturating_sub(micros));
        for (_, slot) in self.slots.iter_mut() {
            slot.confirmed = slot.confirmed.max(Some(at));
        }
    }

    /// Takes a document that may be newer than what is in force.
    fn offer(&mut self, doc: Doc, document: Document) {
        let is_first = self.is_first;
        let Some(slot) = self.slots.get_mut(&doc) else {
            return;
        };
        if is_first {
            let is_higher = slot
                .first
                .as_ref()
                .is_none_or(|f| f.version < document.version);
            if is_higher {
                slot.first = Some(document);
            }
        } else if slot.put(&document) {
            self.commands.push(Command::Apply(doc, document));
        }
    }

    // -----------------------------------------------------------------------
    // The beginning: several peers and the store are asked at once

    fn begin(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let waited = now.since(self.began) >= self.settings.first_wait;
        let is_answered = self.answered.len() >= self.settings.first_asks.min(self.peers.len());
        let has_text = self
            .slots
            .get(&Doc::Config)
            .is_some_and(|slot| slot.first.is_some());
        let watches = self.watches(now);
        let is_stored = self.slots.values().all(|slot| slot.confirmed.is_some());
        if has_text && (waited || is_answered && (is_stored || !watches)) {
            self.end_first();
            return;
        }
        if now >= self.next_ask {
            self.next_ask = now + self.settings.pause;
            self.ask_several(now, rng);
        }
    }

    fn ask_several(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let idle = |peer: &&Peer| !self.asks.contains(&peer.node);
        let free: Vec<_> = self.peers.iter().filter(idle).collect();
        let chosen = free.sample(rng, self.settings.first_asks);
        let nodes: Vec<_> = chosen.map(|peer| peer.node.clone()).collect();
        for node in nodes {
            self.ask(now, node, time::Duration::ZERO);
        }
    }

    /// Puts the highest versions in force that anyone had.
    fn end_first(&mut self) {
        self.is_first = false;
        let first = |(&doc, slot): (&Doc, &mut Slot)| Some((doc, slot.first.take()?));
        let firsts: Vec<_> = self.slots.iter_mut().filter_map(first).collect();
        for (doc, document) in firsts {
            self.offer(doc, document);
        }
    }

    // -----------------------------------------------------------------------
    // Afterwards: watch the store or ask a parent

    /// Builds the tree of the peers here that did not fail.
    fn rebuild_tree(&mut self) {
        let here =
            |peer: &&Peer| peer.place == self.settings.place && !self.failed.contains(&peer.node);
        let others = self.peers.iter().filter(here).map(|peer| peer.node.clone());
        let nodes = others.chain([self.settings.node.clone()]);
        self.tree = Tree::new(nodes, self.settings.watchers, self.settings.children);
    }

    /// Takes back into account the peers whose failure is long ago.
    fn expire_failures(&mut self, now: Instant) {
        let count = self.failed.len();
        self.failed.retain(|_, until| now < *until);
        if self.failed.len() < count {
            self.rebuild_tree();
        }
    }

    /// Number of processes here that watch: it doubles while confirmations stay
    /// old.
    fn watchers(&self, now: Instant) -> usize {
        let age = self.age(now).unwrap_or_else(|| now.since(self.began));
        let periods = age.as_micros() / self.settings.stale.as_micros().max(1);
        let doublings = u32::try_from(periods).unwrap_or(u32::MAX);
        self.settings.watchers << doublings.min(self.settings.doublings)
    }

    fn watch(&mut self, now: Instant) {
        let Settings { wait, grace, .. } = self.settings;
        let is_first = self.is_first;
        for (&doc, slot) in self.slots.iter_mut() {
            let is_late = |watch: Watch| now.since(watch.since) > wait + grace;
            let is_stalled = slot.watch.is_some_and(is_late);
            let is_busy = slot.watch.is_some() && !is_stalled;
            if is_busy || now < slot.retry {
                continue;
            }
            // After a stall a plain read shows at once what was missed.
            let is_read = is_first || is_stalled;
            let wait = if is_read { time::Duration::ZERO } else { wait };
            slot.watch = Some(Watch { since: now, wait });
            let after = slot.version();
            self.commands.push(Command::Watch { doc, after, wait });
        }
    }

    fn ask_parent(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        if !self.asks.is_empty() || now < self.next_ask {
            return;
        }
        let is_stale = self.age(now).is_none_or(|age| age > self.settings.stale);
        let parent = self.tree.parent(&self.settings.node).cloned();
        // A parent may be cut off from the store, and so may a watcher be.
        let is_cut = is_stale || parent.is_none() && self.store == StoreState::Down;
        let chosen = if is_cut {
            self.other_source(rng)
        } else {
            parent
        };
        let Some(peer) = chosen else {
            return;
        };
        let mut wait = self.settings.wait;
        if is_cut {
            self.next_ask = now + self.settings.pause;
            wait = time::Duration::ZERO;
        }
        self.ask(now, peer, wait);
    }

    /// Another watcher or any peer, by chance: one may be cut off too, the other
    /// may have its texts from here.
    fn other_source(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
        let others = self
            .tree
            .watchers()
            .filter(|node| **node != self.settings.node);
        let others: Vec<_> = others.collect();
        match others.choose(rng) {
            Some(other) if rng.random_bool(0.5) => Some((*other).clone()),
            _ => self.any_peer(rng),
        }
    }

    fn any_peer(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
        let usable = |peer: &&Peer| !self.failed.contains(&peer.node);
        let peers: Vec<_> = self.peers.iter().filter(usable).collect();
        peers.choose(rng).map(|peer| peer.node.clone())
    }

    fn ask(&mut self, now: Instant, peer: NodeName, wait: time::Duration) {
        self.asks.insert(peer.clone(), now);
        let known = self.known();
        self.commands.push(Command::Ask { peer, known, wait });
    }

    fn expire_asks(&mut self, now: Instant) {
        let limit = self.settings.wait + self.settings.grace;
        let late = |(peer, since): (&NodeName, &Instant)| {
            (now.since(*since) > limit).then(|| peer.clone())
        };
        let late: Vec<_> = self.asks.iter().filter_map(late).collect();
        for peer in late {
            self.on_unanswered(now, peer);
        }
    }
}

impl Watch {
    /// When the store is known to have looked. One that waited to the end and
    /// found nothing looked then; otherwise the beginning is certain.
    fn confirmed(self, waited: bool) -> Instant {
        if waited {
            self.since + self.wait
        } else {
            self.since
        }
    }
}

impl Slot {
    fn version(&self) -> store::ObjectVersion {
        let current = self.current.as_ref();
        current.map(|document| document.version).unwrap_or_default()
    }

    /// Puts a document in force if it is newer. Says whether it was.
    fn put(&mut self, document: &Document) -> bool {
        let from = self.version();
        if document.version <= from {
            return false;
        }
        if let Some(old) = &self.current {
            let edit = Edit::between(&old.value, &document.value);
            self.history.push_back((from, edit));
            if self.history.len() > HISTORY {
                self.history.pop_front();
            }
        }
        self.current = Some(document.clone());
        true
    }

    /// What a peer with `known` lacks.
    fn update(&self, known: &Known) -> Option<Update> {
        let current = self.current.as_ref()?;
        if current.version <= known.version {
            return None;
        }
        let body = self.edits_since(known.version);
        Some(Update {
            doc: known.doc,
            version: current.version,
            body: body.unwrap_or_else(|| Body::Whole(current.value.to_vec())),
        })
    }

    /// The edits since a version, when they are known and smaller than the
    /// whole.
    fn edits_since(&self, base: store::ObjectVersion) -> Option<Body> {
        let size = self.current.as_ref()?.value.len();
        let start = self.history.iter().position(|(from, _)| *from == base)?;
        let edits = self
            .history
            .iter()
            .skip(start)
            .map(|(_, edit)| edit.clone());
        let edits: Vec<_> = edits.collect();
        let changed: usize = edits.iter().map(|edit| edit.insert.len()).sum();
        (changed < size).then_some(Body::Edits { base, edits })
    }

    /// The whole document that an update brings, or `None` when it does not fit.
    fn resolve(&self, body: Body) -> Option<Vec<u8>> {
        match body {
            Body::Whole(value) => Some(value),
            Body::Edits { base, edits } => {
                let current = self
                    .current
                    .as_ref()
                    .filter(|current| current.version == base)?;
                let apply = |value: Vec<u8>, edit: &Edit| edit.apply(&value).ok();
                edits.iter().try_fold(current.value.to_vec(), apply)
            }
        }
    }
}

impl Document {
    /// A document from its parts.
    pub fn new(version: store::ObjectVersion, value: impl Into<sync::Arc<[u8]>>) -> Self {
        let value = value.into();
        Self { version, value }
    }
}
