//! Whether to import pieces from a keeper or recompute them.

use std::time;

use lentil_types::{PIECE_TOKENS, Pieces, TokenRate, Tokens};

/// Cost of importing pieces from a keeper.
#[derive(Clone, Copy, Debug)]
pub struct ImportCost {
    /// Time to look pieces up and set up the transfer.
    pub setup: time::Duration,
    /// Time to transfer one piece.
    pub per_piece: time::Duration,
}

impl Default for ImportCost {
    fn default() -> Self {
        Self {
            setup: time::Duration::from_millis(5),
            per_piece: time::Duration::from_millis(25),
        }
    }
}

impl ImportCost {
    /// Time to import `pieces`.
    pub fn time_for(&self, pieces: Pieces) -> time::Duration {
        let count = u32::try_from(pieces.0).unwrap_or(u32::MAX);
        self.setup + self.per_piece.saturating_mul(count)
    }

    /// Pieces to import after the `cached` ones, when the keeper holds the
    /// leading `held` pieces of the prompt and the engine prefills at `rate`:
    /// all that only the keeper has, or none if prefilling them is faster.
    pub fn plan(&self, cached: Pieces, held: Pieces, rate: TokenRate) -> Pieces {
        let more = held.saturating_sub(cached);
        let tokens = Tokens(more.0 * u64::from(PIECE_TOKENS));
        let is_faster = self.time_for(more) < rate.time_for(tokens);
        if is_faster { more } else { Pieces(0) }
    }
}
