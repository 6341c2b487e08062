//! Decides which requests a stopping router takes, and when it answers the last ones.
//!
//! The load it answers: callers use kept connections until the process is gone, and some
//! requests may take longer than the time that the router has left.

use std::time;

use lentil_types::Instant;

/// Settings of a [`Shutdown`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest total time of a shutdown.
    pub grace: time::Duration,
    /// Time until the balancer sends no more connections. Before that, a refused caller may
    /// come back to this router or to another one that stops.
    pub handover: time::Duration,
    /// Time from the last answers to the end, in which they reach their callers.
    pub margin: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grace: time::Duration::from_secs(8),
            handover: time::Duration::from_millis(2_400),
            margin: time::Duration::from_millis(400),
        }
    }
}

/// A shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    settings: Settings,
    begun_at: Instant,
}

impl Shutdown {
    /// A shutdown that begins at `now`.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            begun_at: now,
        }
    }

    /// When it began.
    pub fn begun_at(&self) -> Instant {
        self.begun_at
    }

    /// When requests that still have no answer get one.
    pub fn last_answers_at(&self) -> Instant {
        let Settings { grace, margin, .. } = self.settings;
        self.begun_at + grace.saturating_sub(margin)
    }

    /// Whether a request is taken that was read at `now` and may be answered until
    /// `answer_by`. `has_others`: whether other routers can take it.
    pub fn admits(&self, now: Instant, answer_by: Instant, has_others: bool) -> bool {
        let is_early = now.since(self.begun_at) < self.settings.handover;
        is_early || !has_others || answer_by <= self.last_answers_at()
    }
}
