//! Rate limit for log lines about single requests.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use lentil_types::Instant;

/// Settings of a [`Quota`].
#[derive(Clone, Copy, Debug)]
pub struct QuotaSettings {
    /// Sustained rate, in lines per second.
    pub rate: f64,
    /// Lines that may be written in one burst.
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

/// Token bucket that counts the lines it rejects.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    /// Lines that may be written, and when that was last updated.
    available: Mutex<(f64, Instant)>,
    dropped: AtomicU64,
}

impl Quota {
    /// A quota with the whole burst available.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            available: Mutex::new((settings.burst, Instant::ZERO)),
            settings,
            dropped: AtomicU64::new(0),
        }
    }

    /// Takes one line from the quota; `false` means to drop it.
    pub fn try_take(&self, now: Instant) -> bool {
        let mut available = self
            .available
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (lines, updated_at) = *available;
        let refill = now.since(updated_at).as_secs_f64() * self.settings.rate;
        let lines = (lines + refill).min(self.settings.burst);
        let is_allowed = lines >= 1.0;
        *available = (if is_allowed { lines - 1.0 } else { lines }, now);
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
