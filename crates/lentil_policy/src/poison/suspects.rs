//! Fingerprints of requests that ran when an engine crashed.

use std::time;

use lentil_types::{Fingerprint, Instant, Table};

/// Settings of [`Suspects`].
#[derive(Clone, Copy, Debug)]
pub struct SuspectsSettings {
    /// How long a fingerprint is kept after its last crash.
    pub retention: time::Duration,
    /// Maximum number of fingerprints. The oldest is evicted first.
    pub capacity: usize,
}

impl Default for SuspectsSettings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(24 * 3_600),
            capacity: 4_096,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    seen_at: Instant,
}

/// Crashes that make a fingerprint poison. The second counts only if no other
/// request ran beside it.
pub const POISON_CRASHES: u32 = 2;

/// Counts crashes per fingerprint. After the first one it runs isolated, so that
/// the second one is its own.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectsSettings,
    table: Table<Fingerprint, Suspect>,
}

impl Suspects {
    /// Starts without suspects.
    pub fn new(settings: SuspectsSettings) -> Self {
        Self {
            settings,
            table: Table::new(),
        }
    }

    /// Counts a crash of the engine that ran this fingerprint. `alone`: it ran
    /// isolated because of an earlier crash, perhaps counted elsewhere. Returns the
    /// count.
    pub fn on_crash(&mut self, now: Instant, fingerprint: Fingerprint, alone: bool) -> u32 {
        let new = || Suspect {
            crashes: 0,
            seen_at: now,
        };
        let suspect = self.table.get_or_insert_with(fingerprint, new);
        let counted = if alone { POISON_CRASHES } else { 1 };
        suspect.crashes = suspect.crashes.max(counted);
        suspect.seen_at = now;
        let crashes = suspect.crashes;
        self.evict();
        crashes
    }

    /// Merges a count from elsewhere.
    pub fn learn(&mut self, now: Instant, fingerprint: Fingerprint, crashes: u32) {
        let suspect = Suspect {
            crashes,
            seen_at: now,
        };
        let known = self.table.get_or_insert_with(fingerprint, || suspect);
        known.crashes = known.crashes.max(crashes);
        known.seen_at = now;
        self.evict();
    }

    /// Clears a fingerprint that ran isolated without a crash.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.table.remove(&fingerprint);
    }

    /// Whether it must run isolated.
    pub fn is_suspect(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) > 0
    }

    /// Whether it must be refused.
    pub fn is_poison(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) >= POISON_CRASHES
    }

    fn crashes(&self, now: Instant, fingerprint: Fingerprint) -> u32 {
        let is_recent = |suspect: &&Suspect| now.since(suspect.seen_at) <= self.settings.retention;
        let suspect = self.table.get(&fingerprint).filter(is_recent);
        suspect.map_or(0, |suspect| suspect.crashes)
    }

    fn evict(&mut self) {
        if self.table.len() <= self.settings.capacity {
            return;
        }
        let oldest = self.table.iter().min_by_key(|(_, suspect)| suspect.seen_at);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.table.remove(&fingerprint);
        }
    }
}
