//! Rate limit of log lines about refused peers.

use std::{net, time};

use lentil_types::{Instant, Table};

/// Settings of [`RefusalLog`].
#[derive(Clone, Copy, Debug)]
pub struct RefusalLogSettings {
    /// Shortest time between reports of an address.
    pub period: time::Duration,
    /// Tracked addresses; above this, the one reported longest ago is evicted.
    pub capacity: usize,
}

impl Default for RefusalLogSettings {
    fn default() -> Self {
        Self {
            period: time::Duration::from_secs(60),
            capacity: 256,
        }
    }
}

/// Limits reports of refused peers to one per address and period, so that an
/// unauthenticated peer cannot flood the log.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    settings: RefusalLogSettings,
    reported: Table<net::IpAddr, Instant>,
}

impl RefusalLog {
    /// Starts without addresses.
    pub fn new(settings: RefusalLogSettings) -> Self {
        Self {
            settings,
            reported: Table::new(),
        }
    }

    /// Whether to report a refusal of `address` now; `true` counts as a report.
    pub fn should_report(&mut self, now: Instant, address: net::IpAddr) -> bool {
        let period = self.settings.period;
        self.reported
            .retain(|_, reported_at| now.since(*reported_at) < period);
        if self.reported.contains(&address) {
            return false;
        }
        if self.reported.len() >= self.settings.capacity {
            self.evict_oldest();
        }
        self.reported.insert(address, now);
        true
    }

    /// Number of tracked addresses.
    pub fn len(&self) -> usize {
        self.reported.len()
    }

    /// Whether no address is tracked.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .reported
            .iter()
            .min_by_key(|(_, reported_at)| **reported_at);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.reported.remove(&address);
        }
    }
}
