//! Handling of answers from the store and from peers.

use std::time;

use lentil_types::{Instant, NodeName};

use crate::config_sync::{Command, Doc, Document, Peer, Reply, StoreState, Update};

use super::ConfigSync;

impl ConfigSync {
    pub(super) fn on_peers(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.node != self.settings.node);
        self.peers = peers;
        self.rebuild_tree();
    }

    pub(super) fn on_store_answered(&mut self, now: Instant, doc: Doc, found: Option<Document>) {
        self.store_state = StoreState::Up;
        let delay = if self.is_starting {
            self.settings.retry_delay
        } else {
            time::Duration::ZERO
        };
        let Some(slot) = self.slots.get_mut(&doc) else {
            return;
        };
        let watch = slot.watch.take();
        slot.retry_at = now + delay;
        // A read may return an older version than the one in force.
        let is_stale = found
            .as_ref()
            .is_some_and(|found| found.version < slot.version());
        if is_stale {
            slot.retry_at = now + self.settings.retry_delay;
            return;
        }
        let confirmed = watch.map(|watch| watch.confirmed_at(found.is_none()));
        slot.confirmed_at = slot.confirmed_at.max(confirmed);
        if let Some(found) = found {
            self.on_document(doc, found);
        }
    }

    pub(super) fn on_store_failed(&mut self, now: Instant, doc: Doc) {
        self.store_state = StoreState::Down;
        if let Some(slot) = self.slots.get_mut(&doc) {
            slot.watch = None;
            slot.retry_at = now + self.settings.retry_delay;
        }
    }

    pub(super) fn on_reply(&mut self, now: Instant, peer: &NodeName, reply: Reply) {
        self.asks.remove(peer);
        if self.failed.remove(peer).is_some() {
            self.rebuild_tree();
        }
        if !self.answered.contains(peer) {
            self.answered.push(peer.clone());
        }
        if reply.updates.is_empty() {
            // Prevents a busy loop with a peer that does not wait.
            self.next_ask = self.next_ask.max(now + self.settings.retry_delay / 4);
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

    pub(super) fn on_unanswered(&mut self, now: Instant, peer: NodeName) {
        self.asks.remove(&peer);
        self.failed.insert(peer, now + self.settings.stale_after);
        self.rebuild_tree();
    }

    /// Applies an update. Returns whether it fits the version in force.
    pub(super) fn on_update(&mut self, update: Update) -> bool {
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
        self.on_document(update.doc, document);
        true
    }

    /// Records that the store confirmed this process's versions `age` ago.
    pub(super) fn confirm(&mut self, now: Instant, age: time::Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let confirmed_at = Instant(now.0.saturating_sub(micros));
        for (_, slot) in self.slots.iter_mut() {
            slot.confirmed_at = slot.confirmed_at.max(Some(confirmed_at));
        }
    }

    /// Puts a newer document in force; during startup only keeps the highest.
    pub(super) fn on_document(&mut self, doc: Doc, document: Document) {
        let is_starting = self.is_starting;
        let Some(slot) = self.slots.get_mut(&doc) else {
            return;
        };
        if is_starting {
            let is_higher = slot
                .candidate
                .as_ref()
                .is_none_or(|candidate| candidate.version < document.version);
            if is_higher {
                slot.candidate = Some(document);
            }
        } else if slot.replace(&document) {
            self.commands.push(Command::Apply(doc, document));
        }
    }
}
