//! What the store and the peers said.

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

    pub(super) fn on_stored(&mut self, now: Instant, doc: Doc, found: Option<Document>) {
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

    pub(super) fn on_store_failed(&mut self, now: Instant, doc: Doc) {
        self.store = StoreState::Down;
        if let Some(slot) = self.slots.get_mut(&doc) {
            slot.watch = None;
            slot.retry = now + self.settings.pause;
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

    pub(super) fn on_unanswered(&mut self, now: Instant, peer: NodeName) {
        self.asks.remove(&peer);
        self.failed.insert(peer, now + self.settings.stale);
        self.rebuild_tree();
    }

    /// Takes what a peer sent. Says whether it fits what is known here.
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
        self.offer(update.doc, document);
        true
    }

    /// Notes that the store confirmed this process's versions `age` ago.
    pub(super) fn confirm(&mut self, now: Instant, age: time::Duration) {
        let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = Instant(now.0.saturating_sub(micros));
        for (_, slot) in self.slots.iter_mut() {
            slot.confirmed = slot.confirmed.max(Some(at));
        }
    }

    /// Takes a document that may be newer than what is in force.
    pub(super) fn offer(&mut self, doc: Doc, document: Document) {
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
}
