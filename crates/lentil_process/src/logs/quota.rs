//! Bounds the number of log lines about single requests.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use lentil_types::Instant;

/// Settings of a [`Quota`].
#[derive(Clone, Copy, Debug)]
pub struct QuotaSettings {
    /// Lines a second over a longer time.
    pub rate: f64,
    /// Lines that may come at once.
    pub burst: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        // A line is about 300 bytes: 60 KB a second at most.
        Self {
            rate: 200.0,
            burst: 400.0,
        }
    }
}

/// Lets so many lines a second through and counts the others.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    /// Lines that may be written now, and when that was worked out.
    left: Mutex<(f64, Instant)>,
    dropped: AtomicU64,
}

impl Quota {
    /// A quota that is full.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            left: Mutex::new((settings.burst, Instant::ZERO)),
            settings,
            dropped: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written now.
    pub fn try_take(&self, now: Instant) -> bool {
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        let (lines, at) = *left;
        let more = now.since(at).as_secs_f64() * self.settings.rate;
        let lines = (lines + more).min(self.settings.burst);
        let is_allowed = lines >= 1.0;
        *left = (if is_allowed { lines - 1.0 } else { lines }, now);
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }

    /// Lines that were left out.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
