//! Fingerprints that ran when an engine died.

use std::time;

use lentil_types::{Fingerprint, Instant, Table};

/// Settings of [`Suspects`].
#[derive(Clone, Copy, Debug)]
pub struct SuspectsSettings {
    /// How long a suspicion lasts.
    pub retention: time::Duration,
    /// Most fingerprints remembered. The oldest go first.
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
    seen: Instant,
}

/// Crashes that make a fingerprint poison. The second counts only when nothing
/// else ran beside it.
pub const POISON_CRASHES: u32 = 2;

/// Counts the crashes of each fingerprint. After the first one it runs alone,
/// so that the second one is its own.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    settings: SuspectsSettings,
    table: Table<Fingerprint, Suspect>,
}

impl Suspects {
    /// Nobody is suspected.
    pub fn new(settings: SuspectsSettings) -> Self {
        Self {
            settings,
            table: Table::new(),
        }
    }

    /// An engine died while this ran. `alone`: it ran isolated, because of an
    /// earlier crash that may have been seen elsewhere. Returns the crashes
    /// counted.
    pub fn on_crash(&mut self, now: Instant, fingerprint: Fingerprint, alone: bool) -> u32 {
        let fresh = || Suspect {
            crashes: 0,
            seen: now,
        };
        let suspect = self.table.get_or_insert_with(fingerprint, fresh);
        let counted = if alone { POISON_CRASHES } else { 1 };
        suspect.crashes = suspect.crashes.max(counted);
        suspect.seen = now;
        let crashes = suspect.crashes;
        self.bound();
        crashes
    }

    /// Crashes were counted elsewhere.
    pub fn learn(&mut self, now: Instant, fingerprint: Fingerprint, crashes: u32) {
        let suspect = Suspect { crashes, seen: now };
        let known = self.table.get_or_insert_with(fingerprint, || suspect);
        known.crashes = known.crashes.max(crashes);
        known.seen = now;
        self.bound();
    }

    /// It ran alone and the engine lived: it is cleared.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.table.remove(&fingerprint);
    }

    /// Whether it must run alone.
    pub fn is_suspect(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) > 0
    }

    /// Whether it is refused.
    pub fn is_poison(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.crashes(now, fingerprint) >= POISON_CRASHES
    }

    fn crashes(&self, now: Instant, fingerprint: Fingerprint) -> u32 {
        let kept = |suspect: &&Suspect| now.since(suspect.seen) <= self.settings.retention;
        let suspect = self.table.get(&fingerprint).filter(kept);
        suspect.map_or(0, |suspect| suspect.crashes)
    }

    fn bound(&mut self) {
        if self.table.len() <= self.settings.capacity {
            return;
        }
        let oldest = self.table.iter().min_by_key(|(_, suspect)| suspect.seen);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.table.remove(&fingerprint);
        }
    }
}
