//! Counts bytes of control traffic.

use std::time;

use lentil_types::{Bytes, Instant};

/// Time over which the rate is averaged.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Counts bytes of control traffic and knows its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    total: u64,
    /// Bytes a second, averaged with a falling weight of the past.
    rate: f64,
    at: Instant,
}

impl Meter {
    /// Counts `bytes` that were sent or received.
    pub fn add(&mut self, now: Instant, bytes: Bytes) {
        self.total = self.total.saturating_add(bytes.0);
        self.rate = self.rate(now) + bytes.0 as f64 / WINDOW.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// All bytes so far.
    pub fn total(&self) -> Bytes {
        Bytes(self.total)
    }

    /// Bytes a second over about the last minute.
    pub fn rate(&self, now: Instant) -> f64 {
        let past = now.since(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.rate * (-past).exp()
    }
}
