//! Ejects runners at which requests fail.

use std::time;

use lentil_types::Instant;

/// Result of an attempt at a runner, as far as it shows the runner's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HealthSignal {
    /// It answered in full.
    #[strum(serialize = "good")]
    Success,
    /// It broke off, sent an invalid answer, or stayed silent.
    #[strum(serialize = "bad")]
    Failure,
    /// No connection could be opened.
    Unreachable,
}

/// Settings of the ejection of failing runners.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Weight of the newest attempt in the smoothed failure rate.
    pub smoothing: f64,
    /// Failure rate above which a runner is ejected.
    pub failure_limit: f64,
    /// Duration of the first ejection; each further one doubles it.
    pub ejection: time::Duration,
    /// Longest ejection. After it the runner is tried again with real requests.
    pub max_ejection: time::Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            smoothing: 0.25,
            // Exceeded by two failures in a row, or about two in five.
            failure_limit: 0.4,
            ejection: time::Duration::from_millis(400),
            max_ejection: time::Duration::from_secs(4),
        }
    }
}

/// Failure rate and ejections of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failure_rate: f64,
    ejections: u32,
    ejected_until: Instant,
}

impl Health {
    /// Records the result of an attempt. Returns the duration of an ejection that
    /// starts now.
    pub(super) fn on_health_signal(
        &mut self,
        now: Instant,
        settings: &HealthSettings,
        signal: HealthSignal,
    ) -> Option<time::Duration> {
        let failure = if signal == HealthSignal::Success {
            0.0
        } else {
            1.0
        };
        self.failure_rate += (failure - self.failure_rate) * settings.smoothing;
        if signal == HealthSignal::Success {
            if self.failure_rate < settings.failure_limit / 2.0 {
                self.ejections = 0;
            }
            return None;
        }
        let should_eject =
            signal == HealthSignal::Unreachable || self.failure_rate > settings.failure_limit;
        if !should_eject || self.is_ejected(now) {
            return None;
        }
        let duration = settings.ejection * (1 << self.ejections.min(8));
        let duration = duration.min(settings.max_ejection);
        self.ejected_until = now + duration;
        self.ejections += 1;
        // One more failure after the ejection causes the next one.
        self.failure_rate = settings.failure_limit;
        Some(duration)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }
}
