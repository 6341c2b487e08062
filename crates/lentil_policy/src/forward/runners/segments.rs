//! Shared parts of prompts that a runner is thought to hold.

use std::time;

use lentil_types::{Instant, TeamName, Tokens, WeightsVersion};
use xxhash_rust::xxh3;

/// A part of a prompt, whatever weights read it: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId(pub u64);

/// A part of a prompt as runners keep it: under a cache salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentKey(pub u64);

/// A hash of a cache salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaltHash(u64);

impl SegmentId {
    /// The part with this id.
    pub fn of(id: &str) -> Self {
        Self(xxh3::xxh3_64(id.as_bytes()))
    }
}

impl SaltHash {
    /// The hash of a salt.
    pub fn of(salt: &str) -> Self {
        Self(xxh3::xxh3_64(salt.as_bytes()))
    }
}

impl SegmentKey {
    /// The part as it is kept under a salt.
    pub fn new(id: SegmentId, salt: SaltHash) -> Self {
        Self(xxh3::xxh3_64_with_seed(&id.0.to_le_bytes(), salt.0))
    }
}

/// The salt that cache entries are kept under. Entries made under other weights,
/// or by another team where one of the two is isolated, are never found.
pub fn salt(version: WeightsVersion, isolated: Option<&TeamName>) -> String {
    match isolated {
        Some(team) => format!("w{version}/t/{team}"),
        None => format!("w{version}"),
    }
}

/// What was seen here counts beside what the agent told for this long: the
/// agent's news are about as old.
const SEEN_AGE: time::Duration = time::Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Row {
    key: SegmentKey,
    tokens: Tokens,
    used: Instant,
}

/// What an agent tells of the parts that its runner holds. Each change has the
/// number after that of the change before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SegmentUpdate {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// These are all.
    Full {
        /// Number of the last change.
        number: u32,
        /// The parts.
        keys: Vec<SegmentKey>,
    },
    /// These have come and gone.
    Delta {
        /// Number of this change.
        number: u32,
        /// Parts that are held now.
        added: Vec<SegmentKey>,
        /// Parts that are not held any more.
        dropped: Vec<SegmentKey>,
    },
}

/// Parts that this router knows to be in one runner's memory. Other routers use
/// the same memory, so a part may be gone, and one that is not here may be held.
#[derive(Clone, Debug, Default)]
pub struct Segments {
    /// Sorted by key.
    rows: Vec<Row>,
    /// Number of the last change that the agent told.
    number: u32,
}

impl Segments {
    /// A part was read or used. The least recently used ones yield when more
    /// than `capacity` is held.
    pub fn on_used(&mut self, now: Instant, key: SegmentKey, tokens: Tokens, capacity: Tokens) {
        let row = Row {
            key,
            tokens,
            used: now,
        };
        match self.rows.binary_search_by_key(&key, |row| row.key) {
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
        while self.held() > capacity && self.rows.len() > 1 {
            self.drop_oldest();
        }
    }

    /// Whether a part is thought to be held.
    pub fn holds(&self, key: SegmentKey) -> bool {
        self.rows.binary_search_by_key(&key, |row| row.key).is_ok()
    }

    /// The runner's agent told what it holds. A change that was lost is made up
    /// for by the next full list.
    pub fn on_update(&mut self, now: Instant, update: &SegmentUpdate) {
        match update {
            SegmentUpdate::Unchanged => {}
            SegmentUpdate::Full { number, keys } => {
                self.number = *number;
                self.rows.retain(|row| now.since(row.used) <= SEEN_AGE);
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
        if let Err(at) = self.rows.binary_search_by_key(&key, |row| row.key) {
            let row = Row {
                key,
                tokens: Tokens(0),
                used: Instant::ZERO,
            };
            self.rows.insert(at, row);
        }
    }

    /// The memory is empty again.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    fn held(&self) -> Tokens {
        self.rows.iter().map(|row| row.tokens).sum()
    }

    fn drop_oldest(&mut self) {
        let ages = self.rows.iter().enumerate();
        if let Some((at, _)) = ages.min_by_key(|(_, row)| row.used) {
            self.rows.remove(at);
        }
    }
}
