//! Estimates the load of runners from status reports of different ages.
//!
//! In a large fleet every router has a status of each runner that is some seconds
//! old. If all took it as current, they would all send to the runner that was idle
//! then. So the weight of a report decays with its age, and the mean of all runners
//! takes its place.

use std::time;

use lentil_types::Instant;

use super::Settings;
use crate::forward::runners::Runner;

/// Requests of other routers at the runners.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadEstimate {
    /// Time after which a report has half its weight, in seconds.
    half_life: f64,
    /// Mean requests of other routers at a runner.
    mean: f64,
}

impl LoadEstimate {
    /// Takes the mean over `runners`, with newer reports weighted more.
    pub(super) fn new(now: Instant, settings: &Settings, runners: &[&Runner]) -> Self {
        let mut estimate = Self {
            half_life: settings.load_half_life.as_secs_f64(),
            ..Self::default()
        };
        estimate.mean = estimate.mean_others(now, runners);
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

    /// Expected requests at a runner, including this router's.
    pub(super) fn occupancy(&self, now: Instant, runner: &Runner) -> f64 {
        let reported = runner.other_requests().zip(runner.status_age(now));
        let others = reported.map_or(self.mean, |(others, age)| {
            self.mean + (f64::from(others) - self.mean) * self.weight(age)
        });
        others + f64::from(runner.in_flight)
    }

    fn weight(&self, age: time::Duration) -> f64 {
        (-age.as_secs_f64() / self.half_life).exp2()
    }
}
