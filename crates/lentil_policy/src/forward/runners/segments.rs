//! Shared segments of prompts that a runner is expected to hold in its KV cache.

use std::{fmt, time};

use compact_str::{CompactString, format_compact};
use lentil_types::{Instant, TeamName, Tokens, WeightsVersion};
use xxhash_rust::xxh3;

/// A hash of a segment's id, independent of the weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// Key of a segment in a runner's prefix cache: its id under a cache salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentKey(pub u64);

/// A hash of a cache salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaltHash(u64);

impl SegmentId {
    /// Hashes the id of a segment.
    pub fn of(id: &str) -> Self {
        Self(xxh3::xxh3_64(id.as_bytes()))
    }
}

impl SaltHash {
    /// Hashes a salt.
    pub fn of(salt: &str) -> Self {
        Self(xxh3::xxh3_64(salt.as_bytes()))
    }
}

impl SegmentKey {
    /// The key of a segment under a salt.
    pub fn new(id: SegmentId, salt: SaltHash) -> Self {
        Self(xxh3::xxh3_64_with_seed(&id.0.to_le_bytes(), salt.0))
    }
}

/// Teams that find each other's cache entries, as a part of the cache salt. It follows
/// from the configuration alone, so all routers agree on it, also after a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheGroup(CompactString);

impl CacheGroup {
    /// A team that shares no entries.
    pub fn isolated(team: &TeamName) -> Self {
        Self(format_compact!("t/{team}"))
    }

    /// All teams but these. Each set has a group of its own: a team that joins or leaves
    /// the set would otherwise find entries from before, or leave its own to others.
    pub fn all_but(isolated: &[&TeamName]) -> Self {
        if isolated.is_empty() {
            return Self::default();
        }
        let mut names = isolated.to_vec();
        names.sort();
        names.dedup();
        let mut hash = xxh3::Xxh3::new();
        for name in names {
            hash.update(&(name.len() as u64).to_le_bytes());
            hash.update(name.as_bytes());
        }
        Self(format_compact!("c/{:016x}", hash.digest()))
    }
}

impl fmt::Display for CacheGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Cache salt of entries under these weights. It keeps requests from finding entries
/// of other weights, or of another team where one of the two is isolated.
pub fn salt(version: WeightsVersion, group: &CacheGroup) -> String {
    if group.0.is_empty() {
        return format!("w{version}");
    }
    format!("w{version}/{group}")
}

/// How long a segment that this router saw used outlives a full list without it:
/// about the age of the agent's reports.
const LOCAL_TTL: time::Duration = time::Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Row {
    key: SegmentKey,
    tokens: Tokens,
    used_at: Instant,
}

/// An agent's report of the segments that its runner holds. Each change is numbered
/// one higher than the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SegmentUpdate {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// The complete list.
    Full {
        /// Number of the last change.
        number: u32,
        /// All segments that it holds.
        keys: Vec<SegmentKey>,
    },
    /// A change since the last report.
    Delta {
        /// Number of this change.
        number: u32,
        /// Segments that it holds now.
        added: Vec<SegmentKey>,
        /// Segments that it has evicted.
        dropped: Vec<SegmentKey>,
    },
}

/// Segments that this router knows to be in one runner's memory. Approximate:
/// requests of other routers load and evict segments there too.
#[derive(Clone, Debug, Default)]
pub struct Segments {
    /// Sorted by key.
    rows: Vec<Row>,
    /// Number of the last change that the agent reported.
    number: u32,
}

impl Segments {
    /// A segment was prefilled or used. The least recently used ones are evicted
    /// above `capacity`.
    pub fn on_used(&mut self, now: Instant, key: SegmentKey, tokens: Tokens, capacity: Tokens) {
        let row = Row {
            key,
            tokens,
            used_at: now,
        };
        match self.rows.binary_search_by_key(&key, |row| row.key) {
            Ok(index) => self.rows[index] = row,
            Err(index) => self.rows.insert(index, row),
        }
        while self.total_tokens() > capacity && self.rows.len() > 1 {
            self.evict_lru();
        }
    }

    /// Whether a segment is expected to be held.
    pub fn holds(&self, key: SegmentKey) -> bool {
        self.rows.binary_search_by_key(&key, |row| row.key).is_ok()
    }

    /// Applies an agent's report. The next full list corrects a lost change.
    pub fn on_update(&mut self, now: Instant, update: &SegmentUpdate) {
        match update {
            SegmentUpdate::Unchanged => {}
            SegmentUpdate::Full { number, keys } => {
                self.number = *number;
                self.rows.retain(|row| now.since(row.used_at) <= LOCAL_TTL);
                keys.iter().for_each(|key| self.add(*key));
            }
            SegmentUpdate::Delta {
                number,
                added,
                dropped,
            } => {
                if *number <= self.number {
                    return;
                }
                self.number = *number;
                added.iter().for_each(|key| self.add(*key));
                self.rows.retain(|row| !dropped.contains(&row.key));
            }
        }
    }

    fn add(&mut self, key: SegmentKey) {
        if let Err(index) = self.rows.binary_search_by_key(&key, |row| row.key) {
            let row = Row {
                key,
                tokens: Tokens(0),
                used_at: Instant::ZERO,
            };
            self.rows.insert(index, row);
        }
    }

    /// Removes all segments, after the runner has cleared its cache.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    fn total_tokens(&self) -> Tokens {
        self.rows.iter().map(|row| row.tokens).sum()
    }

    fn evict_lru(&mut self) {
        let ages = self.rows.iter().enumerate();
        if let Some((index, _)) = ages.min_by_key(|(_, row)| row.used_at) {
            self.rows.remove(index);
        }
    }
}
