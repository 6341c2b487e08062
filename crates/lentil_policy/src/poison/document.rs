//! What every entry is told to run alone or to refuse.

use std::time;

use lentil_types::Fingerprint;

use super::POISON_CRASHES;

/// Most entries of a document. Suspects go before poison, the oldest first.
pub const MAX_ENTRIES: usize = 4_096;
/// How long a fingerprint is remembered after its last crash.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// A stored poison document could not be read.
#[derive(Debug, thiserror::Error)]
#[error("a poison document is not well formed: {0}")]
pub struct DocumentError(#[from] serde_json::Error);

/// A fingerprint that crashed engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes seen with it.
    pub crashes: u32,
    /// When it was last seen to crash an engine, in seconds since the Unix
    /// epoch.
    pub seen: u64,
}

/// The platform object of kind `poison`, as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Suspects and poison, sorted by fingerprint.
    pub entries: Vec<CrashRecord>,
}

impl Document {
    /// Reads a stored document. An empty value is an empty document.
    ///
    /// # Errors
    /// [`DocumentError`] when the value is no poison document.
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

    /// Adds a fingerprint and drops what is past [`RETENTION`] or beyond
    /// [`MAX_ENTRIES`]. `unix` is the time since the Unix epoch. Returns whether
    /// the document changed, so that it must be written.
    pub fn add(&mut self, fingerprint: Fingerprint, crashes: u32, unix: time::Duration) -> bool {
        let old = self.clone();
        let seen = unix.as_secs();
        let entry = CrashRecord {
            fingerprint,
            crashes,
            seen,
        };
        match self.find(fingerprint) {
            Ok(at) => {
                let known = &mut self.entries[at];
                known.crashes = known.crashes.max(crashes);
                known.seen = known.seen.max(seen);
            }
            Err(at) => self.entries.insert(at, entry),
        }
        self.expire(unix);
        *self != old
    }

    /// Crashes counted for a fingerprint.
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let found = self.find(fingerprint);
        found.map_or(0, |at| self.entries[at].crashes)
    }

    fn expire(&mut self, unix: time::Duration) {
        let oldest = unix.saturating_sub(RETENTION).as_secs();
        self.entries.retain(|entry| entry.seen >= oldest);
        while self.entries.len() > MAX_ENTRIES {
            let ages = self.entries.iter().enumerate();
            let worth = |entry: &CrashRecord| (entry.crashes >= POISON_CRASHES, entry.seen);
            let Some((at, _)) = ages.min_by_key(|(_, entry)| worth(entry)) else {
                return;
            };
            self.entries.remove(at);
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }
}
