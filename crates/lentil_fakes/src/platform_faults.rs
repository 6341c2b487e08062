//! Fault injection and rate limits of the platform stand-in.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time,
};

/// Faults that a [`crate::Platform`] injects. None is active by default.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    stale_reads: AtomicU32,
    stalled: AtomicBool,
}

impl Faults {
    /// Answers every call with 503 without reading it.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Delays every answer by this much.
    pub fn set_delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Carries out the next `writes` writes but answers them with 500.
    pub fn lose_answers(&self, writes: u32) {
        self.lost_answers.store(writes, Ordering::SeqCst);
    }

    /// Answers the next `reads` reads with the version before the newest.
    pub fn stale_reads(&self, reads: u32) {
        self.stale_reads.store(reads, Ordering::SeqCst);
    }

    /// Leaves watches unanswered until the caller gives up.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::SeqCst);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub(crate) fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    pub(crate) fn take_lost_answer(&self) -> bool {
        try_decrement(&self.lost_answers)
    }

    pub(crate) fn take_stale_read(&self) -> bool {
        try_decrement(&self.stale_reads)
    }

    pub(crate) fn stalls_watches(&self) -> bool {
        self.stalled.load(Ordering::SeqCst)
    }
}

/// Returns whether the counter was above zero.
fn try_decrement(count: &AtomicU32) -> bool {
    let decrement = |count: u32| count.checked_sub(1);
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        .is_ok()
}

/// Token bucket: a limit of calls per second, with a burst of one second.
#[derive(Debug)]
pub(crate) struct Throttle {
    rate: f64,
    available: f64,
    refilled_at: Option<time::Instant>,
}

impl Throttle {
    pub(crate) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            available: rate,
            refilled_at: None,
        }
    }

    /// Returns whether one more call is within the limit, and counts it.
    pub(crate) fn try_take(&mut self, now: time::Instant) -> bool {
        let refilled_at = self.refilled_at.replace(now).unwrap_or(now);
        let refill = now.saturating_duration_since(refilled_at).as_secs_f64() * self.rate;
        self.available = (self.available + refill).min(self.rate);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
