//! The service that keeps KV cache.

use lentil_types::{Instant, PieceHash, Pieces, Table};

/// Keeps exported pieces, the least recently used of which make room.
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

    /// Leading pieces of `chain` that are held.
    pub fn leading(&mut self, now: Instant, chain: &[PieceHash]) -> Pieces {
        let mut count = 0;
        for piece in chain {
            let Some(used) = self.pieces.get_mut(piece) else {
                break;
            };
            *used = now;
            count += 1;
        }
        Pieces(count)
    }

    /// Takes pieces in.
    pub fn store(&mut self, now: Instant, pieces: impl Iterator<Item = PieceHash>) {
        for piece in pieces {
            self.pieces.insert(piece, now);
        }
        while self.pieces.len() > self.capacity.0 as usize {
            let oldest = self.pieces.iter().min_by_key(|(_, used)| **used);
            let Some(piece) = oldest.map(|(piece, _)| *piece) else {
                return;
            };
            self.pieces.remove(&piece);
        }
    }
}
