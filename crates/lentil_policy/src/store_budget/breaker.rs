//! A circuit breaker.

use std::time;

use lentil_types::Instant;
use rand::RngExt as _;

/// Settings of a [`Breaker`].
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failure_threshold: u32,
    /// Longest first wait before a probe.
    pub min_wait: time::Duration,
    /// Longest wait before a probe, after many of them have failed.
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
    /// One probe is under way.
    Probing,
}

/// Stops calls to something that fails, and probes whether it is back.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    opened: u32,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            state: State::Closed { failures: 0 },
            opened: 0,
        }
    }

    /// Whether calls go through.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Lets a call through, as a probe where the breaker was open, or says how
    /// long to wait.
    ///
    /// # Errors
    /// The time to the next probe.
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

    /// A call went well. Returns whether this closed the breaker.
    pub fn on_success(&mut self) -> bool {
        let closes = !self.is_closed();
        self.state = State::Closed { failures: 0 };
        self.opened = 0;
        closes
    }

    /// A call failed.
    pub fn on_failure(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failure_threshold => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            State::Closed { .. } | State::Probing => self.open(now, rng),
            // A call from before it opened says nothing new.
            State::Open { .. } => {}
        }
    }

    fn open(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let doubled = self
            .settings
            .min_wait
            .saturating_mul(1 << self.opened.min(16));
        let longest = doubled.min(self.settings.max_wait);
        let wait = longest.mul_f64(rng.random_range(0.5..1.0));
        self.opened = self.opened.saturating_add(1);
        self.state = State::Open { until: now + wait };
    }
}
