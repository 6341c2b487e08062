//! Bounds that the figures of a replay are checked against.

use lentil_types::Instant;

/// Minimum hit rate, as a fraction of the oracle's.
pub const HIT_RATE_OF_ORACLE: f64 = 0.95;
/// Maximum wasted recomputation is this multiple of the oracle's ...
pub const WASTE_OF_ORACLE: f64 = 1.10;
/// ... plus this fraction of all pieces.
pub const WASTE_OF_PIECES: f64 = 0.01;
/// Maximum 95th percentile of urgent requests' time to the first token, without
/// faults.
pub const URGENT_FIRST_TOKEN_SECS: f64 = 0.35;
/// Maximum 99th percentile of the same beside long prompts, as a multiple of that
/// without them.
pub const URGENT_BESIDE_LONG: f64 = 1.5;
/// Minimum length of a long prompt, in pieces.
pub const LONG_PIECES: usize = 8;
/// Minimum service of a backlogged team, as a fraction of another's.
pub const MIN_FAIRNESS: f64 = 0.95;
/// Minimum hit rate after all entries restarted, as a fraction of the steady one.
pub const HERD_HIT_RATE: f64 = 0.9;
/// Time in which that is measured.
pub const HERD_MILLIS: u64 = 1_000;
/// Minimum hit rate after a crash, as a fraction of the steady one ...
pub const CRASH_HIT_RATE: f64 = 0.95;
/// ... measured from this time after the crash on.
pub const CRASH_MILLIS: u64 = 30_000;

/// `millis` milliseconds after `at`.
pub fn millis_after(at: Instant, millis: u64) -> Instant {
    at + std::time::Duration::from_millis(millis)
}
