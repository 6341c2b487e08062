//! Monotonic clock for the policies.

use std::time;

use lentil_types::Instant;

/// Measures monotonic time since its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Instant {
        Instant::ZERO + self.start.elapsed()
    }

    /// Time to sleep until `deadline`; zero if it has passed.
    pub fn until(&self, deadline: Instant) -> time::Duration {
        deadline.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}
