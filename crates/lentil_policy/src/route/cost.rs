//! Cost model for comparing runners.

use std::time;

use lentil_config::Objective;
use lentil_types::{Class, Pieces};

use crate::protocol;

/// Cost of running a request at a runner: the caller's wait and the prefill of
/// uncached pieces, weighted by objective and class.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// What the market is run for.
    pub objective: Objective,
    /// Expected time to prefill one piece.
    pub piece_time: time::Duration,
}

impl Default for Cost {
    fn default() -> Self {
        Self {
            objective: Objective::default(),
            piece_time: time::Duration::from_millis(150),
        }
    }
}

impl Cost {
    /// The cost in weighted seconds, given the leading cached pieces and the
    /// expected time to the first token.
    pub fn of(&self, work: &protocol::Work, cached: Pieces, wait: time::Duration) -> f64 {
        let uncached = (work.pieces.len() as u64).saturating_sub(cached.0);
        let compute = self.piece_time.as_secs_f64() * uncached as f64;
        let waste = compute * self.recompute_weight(work.class);
        waste + wait.as_secs_f64() * wait_weight(work.class)
    }

    /// Weight of prefill time, relative to a weight of 1 for the caller's wait.
    fn recompute_weight(&self, class: Class) -> f64 {
        match (self.objective, class) {
            (Objective::HitRate, Class::Urgent) => 3.0,
            (Objective::HitRate, _) => 6.0,
            (Objective::FirstToken, Class::Urgent) => 0.0,
            (Objective::FirstToken, Class::Normal) => 4.0,
            (Objective::FirstToken, Class::Patient) => 6.0,
        }
    }
}

/// Weight of the caller's wait.
fn wait_weight(class: Class) -> f64 {
    match class {
        Class::Urgent | Class::Normal => 1.0,
        Class::Patient => 0.25,
    }
}
