//! How long a runner may be sent requests without a sign that it still responds.
//!
//! A runner that has just frozen looks idle to every router. What they send it until its
//! silence is noticed is lost if it may run once. So all routers together should be expected
//! to send it only a few, whatever their rate.

use std::time;

use lentil_types::Instant;

/// Half-life of the rate: load doubles in about a second.
const HALF_LIFE: time::Duration = time::Duration::from_millis(500);

/// Rate of the requests to a service that may run once, decaying exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OnceRate {
    count: f64,
    updated_at: Instant,
}

impl OnceRate {
    pub(super) fn on_request(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Requests a second.
    pub(super) fn per_second(&self, now: Instant) -> f64 {
        self.decayed(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.count * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// Time in which all `routers` are expected to send `max_unheard` requests to each of
/// `runners`. `own_rate`: requests a second of this router. The sum over all routers is
/// exact also where they have different rates.
pub(super) fn trust(
    max_unheard: f64,
    own_rate: f64,
    routers: usize,
    runners: usize,
) -> time::Duration {
    let per_runner = own_rate * routers.max(1) as f64 / runners.max(1) as f64;
    time::Duration::try_from_secs_f64(max_unheard / per_runner).unwrap_or(time::Duration::MAX)
}
