//! The stated outcomes that a replay is checked against.

use lentil_types::Instant;

/// Hit rate, at least, as a part of the oracle's.
pub const HIT_RATE_OF_ORACLE: f64 = 0.95;
/// Wasted recomputation, at most, as a multiple of the oracle's ...
pub const WASTE_OF_ORACLE: f64 = 1.10;
/// ... plus this part of all pieces.
pub const WASTE_OF_PIECES: f64 = 0.01;
/// Time to the first token that 95 in 100 urgent requests have at most when
/// nothing disturbs, in seconds.
pub const URGENT_FIRST_TOKEN: f64 = 0.35;
/// Time to the first token that 99 in 100 urgent requests have at most with
/// long prompts present, as a multiple of that without them.
pub const URGENT_BESIDE_LONG: f64 = 1.5;
/// Pieces from which on a prompt is a long one.
pub const LONG_PIECES: usize = 8;
/// Least that a backlogged team is served, as a part of what another is.
pub const FAIRNESS: f64 = 0.95;
/// Hit rate in the second after all entries restarted, at least, as a part of
/// the steady one.
pub const HERD_HIT_RATE: f64 = 0.9;
/// Length of that second.
pub const HERD_MILLIS: u64 = 1_000;
/// Hit rate after a crash, at least, as a part of the steady one ...
pub const CRASH_HIT_RATE: f64 = 0.95;
/// ... from this time on after it.
pub const CRASH_MILLIS: u64 = 30_000;

/// `millis` milliseconds after `at`.
pub fn after(at: Instant, millis: u64) -> Instant {
    at + std::time::Duration::from_millis(millis)
}
