//! Fault switches and rate limits of the stand-in for the platform.

use std::{
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    time,
};

/// Fault switches of a [`crate::Platform`]. All are off at first.
#[derive(Debug, Default)]
pub struct Faults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    lost_answers: AtomicU32,
    stale_reads: AtomicU32,
    stalled: AtomicBool,
}

impl Faults {
    /// Refuses every call unread.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Answers every call this much later.
    pub fn set_delay(&self, delay: time::Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Loses the answers of the next writes, which take effect.
    pub fn lose_answers(&self, writes: u32) {
        self.lost_answers.store(writes, Ordering::SeqCst);
    }

    /// Answers the next reads with the version before the newest.
    pub fn stale_reads(&self, reads: u32) {
        self.stale_reads.store(reads, Ordering::SeqCst);
    }

    /// Never answers a watch.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::SeqCst);
    }

    pub(crate) fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    pub(crate) fn delay(&self) -> time::Duration {
        time::Duration::from_millis(self.delay_ms.load(Ordering::SeqCst))
    }

    pub(crate) fn takes_lost_answer(&self) -> bool {
        take(&self.lost_answers)
    }

    pub(crate) fn takes_stale_read(&self) -> bool {
        take(&self.stale_reads)
    }

    pub(crate) fn stalls_watches(&self) -> bool {
        self.stalled.load(Ordering::SeqCst)
    }
}

fn take(left: &AtomicU32) -> bool {
    let less = |left: u32| left.checked_sub(1);
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
        .is_ok()
}

/// A limit of calls a second, with a burst of one second.
#[derive(Debug)]
pub(crate) struct Throttle {
    rate: f64,
    calls: f64,
    filled: Option<time::Instant>,
}

impl Throttle {
    pub(crate) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self {
            rate,
            calls: rate,
            filled: None,
        }
    }

    /// Takes one call, if one is left.
    pub(crate) fn take(&mut self, now: time::Instant) -> bool {
        let filled = self.filled.replace(now).unwrap_or(now);
        let refill = now.saturating_duration_since(filled).as_secs_f64() * self.rate;
        self.calls = (self.calls + refill).min(self.rate);
        if self.calls < 1.0 {
            return false;
        }
        self.calls -= 1.0;
        true
    }
}
