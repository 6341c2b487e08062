//! Idle connections to runners.

use std::time;

use lentil_policy::forward::runners;
use lentil_types::{Instant, Table};

use crate::h1;

/// Settings of the connections to runners.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for a new connection. A runner takes about a millisecond,
    /// a lost packet costs a second.
    pub open_timeout: time::Duration,
    /// A connection that was idle for longer is not used again when its runner
    /// does not say how long it keeps it.
    pub idle_timeout: time::Duration,
    /// Part of the time that a runner keeps idle connections for.
    pub idle_ratio: f64,
    /// A request that may run only once takes no connection that was idle for
    /// longer: its runner may be closing it.
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

/// Idle connections, by the life of the runner that they lead to.
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

    /// Takes the connection that was used last.
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

    /// Keeps a connection. `keep`: how long its runner keeps it when idle.
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

    /// Closes connections that are too old, and those to runners that are gone.
    pub(super) fn tick(&mut self, now: Instant, is_known: impl Fn(&runners::Incarnation) -> bool) {
        self.idle.retain(|incarnation, idle| {
            idle.retain(|one| now < one.expires);
            !idle.is_empty() && is_known(incarnation)
        });
    }
}
