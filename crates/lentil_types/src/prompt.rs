//! Prompts cut to cache pieces.

use crate::{PIECE_TOKENS, PieceHash, PieceSeed, Tokens};

/// Bytes of text that make about one token.
const TOKEN_BYTES: usize = 4;
/// Bytes of a whole piece.
const PIECE_BYTES: usize = PIECE_TOKENS as usize * TOKEN_BYTES;
/// A piece ends at a message's end when it has at least this many bytes.
const MIN_PIECE_BYTES: usize = PIECE_BYTES / 4;

/// Cuts a prompt to pieces and hashes them.
///
/// Messages are the levels at which prompts share their beginnings, so a piece
/// ends where a message ends. A long message is cut every [`PIECE_TOKENS`]
/// tokens. A message too short for a piece of its own joins the next one. What
/// is left at the end and is too short belongs to no piece.
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
    last: PieceHash,
    part: Vec<u8>,
    hashes: Vec<PieceHash>,
    bytes: usize,
}

impl PromptPieces {
    /// A prompt without a message.
    pub fn new(seed: PieceSeed) -> Self {
        Self {
            last: seed.0,
            part: Vec::new(),
            hashes: Vec::new(),
            bytes: 0,
        }
    }

    /// Adds the next message.
    pub fn push(&mut self, message: &[u8]) {
        self.bytes += message.len();
        let mut rest = message;
        while self.part.len() + rest.len() >= PIECE_BYTES {
            let (head, tail) = rest.split_at(PIECE_BYTES - self.part.len());
            self.part.extend_from_slice(head);
            self.cut();
            rest = tail;
        }
        self.part.extend_from_slice(rest);
        if self.part.len() >= MIN_PIECE_BYTES {
            self.cut();
        }
    }

    /// Size of the prompt, estimated.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.bytes.div_ceil(TOKEN_BYTES) as u64)
    }

    /// Hashes of the whole pieces, first to last.
    pub fn finish(self) -> Vec<PieceHash> {
        self.hashes
    }

    fn cut(&mut self) {
        self.last = self.last.chain(&self.part);
        self.hashes.push(self.last);
        self.part.clear();
    }
}
