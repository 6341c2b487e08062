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
    /// Data centre of this process.
    pub place: PlaceName,
    /// Processes per data centre that watch the store.
    pub watchers: usize,
    /// Most children of a process in the tree.
    pub children: usize,
    /// How long a watch or an ask waits for a newer version.
    pub wait: time::Duration,
    /// Time beyond `wait` after which it counts as stalled.
    pub grace: time::Duration,
    /// Age of the store's confirmation at which other sources are asked, and
    /// period of the doublings.
    pub stale_after: time::Duration,
    /// Maximum doublings of `watchers` while confirmations are stale.
    pub max_doublings: u32,
    /// Delay before a retry after the store or a peer failed.
    pub retry_delay: time::Duration,
    /// Peers asked in parallel at startup.
    pub startup_asks: usize,
    /// How long it collects answers before it applies the highest versions.
    pub startup_wait: time::Duration,
}

impl Settings {
    /// Default settings for a process.
    pub fn new(node: NodeName, place: PlaceName) -> Self {
        Self {
            node,
            place,
            watchers: 2,
            children: 8,
            wait: time::Duration::from_secs(2),
            grace: time::Duration::from_secs(1),
            stale_after: time::Duration::from_secs(10),
            max_doublings: 3,
            retry_delay: time::Duration::from_secs(1),
            startup_asks: 4,
            startup_wait: time::Duration::from_secs(1),
        }
    }
}

/// Keeps one process's documents up to date.
#[derive(Clone, Debug)]
pub struct ConfigSync {
    settings: Settings,
    slots: Table<Doc, Slot>,
    peers: Vec<Peer>,
    /// Live processes here; rebuilt when peers change or fail.
    tree: Tree,
    /// Peers that did not answer, and until when they are skipped.
    failed: Table<NodeName, Instant>,
    /// Asks in flight, and when each was sent.
    asks: Table<NodeName, Instant>,
    answered: Vec<NodeName>,
    next_ask: Instant,
    store_state: StoreState,
    started_at: Instant,
    /// Whether startup answers are still being collected.
    is_starting: bool,
    commands: Vec<Command>,
}

impl ConfigSync {
    /// Starts without documents.
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
            store_state: StoreState::Silent,
            started_at: now,
            is_starting: true,
            commands: Vec::new(),
        }
    }

    /// Handles an event. Call [`ConfigSync::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: Event) {
        match event {
            Event::Peers(peers) => self.on_peers(peers),
            Event::StoreAnswered(doc, found) => self.on_store_answered(now, doc, found),
            Event::StoreFailed(doc) => self.on_store_failed(now, doc),
            Event::Replied(peer, reply) => self.on_reply(now, &peer, reply),
            Event::Unanswered(peer) => self.on_unanswered(now, peer),
        }
    }

    /// Starts what is due and returns the commands to carry out.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<Command> {
        self.expire_failures(now);
        self.expire_asks(now);
        if self.is_starting {
            self.run_startup(now, rng);
        } else {
            self.ask_parent(now, rng);
        }
        if self.is_watcher(now) {
            self.watch_store(now);
        }
        std::mem::take(&mut self.commands)
    }

    /// When to call [`ConfigSync::tick`] next without an event.
    pub fn next_wake(&self, now: Instant) -> Instant {
        now + self.settings.retry_delay.min(self.settings.grace) / 2
    }

    /// The version of every document in force here.
    pub fn known(&self) -> Vec<KnownVersion> {
        let known = |(&doc, slot): (&Doc, &Slot)| KnownVersion {
            doc,
            version: slot.version(),
        };
        self.slots.iter().map(known).collect()
    }

    /// The version of a document in force here; 0 if there is none.
    pub fn version(&self, doc: Doc) -> store::ObjectVersion {
        self.slots.get(&doc).map(Slot::version).unwrap_or_default()
    }

    /// A document in force here.
    pub fn document(&self, doc: Doc) -> Option<&Document> {
        self.slots.get(&doc)?.current.as_ref()
    }

    /// Time since the store confirmed every document; `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<time::Duration> {
        let oldest = self.slots.values().map(|slot| slot.confirmed_at).min()??;
        Some(now.since(oldest))
    }

    /// Whether this process watches the store.
    pub fn is_watcher(&self, now: Instant) -> bool {
        let rank = self.tree.rank(&self.settings.node).unwrap_or(0);
        rank < self.watchers(now)
    }

    /// Why this process has no configuration; `None` if it has one.
    pub fn not_ready(&self) -> Option<NotReady> {
        if self.version(Doc::Config) != store::ObjectVersion(0) {
            return None;
        }
        Some(NotReady {
            store: self.store_state,
            peers: self.peers.len(),
            answered: self.answered.len(),
        })
    }

    /// Whether a peer that has `known` would get a newer document.
    pub fn has_newer(&self, known: &[KnownVersion]) -> bool {
        known
            .iter()
            .any(|known| self.version(known.doc) > known.version)
    }

    /// The answer to a peer that has `known`.
    pub fn reply(&self, now: Instant, known: &[KnownVersion]) -> Reply {
        let newer = known.iter().filter_map(|known| {
            let slot = self.slots.get(&known.doc)?;
            slot.update_for(known)
        });
        Reply {
            updates: newer.collect(),
            age: self.age(now),
        }
    }
}

impl Document {
    /// Creates a document.
    pub fn new(version: store::ObjectVersion, value: impl Into<sync::Arc<[u8]>>) -> Self {
        let value = value.into();
        Self { version, value }
    }
}
