//! Whom to ask: several sources at the beginning, then the store or a parent.

use std::time;

use lentil_types::{Instant, NodeName};
use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::config_sync::{Command, Doc, Peer, StoreState, Tree};

use super::{ConfigSync, Settings, Slot, Watch};

impl ConfigSync {
    // -----------------------------------------------------------------------
    // The beginning: several peers and the store are asked at once

    pub(super) fn begin(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let waited = now.since(self.began) >= self.settings.first_wait;
        let is_answered = self.answered.len() >= self.settings.first_asks.min(self.peers.len());
        let has_text = self
            .slots
            .get(&Doc::Config)
            .is_some_and(|slot| slot.first.is_some());
        let watches = self.is_watcher(now);
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

    pub(super) fn ask_several(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let idle = |peer: &&Peer| !self.asks.contains(&peer.node);
        let free: Vec<_> = self.peers.iter().filter(idle).collect();
        let chosen = free.sample(rng, self.settings.first_asks);
        let nodes: Vec<_> = chosen.map(|peer| peer.node.clone()).collect();
        for node in nodes {
            self.ask(now, node, time::Duration::ZERO);
        }
    }

    /// Puts the highest versions in force that anyone had.
    pub(super) fn end_first(&mut self) {
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
    pub(super) fn rebuild_tree(&mut self) {
        let here =
            |peer: &&Peer| peer.place == self.settings.place && !self.failed.contains(&peer.node);
        let others = self.peers.iter().filter(here).map(|peer| peer.node.clone());
        let nodes = others.chain([self.settings.node.clone()]);
        self.tree = Tree::new(nodes, self.settings.watchers, self.settings.children);
    }

    /// Takes back into account the peers whose failure is long ago.
    pub(super) fn expire_failures(&mut self, now: Instant) {
        let count = self.failed.len();
        self.failed.retain(|_, until| now < *until);
        if self.failed.len() < count {
            self.rebuild_tree();
        }
    }

    /// Number of processes here that watch: it doubles while confirmations stay
    /// old.
    pub(super) fn watchers(&self, now: Instant) -> usize {
        let age = self.age(now).unwrap_or_else(|| now.since(self.began));
        let periods = age.as_micros() / self.settings.stale.as_micros().max(1);
        let doublings = u32::try_from(periods).unwrap_or(u32::MAX);
        self.settings.watchers << doublings.min(self.settings.doublings)
    }

    pub(super) fn watch(&mut self, now: Instant) {
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

    pub(super) fn ask_parent(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
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
    pub(super) fn other_source(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
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

    pub(super) fn any_peer(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
        let usable = |peer: &&Peer| !self.failed.contains(&peer.node);
        let peers: Vec<_> = self.peers.iter().filter(usable).collect();
        peers.choose(rng).map(|peer| peer.node.clone())
    }

    pub(super) fn ask(&mut self, now: Instant, peer: NodeName, wait: time::Duration) {
        self.asks.insert(peer.clone(), now);
        let known = self.known();
        self.commands.push(Command::Ask { peer, known, wait });
    }

    pub(super) fn expire_asks(&mut self, now: Instant) {
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
