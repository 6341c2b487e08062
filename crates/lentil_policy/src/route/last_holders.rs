//! The runner to which each piece was last sent.

use lentil_types::{BootId, Instant, PieceHash};

/// Entries of the table. A piece replaces another with the same index.
const ENTRIES: usize = 16_384;

/// A runner that was sent a piece and probably has it cached.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holder {
    /// Index in the router's table.
    pub(super) row: usize,
    /// Boot of its engine then.
    pub(super) boot: BootId,
    /// When the piece was sent.
    pub(super) sent_at: Instant,
}

/// Direct-mapped table of fixed size from pieces to last holders.
#[derive(Clone, Debug)]
pub(super) struct LastHolders {
    entries: Vec<(PieceHash, Holder)>,
}

impl LastHolders {
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
            self.entries[index(*piece)] = (*piece, holder);
        }
    }

    /// The holder of the longest known prefix of `chain`, and that prefix's
    /// length in pieces.
    pub(super) fn longest_match(&self, chain: &[PieceHash]) -> Option<(usize, Holder)> {
        let known = |(i, piece): (usize, &PieceHash)| {
            let (found, holder) = self.entries[index(*piece)];
            (found == *piece).then_some((i + 1, holder))
        };
        chain.iter().enumerate().rev().find_map(known)
    }
}

fn index(piece: PieceHash) -> usize {
    piece.0 as usize % ENTRIES
}
