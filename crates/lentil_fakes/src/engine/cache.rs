//! A prefix cache with limited memory.

use std::collections::{BTreeMap, HashMap};

use lentil_types::{PieceHash, Pieces};

/// A cache salt and a piece; pieces are not shared between salts.
type Key = (String, PieceHash);

/// The changes made by an insertion.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Changes {
    pub(super) stored: Vec<PieceHash>,
    pub(super) evicted: Vec<PieceHash>,
}

/// An LRU set of cached pieces.
pub(super) struct PrefixCache {
    capacity: usize,
    /// Counts uses; orders them by age.
    clock: u64,
    last_used: HashMap<Key, u64>,
    order: BTreeMap<u64, Key>,
}

impl PrefixCache {
    pub(super) fn new(capacity: Pieces) -> Self {
        Self {
            capacity: usize::try_from(capacity.0).unwrap_or(usize::MAX),
            clock: 0,
            last_used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Number of leading pieces that are cached.
    pub(super) fn cached_prefix(&self, salt: &str, pieces: &[PieceHash]) -> usize {
        let cached = |piece: &&PieceHash| self.last_used.contains_key(&(salt.to_owned(), **piece));
        pieces.iter().take_while(cached).count()
    }

    /// Inserts a prompt's pieces and evicts the least recently used ones beyond
    /// the capacity.
    pub(super) fn insert(&mut self, salt: &str, pieces: &[PieceHash]) -> Changes {
        let mut changes = Changes::default();
        for &piece in pieces.iter().take(self.capacity) {
            self.clock += 1;
            let key = (salt.to_owned(), piece);
            match self.last_used.insert(key.clone(), self.clock) {
                Some(previous) => drop(self.order.remove(&previous)),
                None => changes.stored.push(piece),
            }
            self.order.insert(self.clock, key);
        }
        while self.last_used.len() > self.capacity {
            let Some((_, key)) = self.order.pop_first() else {
                break;
            };
            self.last_used.remove(&key);
            changes.evicted.push(key.1);
        }
        changes
    }

    /// Empties the cache and returns the pieces it had.
    pub(super) fn clear(&mut self) -> Vec<PieceHash> {
        self.order.clear();
        self.last_used
            .drain()
            .map(|((_, piece), _)| piece)
            .collect()
    }

    /// Every cached piece of any salt, sorted and without duplicates.
    pub(super) fn pieces(&self) -> Vec<PieceHash> {
        let mut pieces: Vec<_> = self.last_used.keys().map(|(_, piece)| *piece).collect();
        pieces.sort_unstable();
        pieces.dedup();
        pieces
    }
}
