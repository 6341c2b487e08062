//! A circuit breaker.

use std::time;

use lentil_types::Instant;
use rand::RngExt as _;

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Consecutive failures that open it.
    pub failure_threshold: u32,
    /// Longest wait before the first probe; doubles with each failed one. Waits
    /// are drawn between half and all of it.
    pub min_wait: time::Duration,
    /// Longest wait after many failed probes.
    pub max_wait: time::Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            min_wait: time::Duration::from_millis(500),
            max_wait: time::Duration::from_secs(15),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Calls go through.
    Closed { failures: u32 },
    /// No call goes through before `until`.
    Open { until: Instant },
    /// One probe is in flight.
    Probing,
}

/// Stops calls to a failing service and probes for its recovery.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    open_count: u32,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed { failures: 0 },
            open_count: 0,
        }
    }

    /// Whether calls go through.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Admits a call, as a probe if the wait of an open breaker is over.
    ///
    /// # Errors
    /// Time until another try.
    pub fn admit(&mut self, now: Instant) -> Result<(), time::Duration> {
        match self.state {
            State::Closed { .. } => Ok(()),
            State::Open { until } if now >= until => {
                self.state = State::Probing;
                Ok(())
            }
            State::Open { until } => Err(until.since(now)),
            State::Probing => Err(self.settings.min_wait),
        }
    }

    /// Handles a successful call. Returns whether it closed the breaker.
    pub fn on_success(&mut self) -> bool {
        let was_open = !self.is_closed();
        self.state = State::Closed { failures: 0 };
        self.open_count = 0;
        was_open
    }

    /// Handles a failed call.
    pub fn on_failure(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failure_threshold => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            State::Closed { .. } | State::Probing => self.open(now, rng),
            // A call from before the breaker opened tells nothing new.
            State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let doubled = self
            .settings
            .min_wait
            .saturating_mul(1 << self.open_count.min(16));
        let limit = doubled.min(self.settings.max_wait);
        let wait = limit.mul_f64(rng.random_range(0.5..1.0));
        self.open_count = self.open_count.saturating_add(1);
        self.state = State::Open { until: now + wait };
    }
}
