//! The driver's table of open exchanges with entries.

use std::collections::{HashMap, HashSet};

use lentil_policy::sidecar::LinkId;
use lentil_types::AttemptId;
use lentil_wire::Message;
use smol::channel::Sender;

use crate::backend::Permit;

/// A message queued for an entry.
pub(crate) struct Outgoing {
    pub(crate) message: Message,
    /// Released once the message is sent.
    pub(crate) _permit: Option<Permit>,
}

struct Link {
    outbox: Sender<Outgoing>,
    /// Attempts that have not ended.
    attempts: HashSet<AttemptId>,
    /// Whether it closes once its attempts have ended.
    is_finished: bool,
    /// Whether it subscribes to crash notices.
    is_watching: bool,
}

/// Open exchanges. Removing one closes it once its queued messages are sent.
#[derive(Default)]
pub(crate) struct Links {
    links: HashMap<LinkId, Link>,
    /// Exchange of each attempt that has not ended.
    links_by_attempt: HashMap<AttemptId, LinkId>,
}

impl Links {
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    pub(crate) fn open(&mut self, id: LinkId, outbox: Sender<Outgoing>) {
        let link = Link {
            outbox,
            attempts: HashSet::new(),
            is_finished: false,
            is_watching: false,
        };
        self.links.insert(id, link);
    }

    /// Removes an exchange that failed.
    pub(crate) fn remove(&mut self, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            for attempt in link.attempts {
                self.links_by_attempt.remove(&attempt);
            }
        }
    }

    /// The entry has closed its side of this exchange.
    pub(crate) fn finish(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_finished = true;
        }
        self.close_if_done(id);
    }

    /// Records an attempt dispatched on an exchange.
    pub(crate) fn begin(&mut self, id: LinkId, attempt: AttemptId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.attempts.insert(attempt);
            self.links_by_attempt.insert(attempt, id);
        }
    }

    /// Records that an attempt has ended, which finishes its exchange.
    pub(crate) fn end(&mut self, attempt: AttemptId) {
        if let Some(id) = self.links_by_attempt.remove(&attempt) {
            if let Some(link) = self.links.get_mut(&id) {
                link.attempts.remove(&attempt);
                link.is_finished = true;
            }
            self.close_if_done(id);
        }
    }

    /// Subscribes this exchange to crash notices.
    pub(crate) fn watch(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_watching = true;
        }
    }

    pub(crate) fn send(&mut self, id: LinkId, message: Message, permit: Option<Permit>) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let outgoing = Outgoing {
            message,
            _permit: permit,
        };
        if link.outbox.try_send(outgoing).is_err() {
            log::warn!("the send queue of an entry is full or closed; closing its exchange");
            self.remove(id);
        }
    }

    pub(crate) fn send_to_watchers(&mut self, message: &Message) {
        let watcher = |(id, link): (&LinkId, &Link)| link.is_watching.then_some(*id);
        let watchers: Vec<_> = self.links.iter().filter_map(watcher).collect();
        for id in watchers {
            self.send(id, message.clone(), None);
        }
    }

    pub(crate) fn close_all(&mut self) {
        self.links.clear();
        self.links_by_attempt.clear();
    }

    fn close_if_done(&mut self, id: LinkId) {
        let is_done =
            |link: &Link| link.is_finished && link.attempts.is_empty() && !link.is_watching;
        if self.links.get(&id).is_some_and(is_done) {
            self.links.remove(&id);
        }
    }
}
