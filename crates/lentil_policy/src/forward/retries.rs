//! The fleet's retry budget, shared out without coordination.

use std::{collections, time};

use lentil_types::Instant;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Retries that each request pays for.
    pub ratio: f64,
    /// Retries that the fleet may make besides, in one window.
    pub extra: f64,
    /// Length of the window.
    pub window: time::Duration,
    /// Part of the allowance that is used. Under 1, because windows slide and
    /// routers do not agree on their number at every moment.
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

    /// A request arrived.
    pub fn on_request(&mut self, now: Instant) {
        self.requests.push_back(now);
        forget(&mut self.requests, now, self.settings.window);
    }

    /// Takes a retry out of the budget where there is one left. `routers` is
    /// the number of routers that share the fleet's extra.
    pub fn try_take(&mut self, now: Instant, routers: usize) -> bool {
        let Settings {
            ratio,
            extra,
            window,
            usable_share,
        } = self.settings;
        forget(&mut self.requests, now, window);
        forget(&mut self.retries, now, window);
        let own = ratio * self.requests.len() as f64;
        let share = extra / routers.max(1) as f64;
        if (self.retries.len() as f64) + 1.0 > (own + share) * usable_share {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn forget(times: &mut collections::VecDeque<Instant>, now: Instant, window: time::Duration) {
    while times.front().is_some_and(|&at| now.since(at) > window) {
        times.pop_front();
    }
}
