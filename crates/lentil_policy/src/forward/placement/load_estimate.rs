//! What agents told, by its age.
//!
//! Load it answers: in a large fleet a router hears of each runner only every few
//! seconds, and so does every other router. If all took such news for the present,
//! they would all send to the runner that was idle then. As news age, they count
//! less, and the mean of all runners takes their place.

use std::time;

use lentil_types::Instant;

use super::Settings;
use crate::forward::runners::Runner;

/// What is thought of runners by what was told of them, and when.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Time after which news count for half, in seconds.
    half_life: f64,
    /// Mean requests of other routers at a runner.
    others: f64,
}

impl LoadEstimate {
    /// The means over these runners; what was told lately weighs more.
    pub(super) fn new(now: Instant, settings: &Settings, runners: &[&Runner]) -> Self {
        let mut estimate = Self {
            half_life: settings.load_half_life.as_secs_f64(),
            ..Self::default()
        };
        estimate.others = estimate.mean_others(now, runners);
        estimate
    }

    fn mean_others(&self, now: Instant, runners: &[&Runner]) -> f64 {
        let (mut sum, mut weights) = (0.0, 0.0);
        for runner in runners {
            if let Some((others, age)) = runner.other_requests().zip(runner.status_age(now)) {
                let weight = self.weight(age);
                sum += weight * f64::from(others);
                weights += weight;
            }
        }
        if weights > 0.0 { sum / weights } else { 0.0 }
    }

    /// Requests at a runner, this router's included.
    pub(super) fn occupancy(&self, now: Instant, runner: &Runner) -> f64 {
        let told = runner.other_requests().zip(runner.status_age(now));
        let others = told.map_or(self.others, |(others, age)| {
            self.others + (f64::from(others) - self.others) * self.weight(age)
        });
        others + f64::from(runner.in_flight)
    }

    fn weight(&self, age: time::Duration) -> f64 {
        (-age.as_secs_f64() / self.half_life).exp2()
    }
}
