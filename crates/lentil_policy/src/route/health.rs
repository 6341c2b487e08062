//! Outlier ejection and slow start of one runner.

use std::time;

use lentil_types::{BootId, Instant};

use crate::route;

/// Settings of outlier ejection and slow start.
#[derive(Clone, Copy, Debug)]
pub struct HealthSettings {
    /// Consecutive failures until ejection.
    pub failure_limit: u32,
    /// First ejection; each further one before a success adds as much.
    pub base_ejection: time::Duration,
    /// Longest ejection.
    pub max_ejection: time::Duration,
    /// Time after a restart with a limit on requests in flight.
    pub warm_up: time::Duration,
    /// In-flight limit per router to which the warm-up rises linearly from 1.
    pub warm_up_limit: u32,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failure_limit: 3,
            base_ejection: time::Duration::from_secs(2),
            max_ejection: time::Duration::from_secs(30),
            warm_up: time::Duration::from_secs(5),
            warm_up_limit: 16,
        }
    }
}

/// Failures, ejection and warm-up of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Since the last success or ejection.
    failures: u32,
    /// Since the last success.
    ejections: u32,
    ejected_until: Instant,
    boot: Option<BootId>,
    cold_since: Option<Instant>,
}

impl Health {
    pub(super) fn on_verdict(
        &mut self,
        now: Instant,
        settings: &HealthSettings,
        verdict: route::AttemptVerdict,
    ) {
        match verdict {
            route::AttemptVerdict::Good => *self = self.recovered(),
            route::AttemptVerdict::Refused => {}
            route::AttemptVerdict::Bad => self.failures += 1,
        }
        if self.failures >= settings.failure_limit {
            self.failures = 0;
            self.ejections += 1;
            let span = settings.base_ejection.saturating_mul(self.ejections);
            self.ejected_until = now + span.min(settings.max_ejection);
        }
    }

    /// Records the engine's boot. A restart begins a warm-up.
    pub(super) fn on_boot(&mut self, now: Instant, boot: BootId) {
        if self.boot.is_some_and(|old| old != boot) {
            self.cold_since = Some(now);
        }
        self.boot = Some(boot);
    }

    pub(super) fn boot(&self) -> Option<BootId> {
        self.boot
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        now < self.ejected_until
    }

    /// Limit of requests in flight; `u32::MAX` once warm.
    pub(super) fn in_flight_limit(&self, now: Instant, settings: &HealthSettings) -> u32 {
        let Some(since) = self.cold_since else {
            return u32::MAX;
        };
        let age = now.since(since);
        if age >= settings.warm_up {
            return u32::MAX;
        }
        let fraction = age.as_secs_f32() / settings.warm_up.as_secs_f32();
        1 + (fraction * settings.warm_up_limit as f32) as u32
    }

    fn recovered(self) -> Self {
        Self {
            failures: 0,
            ejections: 0,
            ..self
        }
    }
}
