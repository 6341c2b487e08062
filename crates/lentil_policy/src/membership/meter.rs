//! Byte counter and rate of control traffic.

use std::time;

use lentil_types::{Bytes, Instant};

/// Time constant of the exponential average of the rate.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Counts bytes and averages their rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    total: u64,
    /// Bytes per second at `updated_at`, exponentially averaged.
    rate: f64,
    updated_at: Instant,
}

impl Meter {
    /// Adds `bytes` that were sent or received.
    pub fn add(&mut self, now: Instant, bytes: Bytes) {
        self.total = self.total.saturating_add(bytes.0);
        self.rate = self.rate(now) + bytes.0 as f64 / WINDOW.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Bytes counted in total.
    pub fn total(&self) -> Bytes {
        Bytes(self.total)
    }

    /// Bytes per second, averaged over about the last minute.
    pub fn rate(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / WINDOW.as_secs_f64();
        self.rate * (-age).exp()
    }
}
