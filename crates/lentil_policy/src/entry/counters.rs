//! Counters of faults at an entry.

/// Totals since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Answers to an attempt that is no longer current, dropped.
    pub late_answers: u64,
    /// Pieces that arrived again, dropped.
    pub duplicate_pieces: u64,
    /// Streams with a missing piece.
    pub gaps: u64,
    /// Streams with a piece from another boot of the engine.
    pub boot_changes: u64,
    /// Streams whose end did not match the pieces received.
    pub early_ends: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Requests refused as poison.
    pub poisoned: u64,
}
