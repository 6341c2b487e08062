//! Generates prompts from a trace's piece hashes.

use lentil_types::{PIECE_TOKENS, PieceHash, Tokens};

/// Approximate bytes of text for one token.
const TOKEN_BYTES: usize = 4;
/// Size of a message's JSON without its text.
const ENVELOPE_BYTES: usize = r#"{"content":"","role":"user"}"#.len();
/// Length of a hash in hexadecimal with a space.
const WORD_BYTES: usize = 17;

/// The messages of a prompt: one of a piece's size for each hash, which depends
/// on the hash alone, and a last one for the tokens that are in no piece.
pub fn messages(pieces: &[PieceHash], prompt: Tokens) -> Vec<serde_json::Value> {
    let mut messages: Vec<_> = pieces
        .iter()
        .map(|&piece| message(piece, PIECE_TOKENS))
        .collect();
    let in_pieces = pieces.len() as u64 * u64::from(PIECE_TOKENS);
    let rest = prompt
        .0
        .saturating_sub(in_pieces)
        .min(u64::from(PIECE_TOKENS / 4));
    let rest = u32::try_from(rest).unwrap_or(PIECE_TOKENS);
    messages.push(message(PieceHash(u64::MAX), rest));
    messages
}

fn message(piece: PieceHash, tokens: u32) -> serde_json::Value {
    let bytes = (tokens as usize * TOKEN_BYTES).saturating_sub(ENVELOPE_BYTES);
    let mut text = format!("{piece} ").repeat(bytes.div_ceil(WORD_BYTES));
    text.truncate(bytes);
    serde_json::json!({ "role": "user", "content": text })
}
