//! Pool of idle connections to runners.

use std::time;

use lentil_policy::forward::runners;
use lentil_types::{Instant, Table};

use crate::h1;

/// Settings of the connection pool.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Connect timeout. A connect takes about a millisecond, and a lost packet costs a
    /// second.
    pub open_timeout: time::Duration,
    /// Longest idle time of a connection whose runner sends no keep-alive timeout.
    pub idle_timeout: time::Duration,
    /// Fraction of a runner's keep-alive timeout for which its connections are reused.
    pub idle_ratio: f64,
    /// Longest idle time of a connection reused for a request that may run only once:
    /// its runner may be closing an older one.
    pub fresh_age: time::Duration,
    /// Most idle connections to one runner.
    pub max_idle: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            open_timeout: time::Duration::from_millis(300),
            idle_timeout: time::Duration::from_secs(4),
            idle_ratio: 0.5,
            fresh_age: time::Duration::from_millis(1_500),
            max_idle: 16,
        }
    }
}

struct Idle {
    connection: h1::Connection,
    idle_since: Instant,
    expires: Instant,
}

/// Idle connections by incarnation of the runner.
pub(super) struct Pool {
    settings: Settings,
    idle: Table<runners::Incarnation, Vec<Idle>>,
}

impl Pool {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings,
            idle: Table::new(),
        }
    }

    /// Takes the most recently used connection.
    pub(super) fn take(
        &mut self,
        now: Instant,
        incarnation: &runners::Incarnation,
        must_be_fresh: bool,
    ) -> Option<h1::Connection> {
        let idle = self.idle.get_mut(incarnation)?;
        while let Some(last) = idle.pop() {
            let is_fresh = !must_be_fresh || now.since(last.idle_since) <= self.settings.fresh_age;
            if now < last.expires && is_fresh {
                return Some(last.connection);
            }
        }
        None
    }

    /// Adds an idle connection. `keep`: the runner's keep-alive timeout.
    pub(super) fn put(
        &mut self,
        now: Instant,
        incarnation: &runners::Incarnation,
        connection: h1::Connection,
        keep: Option<time::Duration>,
    ) {
        let scaled = |keep: time::Duration| keep.mul_f64(self.settings.idle_ratio);
        let timeout = keep.map_or(self.settings.idle_timeout, scaled);
        let idle = self.idle.get_or_insert_with(incarnation.clone(), Vec::new);
        if idle.len() < self.settings.max_idle {
            idle.push(Idle {
                connection,
                idle_since: now,
                expires: now + timeout,
            });
        }
    }

    /// Closes expired connections and those to runners that are gone.
    pub(super) fn tick(&mut self, now: Instant, is_known: impl Fn(&runners::Incarnation) -> bool) {
        self.idle.retain(|incarnation, idle| {
            idle.retain(|one| now < one.expires);
            !idle.is_empty() && is_known(incarnation)
        });
    }
}
