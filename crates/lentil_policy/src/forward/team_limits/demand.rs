//! What callers of one team ask of this router, and what they have used.

use std::time;

use lentil_types::{Instant, Units};

use crate::forward::{routing, team_limits::Settings};

/// Parts that the window of [`Usage`] is counted in.
const SLOTS: usize = 16;
const RANKS: usize = routing::MAX_RANK as usize + 1;

/// A rate that follows recent requests.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    units: f64,
    at: Instant,
}

impl Meter {
    fn decayed(&self, now: Instant, time_constant: f64) -> f64 {
        self.units * (-now.since(self.at).as_secs_f64() / time_constant).exp()
    }

    /// `most`: the most that is counted.
    fn add(&mut self, now: Instant, units: f64, time_constant: f64, most: f64) {
        self.units = (self.decayed(now, time_constant) + units).min(most);
        self.at = now;
    }
}

/// Units used in a window.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    slots: [u64; SLOTS],
    /// Number of the newest slot since the start of time.
    newest: u64,
}

impl Usage {
    fn slot(now: Instant, window: time::Duration) -> u64 {
        let span = (window.as_micros() as u64 / SLOTS as u64).max(1);
        now.0 / span
    }

    fn advance(&mut self, now: Instant, window: time::Duration) {
        let slot = Self::slot(now, window);
        let passed = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for offset in 1..=passed {
            self.slots[((self.newest + offset) % SLOTS as u64) as usize] = 0;
        }
        if passed == SLOTS as u64 {
            self.slots = [0; SLOTS];
        }
        self.newest = self.newest.max(slot);
    }

    fn current(&mut self) -> &mut u64 {
        &mut self.slots[(self.newest % SLOTS as u64) as usize]
    }
}

/// Requests of one team at this router.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    urgent: Meter,
    patient: Meter,
    used: Usage,
    /// When each rank was last used.
    ranks: [Option<Instant>; RANKS],
}

impl Demand {
    /// A request of a rank. Returns whether it is urgent: whether no lower rank was used in
    /// the last window.
    pub(super) fn on_rank(&mut self, now: Instant, rank: u8, window: time::Duration) -> bool {
        let rank = usize::from(rank).min(RANKS - 1);
        self.ranks[rank] = Some(now);
        let is_recent = |at: &Option<Instant>| at.is_some_and(|at| now.since(at) < window);
        !self.ranks[..rank].iter().any(is_recent)
    }

    /// A request that this router's part can serve. `limit`: the team's rate.
    pub(super) fn on_request(
        &mut self,
        now: Instant,
        cost: Units,
        is_urgent: bool,
        settings: &Settings,
        limit: f64,
    ) {
        let meter = if is_urgent {
            &mut self.urgent
        } else {
            &mut self.patient
        };
        let constant = time_constant(settings);
        meter.add(now, cost.0 as f64, constant, limit * constant);
    }

    /// Units that requests are expected to need in `reserve_time`.
    pub(super) fn expected(&self, now: Instant, settings: &Settings, only_urgent: bool) -> f64 {
        let constant = time_constant(settings);
        let mut recent = self.urgent.decayed(now, constant);
        if !only_urgent {
            recent += self.patient.decayed(now, constant);
        }
        recent * settings.reserve_time.as_secs_f64() / constant
    }

    /// Units were used.
    pub(super) fn on_used(&mut self, now: Instant, cost: Units, window: time::Duration) {
        self.used.advance(now, window);
        *self.used.current() += cost.0;
    }

    /// Units were not used after all.
    pub(super) fn on_refund(&mut self, now: Instant, cost: Units, window: time::Duration) {
        self.used.advance(now, window);
        let current = self.used.current();
        *current = current.saturating_sub(cost.0);
    }

    /// Units used in the last window.
    pub(super) fn used(&self, now: Instant, window: time::Duration) -> Units {
        let mut used = self.used;
        used.advance(now, window);
        Units(used.slots.iter().sum())
    }
}

/// Time constant of the expected demand, in seconds: callers move to other routers within
/// seconds.
fn time_constant(settings: &Settings) -> f64 {
    (2.0 * settings.reserve_time.as_secs_f64()).max(1e-3)
}
