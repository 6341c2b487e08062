//! Exchanges with entries, as the driver knows them.

use std::collections::{HashMap, HashSet};

use lentil_policy::sidecar::LinkId;
use lentil_types::AttemptId;
use lentil_wire::Message;
use smol::channel::Sender;

use crate::backend::Permit;

/// A message on its way to an entry.
pub(crate) struct Outgoing {
    pub(crate) message: Message,
    /// Given back when the entry has taken the message.
    pub(crate) _permit: Option<Permit>,
}

struct Link {
    outbox: Sender<Outgoing>,
    /// Attempts whose answers are to come.
    attempts: HashSet<AttemptId>,
    /// The entry has said all that it will.
    finished: bool,
    /// It is told of fingerprints that crash the engine.
    watches: bool,
}

/// Exchanges with entries. One that is taken out is closed when all that was
/// sent has left.
#[derive(Default)]
pub(crate) struct Links {
    links: HashMap<LinkId, Link>,
    owners: HashMap<AttemptId, LinkId>,
}

impl Links {
    pub(crate) fn len(&self) -> usize {
        self.links.len()
    }

    pub(crate) fn open(&mut self, id: LinkId, outbox: Sender<Outgoing>) {
        let link = Link {
            outbox,
            attempts: HashSet::new(),
            finished: false,
            watches: false,
        };
        self.links.insert(id, link);
    }

    /// The exchange broke off.
    pub(crate) fn remove(&mut self, id: LinkId) {
        if let Some(link) = self.links.remove(&id) {
            for attempt in link.attempts {
                self.owners.remove(&attempt);
            }
        }
    }

    /// The entry has said all that it will on this exchange.
    pub(crate) fn finish(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.finished = true;
        }
        self.close_if_done(id);
    }

    /// An attempt was dispatched on an exchange.
    pub(crate) fn begin(&mut self, id: LinkId, attempt: AttemptId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.attempts.insert(attempt);
            self.owners.insert(attempt, id);
        }
    }

    /// An attempt has ended: its exchange has nothing more to say.
    pub(crate) fn end(&mut self, attempt: AttemptId) {
        if let Some(id) = self.owners.remove(&attempt) {
            if let Some(link) = self.links.get_mut(&id) {
                link.attempts.remove(&attempt);
                link.finished = true;
            }
            self.close_if_done(id);
        }
    }

    /// Tells this exchange of fingerprints that crash the engine from now on.
    pub(crate) fn watch(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.watches = true;
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
            log::warn!("an entry does not take its messages; its exchange is cut off");
            self.remove(id);
        }
    }

    /// Sends a message to every exchange that watches for it.
    pub(crate) fn tell_watchers(&mut self, message: &Message) {
        let watches = |(id, link): (&LinkId, &Link)| link.watches.then_some(*id);
        let watchers: Vec<_> = self.links.iter().filter_map(watches).collect();
        for id in watchers {
            self.send(id, message.clone(), None);
        }
    }

    /// Closes every exchange when what was sent on it has left.
    pub(crate) fn close_all(&mut self) {
        self.links.clear();
        self.owners.clear();
    }

    fn close_if_done(&mut self, id: LinkId) {
        let is_done = |link: &Link| link.finished && link.attempts.is_empty() && !link.watches;
        if self.links.get(&id).is_some_and(is_done) {
            self.links.remove(&id);
        }
    }
}
