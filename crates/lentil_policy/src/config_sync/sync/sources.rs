//! Choice of sources: several at startup, then the store or a parent.

use std::time;

use lentil_types::{Instant, NodeName};
use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::config_sync::{Command, Doc, Peer, StoreState, Tree};

use super::{ConfigSync, Settings, Slot, Watch};

impl ConfigSync {
    // -----------------------------------------------------------------------
    // Startup: several peers and the store are asked at once

    /// Asks peers until enough sources have answered.
    pub(super) fn run_startup(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let is_waited_out = now.since(self.started_at) >= self.settings.startup_wait;
        let is_answered = self.answered.len() >= self.settings.startup_asks.min(self.peers.len());
        let has_config = self
            .slots
            .get(&Doc::Config)
            .is_some_and(|slot| slot.candidate.is_some());
        let is_watcher = self.is_watcher(now);
        let is_confirmed = self.slots.values().all(|slot| slot.confirmed_at.is_some());
        if has_config && (is_waited_out || is_answered && (is_confirmed || !is_watcher)) {
            self.finish_startup();
            return;
        }
        if now >= self.next_ask {
            self.next_ask = now + self.settings.retry_delay;
            self.ask_random_peers(now, rng);
        }
    }

    pub(super) fn ask_random_peers(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let is_idle = |peer: &&Peer| !self.asks.contains(&peer.node);
        let idle: Vec<_> = self.peers.iter().filter(is_idle).collect();
        let chosen = idle.sample(rng, self.settings.startup_asks);
        let nodes: Vec<_> = chosen.map(|peer| peer.node.clone()).collect();
        for node in nodes {
            self.ask(now, node, time::Duration::ZERO);
        }
    }

    /// Puts the highest versions in force that any source had.
    pub(super) fn finish_startup(&mut self) {
        self.is_starting = false;
        let candidate = |(&doc, slot): (&Doc, &mut Slot)| Some((doc, slot.candidate.take()?));
        let candidates: Vec<_> = self.slots.iter_mut().filter_map(candidate).collect();
        for (doc, document) in candidates {
            self.on_document(doc, document);
        }
    }

    // -----------------------------------------------------------------------
    // Steady state: watch the store or ask a parent

    /// Rebuilds the tree from the working peers of this data centre.
    pub(super) fn rebuild_tree(&mut self) {
        let is_usable =
            |peer: &&Peer| peer.place == self.settings.place && !self.failed.contains(&peer.node);
        let others = self
            .peers
            .iter()
            .filter(is_usable)
            .map(|peer| peer.node.clone());
        let nodes = others.chain([self.settings.node.clone()]);
        self.tree = Tree::new(nodes, self.settings.watchers, self.settings.children);
    }

    /// Uses peers again whose failure is older than `stale_after`.
    pub(super) fn expire_failures(&mut self, now: Instant) {
        let count = self.failed.len();
        self.failed.retain(|_, until| now < *until);
        if self.failed.len() < count {
            self.rebuild_tree();
        }
    }

    /// Number of watchers here; doubles with each `stale_after` without a
    /// confirmation.
    pub(super) fn watchers(&self, now: Instant) -> usize {
        let age = self.age(now).unwrap_or_else(|| now.since(self.started_at));
        let periods = age.as_micros() / self.settings.stale_after.as_micros().max(1);
        let doublings = u32::try_from(periods).unwrap_or(u32::MAX);
        self.settings.watchers << doublings.min(self.settings.max_doublings)
    }

    pub(super) fn watch_store(&mut self, now: Instant) {
        let Settings { wait, grace, .. } = self.settings;
        let is_starting = self.is_starting;
        for (&doc, slot) in self.slots.iter_mut() {
            let is_late = |watch: Watch| now.since(watch.started_at) > wait + grace;
            let is_stalled = slot.watch.is_some_and(is_late);
            let is_busy = slot.watch.is_some() && !is_stalled;
            if is_busy || now < slot.retry_at {
                continue;
            }
            // After a stall a plain read returns at once what the watch missed.
            let is_read = is_starting || is_stalled;
            let wait = if is_read { time::Duration::ZERO } else { wait };
            slot.watch = Some(Watch {
                started_at: now,
                wait,
            });
            let after = slot.version();
            self.commands.push(Command::Watch { doc, after, wait });
        }
    }

    pub(super) fn ask_parent(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        if !self.asks.is_empty() || now < self.next_ask {
            return;
        }
        let is_stale = self
            .age(now)
            .is_none_or(|age| age > self.settings.stale_after);
        let parent = self.tree.parent(&self.settings.node).cloned();
        // Both a parent and a watcher may be cut off from the store.
        let is_cut_off = is_stale || parent.is_none() && self.store_state == StoreState::Down;
        let chosen = if is_cut_off {
            self.alternative_source(rng)
        } else {
            parent
        };
        let Some(peer) = chosen else {
            return;
        };
        let mut wait = self.settings.wait;
        if is_cut_off {
            self.next_ask = now + self.settings.retry_delay;
            wait = time::Duration::ZERO;
        }
        self.ask(now, peer, wait);
    }

    /// A random watcher or any peer: the watcher may be cut off too, and the peer
    /// may get its documents from here.
    pub(super) fn alternative_source(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
        let others = self
            .tree
            .watchers()
            .filter(|node| **node != self.settings.node);
        let others: Vec<_> = others.collect();
        match others.choose(rng) {
            Some(other) if rng.random_bool(0.5) => Some((*other).clone()),
            _ => self.random_peer(rng),
        }
    }

    pub(super) fn random_peer(&self, rng: &mut dyn rand::Rng) -> Option<NodeName> {
        let is_usable = |peer: &&Peer| !self.failed.contains(&peer.node);
        let peers: Vec<_> = self.peers.iter().filter(is_usable).collect();
        peers.choose(rng).map(|peer| peer.node.clone())
    }

    pub(super) fn ask(&mut self, now: Instant, peer: NodeName, wait: time::Duration) {
        self.asks.insert(peer.clone(), now);
        let known = self.known();
        self.commands.push(Command::Ask { peer, known, wait });
    }

    pub(super) fn expire_asks(&mut self, now: Instant) {
        let limit = self.settings.wait + self.settings.grace;
        let late = |(peer, sent_at): (&NodeName, &Instant)| {
            (now.since(*sent_at) > limit).then(|| peer.clone())
        };
        let late: Vec<_> = self.asks.iter().filter_map(late).collect();
        for peer in late {
            self.on_unanswered(now, peer);
        }
    }
}
