//! Which runner was last sent, or last said to have, each piece.

use lentil_types::{BootId, Instant, PieceHash};

/// Entries of the table. A piece takes the place of another with the same low
/// bits.
const ENTRIES: usize = 16_384;

/// A runner that has a piece, as far as is known.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holder {
    /// Row of the runner in its table.
    pub(super) row: usize,
    /// The engine's life that had the piece.
    pub(super) boot: BootId,
    /// When this was known.
    pub(super) at: Instant,
}

/// A table of fixed size from pieces to their last known holder.
#[derive(Clone, Debug)]
pub(super) struct Recent {
    entries: Vec<(PieceHash, Holder)>,
}

impl Recent {
    pub(super) fn new() -> Self {
        Self {
            entries: vec![Default::default(); ENTRIES],
        }
    }

    pub(super) fn clear(&mut self) {
        self.entries.fill(Default::default());
    }

    pub(super) fn set(&mut self, chain: &[PieceHash], holder: Holder) {
        for piece in chain {
            self.entries[place(*piece)] = (*piece, holder);
        }
    }

    /// The last known holder of the longest known beginning of `chain`, and
    /// how many pieces that has.
    pub(super) fn deepest(&self, chain: &[PieceHash]) -> Option<(usize, Holder)> {
        let known = |(i, piece): (usize, &PieceHash)| {
            let (found, holder) = self.entries[place(*piece)];
            (found == *piece).then_some((i + 1, holder))
        };
        chain.iter().enumerate().rev().find_map(known)
    }
}

fn place(piece: PieceHash) -> usize {
    piece.0 as usize % ENTRIES
}
