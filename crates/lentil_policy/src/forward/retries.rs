//! This router's share of the fleet's retry budget, computed without coordination.

use std::{collections, time};

use lentil_types::Instant;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries granted for each request.
    pub ratio: f64,
    /// Further retries that the whole fleet may make in one window.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: time::Duration,
    /// Fraction of the allowance that is used. Under 1, because windows slide and the
    /// routers may disagree about their number.
    pub usable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 50.0,
            window: time::Duration::from_secs(10),
            usable_share: 0.7,
        }
    }
}

/// Grants retries for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: Settings,
    requests: collections::VecDeque<Instant>,
    retries: collections::VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget with nothing spent.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: collections::VecDeque::new(),
            retries: collections::VecDeque::new(),
        }
    }

    /// Counts a request that arrived.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, self.settings.window);
    }

    /// Takes one retry from the budget; `false` if it is exhausted. `routers`: how
    /// many share the fleet's `extra`.
    pub fn try_take(&mut self, now: Instant, routers: usize) -> bool {
        let Settings {
            ratio,
            extra,
            window,
            usable_share,
        } = self.settings;
        expire(&mut self.requests, now, window);
        expire(&mut self.retries, now, window);
        let earned = ratio * self.requests.len() as f64;
        let share = extra / routers.max(1) as f64;
        if (self.retries.len() as f64) + 1.0 > (earned + share) * usable_share {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn expire(times: &mut collections::VecDeque<Instant>, now: Instant, window: time::Duration) {
    while times.front().is_some_and(|&time| now.since(time) > window) {
        times.pop_front();
    }
}
