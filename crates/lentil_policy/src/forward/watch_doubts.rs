//! Decides when a call that waits for changes of the store's documents is doubted, and
//! which routers are told of a change.
//!
//! The load it answers: outages shorter than the wait of a watch, and connections that die
//! without a reset. A watch that is never answered hides changes until it is overdue, which
//! takes longer than the limit on old configurations.

use std::time;

use lentil_types::Instant;

use crate::store::ObjectVersion;

/// Settings of [`WatchDoubts`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long another router may have a newer document before the watch is doubted: the
    /// store answers all watches within this time.
    pub tolerance: time::Duration,
    /// Routers that each router tells of a change. With five, one router in 150 is told by
    /// none if all tell, and one in 30 if a third of the routers do not get the change.
    pub fan_out: usize,
    /// Interval at which each router reminds others of the newest version that it has. They
    /// may not have been told: the datagram was lost, or all that got the change have started
    /// since.
    pub reminder_interval: time::Duration,
    /// Routers that each router reminds at a time.
    pub reminded: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tolerance: time::Duration::from_millis(250),
            fan_out: 5,
            reminder_interval: time::Duration::from_secs(1),
            reminded: 2,
        }
    }
}

/// What a router knows of the documents of one kind that other routers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchDoubts {
    settings: Settings,
    /// Highest version of this router's documents.
    newest: ObjectVersion,
    /// Highest version that another router has, if it is higher, and since when one has.
    missing: Option<(ObjectVersion, Instant)>,
}

impl WatchDoubts {
    /// Doubts with other settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// This router has documents up to `version`. Returns whether other routers are to be
    /// told.
    pub fn on_documents(&mut self, version: ObjectVersion) -> bool {
        if version <= self.newest {
            return false;
        }
        let is_first = self.newest == ObjectVersion::default();
        self.newest = version;
        self.missing = self.missing.filter(|(missing, _)| *missing > version);
        !is_first
    }

    /// Another router has a document of this version. Returns whether it is the first one
    /// that has.
    pub fn on_notice(&mut self, now: Instant, version: ObjectVersion) -> bool {
        if version <= self.newest {
            return false;
        }
        let is_first = self.missing.is_none_or(|(missing, _)| missing < version);
        self.missing = Some(match self.missing {
            Some((missing, since)) => (missing.max(version), since),
            None => (version, now),
        });
        is_first
    }

    /// The store has answered a call that began after the doubt.
    pub fn on_answer(&mut self) {
        self.missing = None;
    }

    /// The version of which other routers are reminded.
    pub fn reminder(&self) -> Option<ObjectVersion> {
        (self.newest > ObjectVersion::default()).then_some(self.newest)
    }

    /// When the watch is doubted, unless the missing document arrives before.
    pub fn due_at(&self) -> Option<Instant> {
        let (_, since) = self.missing?;
        Some(since + self.settings.tolerance)
    }
}

/// Indices of up to `most` routers to tell of a change, of `routers` others.
pub fn recipients(most: usize, routers: usize, rng: &mut impl rand::Rng) -> Vec<usize> {
    rand::seq::index::sample(rng, routers, most.min(routers)).into_vec()
}
