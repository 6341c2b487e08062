//! Keeps one process's documents up to date.

mod events;
mod slot;
mod sources;

use std::{sync, time};

use lentil_types::{Instant, NodeName, PlaceName, Table};
use strum::IntoEnumIterator as _;

use super::{Command, Doc, Document, Event, KnownVersion, NotReady, Peer, Reply, StoreState, Tree};
use crate::store;

use slot::{Slot, Watch};

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
            Event::StoreAnswered(doc, found) => self.on_stored(now, doc, found),
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
        if self.is_watcher(now) {
            self.watch(now);
        }
        std::mem::take(&mut self.commands)
    }

    /// When to call [`ConfigSync::tick`] next if nothing happens before.
    pub fn next_wake(&self, now: Instant) -> Instant {
        now + self.settings.pause.min(self.settings.grace) / 2
    }

    /// What this process has of every document.
    pub fn known(&self) -> Vec<KnownVersion> {
        let known = |(&doc, slot): (&Doc, &Slot)| KnownVersion {
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
    pub fn is_watcher(&self, now: Instant) -> bool {
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
    pub fn has_newer(&self, known: &[KnownVersion]) -> bool {
        known
            .iter()
            .any(|known| self.version(known.doc) > known.version)
    }

    /// The answer to a peer that has `known`.
    pub fn reply(&self, now: Instant, known: &[KnownVersion]) -> Reply {
        let newer = known.iter().filter_map(|known| {
            let slot = self.slots.get(&known.doc)?;
            slot.update(known)
        });
        Reply {
            updates: newer.collect(),
            age: self.age(now),
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
