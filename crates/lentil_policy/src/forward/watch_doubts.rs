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

/// A version that another router has and this one has not.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// Highest such version.
    version: ObjectVersion,
    /// When another router was first known to have it.
    noticed_at: Instant,
    /// Since when any version has been missing.
    since: Instant,
}

/// What a router knows of the documents of one kind that other routers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchDoubts {
    settings: Settings,
    /// Highest version of this router's documents.
    newest: ObjectVersion,
    missing: Option<Missing>,
    /// Version that the store has not confirmed. Other routers go on reminding of it.
    gone: Option<ObjectVersion>,
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
        self.missing = self.missing.filter(|missing| missing.version > version);
        !is_first
    }

    /// Another router has a document of this version. Returns whether it is the first one
    /// that has.
    pub fn on_notice(&mut self, now: Instant, version: ObjectVersion) -> bool {
        if version <= self.newest || Some(version) == self.gone {
            return false;
        }
        let is_first = self.missing.is_none_or(|missing| missing.version < version);
        if is_first {
            self.missing = Some(Missing {
                version,
                noticed_at: now,
                since: self.missing.map_or(now, |missing| missing.since),
            });
        }
        is_first
    }

    /// The store has answered a call that began at `called_at`. What it lacks, though
    /// another router had it before, is gone from the store.
    pub fn on_answer(&mut self, called_at: Instant) {
        let Some(missing) = &mut self.missing else {
            return;
        };
        if missing.noticed_at <= called_at {
            self.gone = Some(missing.version);
            self.missing = None;
        } else {
            missing.since = missing.since.max(called_at);
        }
    }

    /// The version of which other routers are reminded.
    pub fn reminder(&self) -> Option<ObjectVersion> {
        (self.newest > ObjectVersion::default()).then_some(self.newest)
    }

    /// Since when another router has had a newer document.
    pub fn missing_since(&self) -> Option<Instant> {
        Some(self.missing?.since)
    }

    /// When the watch is doubted, unless the missing document arrives before.
    pub fn due_at(&self) -> Option<Instant> {
        Some(self.missing?.since + self.settings.tolerance)
    }
}

/// Indices of up to `most` routers to tell of a change, of `routers` others.
pub fn recipients(most: usize, routers: usize, rng: &mut impl rand::Rng) -> Vec<usize> {
    rand::seq::index::sample(rng, routers, most.min(routers)).into_vec()
}
