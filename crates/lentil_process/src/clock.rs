//! The clock that the shells pass to the policy.

use std::time;

use lentil_types::Instant;

/// Monotonic time since the process began.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.start.elapsed()
    }

    /// How long to sleep until `at`.
    pub fn until(&self, at: Instant) -> time::Duration {
        at.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
