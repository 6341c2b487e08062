//! Model of the KV keeper.

use lentil_types::{Instant, PieceHash, Pieces, Table};

/// Exported pieces, with least-recently-used eviction.
#[derive(Clone, Debug)]
pub struct Keeper {
    capacity: Pieces,
    pieces: Table<PieceHash, Instant>,
}

impl Keeper {
    /// An empty keeper.
    pub fn new(capacity: Pieces) -> Self {
        Self {
            capacity,
            pieces: Table::new(),
        }
    }

    /// Whether a piece is held.
    pub fn has(&self, piece: &PieceHash) -> bool {
        self.pieces.contains(piece)
    }

    /// Counts the leading pieces of `chain` held, and marks them used.
    pub fn touch_leading(&mut self, now: Instant, chain: &[PieceHash]) -> Pieces {
        let mut count = 0;
        for piece in chain {
            let Some(last_used) = self.pieces.get_mut(piece) else {
                break;
            };
            *last_used = now;
            count += 1;
        }
        Pieces(count)
    }

    /// Stores pieces and evicts those over the capacity.
    pub fn store(&mut self, now: Instant, pieces: impl Iterator<Item = PieceHash>) {
        for piece in pieces {
            self.pieces.insert(piece, now);
        }
        while self.pieces.len() > self.capacity.0 as usize {
            let oldest = self.pieces.iter().min_by_key(|(_, last_used)| **last_used);
            let Some(piece) = oldest.map(|(piece, _)| *piece) else {
                return;
            };
            self.pieces.remove(&piece);
        }
    }
}
