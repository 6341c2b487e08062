//! A prefix cache with limited memory.

use std::collections::{BTreeMap, HashMap};

use lentil_types::{PieceHash, Pieces};

/// A piece within a cache salt.
type Key = (String, PieceHash);

/// What an insertion changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Changed {
    pub(super) stored: Vec<PieceHash>,
    pub(super) evicted: Vec<PieceHash>,
}

/// Cached pieces, least recently used first out.
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    used: HashMap<Key, u64>,
    order: BTreeMap<u64, Key>,
}

impl PrefixCache {
    pub(super) fn new(capacity: Pieces) -> Self {
        Self {
            capacity: usize::try_from(capacity.0).unwrap_or(usize::MAX),
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Number of leading pieces that are cached.
    pub(super) fn leading(&self, salt: &str, pieces: &[PieceHash]) -> usize {
        let cached = |piece: &&PieceHash| self.used.contains_key(&(salt.to_owned(), **piece));
        pieces.iter().take_while(cached).count()
    }

    /// Puts a prompt's pieces in and makes room for them.
    pub(super) fn insert(&mut self, salt: &str, pieces: &[PieceHash]) -> Changed {
        let mut changed = Changed::default();
        for &piece in pieces.iter().take(self.capacity) {
            self.clock += 1;
            let key = (salt.to_owned(), piece);
            match self.used.insert(key.clone(), self.clock) {
                Some(before) => drop(self.order.remove(&before)),
                None => changed.stored.push(piece),
            }
            self.order.insert(self.clock, key);
        }
        while self.used.len() > self.capacity {
            let Some((_, key)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&key);
            changed.evicted.push(key.1);
        }
        changed
    }

    /// Empties the cache and returns what it held.
    pub(super) fn clear(&mut self) -> Vec<PieceHash> {
        self.order.clear();
        self.used.drain().map(|((_, piece), _)| piece).collect()
    }

    /// Every cached piece, sorted.
    pub(super) fn pieces(&self) -> Vec<PieceHash> {
        let mut pieces: Vec<_> = self.used.keys().map(|(_, piece)| *piece).collect();
        pieces.sort_unstable();
        pieces.dedup();
        pieces
    }
}
