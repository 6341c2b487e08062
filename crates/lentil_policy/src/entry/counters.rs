//! What an entry has seen go wrong.

/// Counts since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Answers of an attempt that no longer runs, dropped.
    pub late_answers: u64,
    /// Pieces that came twice, dropped.
    pub duplicate_pieces: u64,
    /// Streams with a missing piece.
    pub gaps: u64,
    /// Streams with a piece from another life of the engine.
    pub boot_changes: u64,
    /// Streams that ended before their last piece.
    pub early_ends: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests refused as poison.
    pub poisoned: u64,
}
