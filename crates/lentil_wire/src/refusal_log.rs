//! Which refused peers are worth a line in the log.

use std::{net, time};

use lentil_types::{Instant, Table};

/// Settings of [`RefusalLog`].
#[derive(Clone, Copy, Debug)]
pub struct RefusalLogSettings {
    /// An address is reported once in this time.
    pub period: time::Duration,
    /// Addresses that are remembered.
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

/// Remembers which refused addresses were reported.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    settings: RefusalLogSettings,
    reported: Table<net::IpAddr, Instant>,
}

impl RefusalLog {
    /// Remembers nothing yet.
    pub fn new(settings: RefusalLogSettings) -> Self {
        Self {
            settings,
            reported: Table::new(),
        }
    }

    /// Whether a refusal of `address` is to be reported now. A `true` counts as
    /// reported.
    pub fn should_report(&mut self, now: Instant, address: net::IpAddr) -> bool {
        let period = self.settings.period;
        self.reported.retain(|_, at| now.since(*at) < period);
        if self.reported.contains(&address) {
            return false;
        }
        if self.reported.len() >= self.settings.capacity {
            self.forget_oldest();
        }
        self.reported.insert(address, now);
        true
    }

    /// Addresses that are remembered.
    pub fn len(&self) -> usize {
        self.reported.len()
    }

    /// Whether no address is remembered.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.reported.iter().min_by_key(|(_, at)| **at);
        if let Some(address) = oldest.map(|(address, _)| *address) {
            self.reported.remove(&address);
        }
    }
}
