//! Fingerprints that every entry must run isolated or refuse.

use std::time;

use lentil_types::Fingerprint;

use super::POISON_CRASHES;

/// Maximum number of entries. Suspects are evicted before poison, oldest first.
pub const MAX_ENTRIES: usize = 4_096;
/// How long a fingerprint is kept after its last crash.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// A stored poison document could not be read.
#[derive(Debug, thiserror::Error)]
#[error("invalid poison document: {0}")]
pub struct DocumentError(#[from] serde_json::Error);

/// The crashes of one fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Crashes counted for it.
    pub crashes: u32,
    /// Time of its last crash, in seconds since the Unix epoch.
    pub seen: u64,
}

/// The platform object of kind `poison`, stored as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Suspects and poison, sorted by fingerprint.
    pub entries: Vec<CrashRecord>,
}

impl Document {
    /// Parses a stored document. An empty value is an empty document.
    ///
    /// # Errors
    /// [`DocumentError`] if the value is not a poison document.
    pub fn parse(value: &[u8]) -> Result<Self, DocumentError> {
        if value.is_empty() {
            return Ok(Self::default());
        }
        let mut document: Self = serde_json::from_slice(value)?;
        document.entries.sort_by_key(|entry| entry.fingerprint);
        document.entries.dedup_by_key(|entry| entry.fingerprint);
        Ok(document)
    }

    /// The value to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("entries have only string keys")
    }

    /// Adds a fingerprint and drops entries past [`RETENTION`] or beyond
    /// [`MAX_ENTRIES`]. `since_epoch` is the time since the Unix epoch. Returns
    /// whether the document changed and must be written.
    pub fn add(
        &mut self,
        fingerprint: Fingerprint,
        crashes: u32,
        since_epoch: time::Duration,
    ) -> bool {
        let old = self.clone();
        let seen = since_epoch.as_secs();
        let entry = CrashRecord {
            fingerprint,
            crashes,
            seen,
        };
        match self.find(fingerprint) {
            Ok(index) => {
                let known = &mut self.entries[index];
                known.crashes = known.crashes.max(crashes);
                known.seen = known.seen.max(seen);
            }
            Err(index) => self.entries.insert(index, entry),
        }
        self.expire(since_epoch);
        *self != old
    }

    /// Crashes counted for a fingerprint.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let found = self.find(fingerprint);
        found.map_or(0, |index| self.entries[index].crashes)
    }

    fn expire(&mut self, since_epoch: time::Duration) {
        let oldest = since_epoch.saturating_sub(RETENTION).as_secs();
        self.entries.retain(|entry| entry.seen >= oldest);
        while self.entries.len() > MAX_ENTRIES {
            let indexed = self.entries.iter().enumerate();
            let priority = |entry: &CrashRecord| (entry.crashes >= POISON_CRASHES, entry.seen);
            let Some((index, _)) = indexed.min_by_key(|(_, entry)| priority(entry)) else {
                return;
            };
            self.entries.remove(index);
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }
}
