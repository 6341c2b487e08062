//! When a runner is taken out because requests fail there.

use std::time;

use lentil_types::Instant;

/// How an attempt at a runner went, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthSignal {
    /// It answered in full.
    #[strum(serialize = "good")]
    Success,
    /// It broke off, answered with other bytes, or stayed silent.
    #[strum(serialize = "bad")]
    Failure,
    /// No connection could be opened.
    Unreachable,
}

/// Settings of a runner's health.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the newest attempt in the failure rate.
    pub smoothing: f64,
    /// A runner with a higher failure rate is ejected.
    pub failure_limit: f64,
    /// How long the first ejection lasts; each further one lasts twice as long.
    pub ejection: time::Duration,
    /// Longest ejection. An ejected runner is tried again with real requests.
    pub max_ejection: time::Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            smoothing: 0.25,
            // Two failures in a row, or about two in five.
            failure_limit: 0.4,
            ejection: time::Duration::from_millis(400),
            max_ejection: time::Duration::from_secs(4),
        }
    }
}

/// How well a runner answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    rate: f64,
    ejections: u32,
    until: Instant,
}

impl Health {
    pub(super) fn on_health_signal(
        &mut self,
        now: Instant,
        settings: &HealthSettings,
        signal: HealthSignal,
    ) {
        let failed = if signal == HealthSignal::Success {
            0.0
        } else {
            1.0
        };
        self.rate += (failed - self.rate) * settings.smoothing;
        if signal == HealthSignal::Success {
            if self.rate < settings.failure_limit / 2.0 {
                self.ejections = 0;
            }
            return;
        }
        let is_out = signal == HealthSignal::Unreachable || self.rate > settings.failure_limit;
        if is_out && !self.is_ejected(now) {
            let span = settings.ejection * (1 << self.ejections.min(8));
            self.until = now + span.min(settings.max_ejection);
            self.ejections += 1;
            // One more failure after the ejection is enough for the next one.
            self.rate = settings.failure_limit;
        }
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.until
    }
}
