//! Splits prompts into cache pieces.

use crate::{PIECE_TOKENS, PieceHash, PieceSeed, Tokens};

/// Estimated bytes of text per token.
const TOKEN_BYTES: usize = 4;
/// Bytes of a full piece.
const PIECE_BYTES: usize = PIECE_TOKENS as usize * TOKEN_BYTES;
/// Minimum bytes of a piece that ends at the end of a message.
const MIN_PIECE_BYTES: usize = PIECE_BYTES / 4;

/// Splits a prompt into pieces and hashes them.
///
/// Prompts share prefixes of whole messages, so a piece ends where a message
/// ends. A long message is split every [`PIECE_TOKENS`] tokens. A message too
/// short for its own piece joins the next one. A short remainder at the end of the
/// prompt belongs to no piece.
///
/// ```
/// use lentil_types::{PieceHash, PieceSeed, PromptPieces};
///
/// let mut pieces = PromptPieces::new(PieceSeed(PieceHash(1)));
/// pieces.push("rules ".repeat(2_000).as_bytes());
/// pieces.push(b"lot 1?");
/// assert_eq!(pieces.finish().len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct PromptPieces {
    last_hash: PieceHash,
    pending: Vec<u8>,
    hashes: Vec<PieceHash>,
    bytes: usize,
}

impl PromptPieces {
    /// An empty prompt. The hash chain starts from `seed`.
    pub fn new(seed: PieceSeed) -> Self {
        Self {
            last_hash: seed.0,
            pending: Vec::new(),
            hashes: Vec::new(),
            bytes: 0,
        }
    }

    /// Appends the next message.
    pub fn push(&mut self, message: &[u8]) {
        self.bytes += message.len();
        let mut rest = message;
        while self.pending.len() + rest.len() >= PIECE_BYTES {
            let (head, tail) = rest.split_at(PIECE_BYTES - self.pending.len());
            self.pending.extend_from_slice(head);
            self.end_piece();
            rest = tail;
        }
        self.pending.extend_from_slice(rest);
        if self.pending.len() >= MIN_PIECE_BYTES {
            self.end_piece();
        }
    }

    /// Estimated size of the prompt, at 4 bytes per token.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.bytes.div_ceil(TOKEN_BYTES) as u64)
    }

    /// Hashes of the complete pieces, in prompt order.
    pub fn finish(self) -> Vec<PieceHash> {
        self.hashes
    }

    fn end_piece(&mut self) {
        self.last_hash = self.last_hash.chain(&self.pending);
        self.hashes.push(self.last_hash);
        self.pending.clear();
    }
}
