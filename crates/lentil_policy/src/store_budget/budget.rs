//! Budgets of calls a second.

use std::time;

use lentil_types::{Instant, Table};

use super::{Action, Breaker, BreakerSettings, Purpose};

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Calls a second that each purpose may make, but for claims.
    pub rate: f64,
    /// Calls that each purpose may make at once, but for claims.
    pub burst: f64,
    /// Calls a second for claims, which callers wait for.
    pub claim_rate: f64,
    /// Calls at once for claims.
    pub claim_burst: f64,
    /// The circuit breaker over all purposes.
    pub breaker: BreakerSettings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 20.0,
            burst: 40.0,
            claim_rate: 100.0,
            claim_burst: 200.0,
            breaker: BreakerSettings::default(),
        }
    }
}

impl Settings {
    /// Calls a second and at once for a purpose.
    fn limits(&self, purpose: Purpose) -> (f64, f64) {
        match purpose {
            Purpose::Claim => (self.claim_rate, self.claim_burst),
            _ => (self.rate, self.burst),
        }
    }
}

/// A call may not be made now. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The store fails; the circuit breaker is open.
    #[error("the store fails; another try is worth while in {0:?}")]
    CircuitOpen(time::Duration),
    /// The purpose has spent its calls.
    #[error("{0} calls to the store are spent; one is free in {1:?}")]
    Exhausted(Purpose, time::Duration),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The store answered, whatever it said.
    Success,
    /// The store did not result, or refused because it has too much to do.
    Failure,
    /// The caller did not wait for the result.
    Abandoned,
}

/// Calls of one purpose and action so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    /// What they were for.
    pub purpose: Purpose,
    /// What they did.
    pub action: Action,
    /// Calls made.
    pub made: u64,
    /// Calls that the budget or the breaker did not let through.
    pub denied: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    calls: f64,
    filled: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    made: u64,
    denied: u64,
}

/// Decides when this process may call the store.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    breaker: Breaker,
    buckets: Table<Purpose, Bucket>,
    counts: Table<(Purpose, Action), Count>,
    emptied: Option<Instant>,
}

impl Budget {
    /// Full budgets and a closed breaker.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            breaker: Breaker::new(settings.breaker),
            buckets: Table::new(),
            counts: Table::new(),
            emptied: None,
        }
    }

    /// Whether the circuit breaker lets calls through.
    pub fn is_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Asks for a call. When it is allowed, report how it ended to
    /// [`Budget::on_result`].
    ///
    /// # Errors
    /// [`Denied`] when it may not be made now.
    pub fn admit(&mut self, now: Instant, purpose: Purpose, action: Action) -> Result<(), Denied> {
        let admitted = self.try_admit(now, purpose);
        let count = self
            .counts
            .get_or_insert_with((purpose, action), Count::default);
        match admitted {
            Ok(()) => count.made += 1,
            Err(_) => count.denied += 1,
        }
        admitted
    }

    /// Takes in how a call ended.
    pub fn on_result(&mut self, now: Instant, result: CallResult, rng: &mut dyn rand::Rng) {
        match result {
            CallResult::Success if self.breaker.on_success() => self.empty(now),
            CallResult::Success => {}
            CallResult::Failure => self.breaker.on_failure(now, rng),
            CallResult::Abandoned if self.breaker.is_closed() => {}
            CallResult::Abandoned => self.breaker.on_failure(now, rng),
        }
    }

    /// Calls so far, for each purpose and action.
    pub fn tallies(&self) -> Vec<Tally> {
        let tally = |(&(purpose, action), count): (&(Purpose, Action), &Count)| Tally {
            purpose,
            action,
            made: count.made,
            denied: count.denied,
        };
        self.counts.iter().map(tally).collect()
    }

    fn try_admit(&mut self, now: Instant, purpose: Purpose) -> Result<(), Denied> {
        if !self.breaker.is_closed() {
            // A probe needs no budget: the breaker spaces them out.
            return self.breaker.admit(now).map_err(Denied::CircuitOpen);
        }
        let (rate, burst) = self.settings.limits(purpose);
        let full = match self.emptied {
            Some(filled) => Bucket { calls: 0.0, filled },
            None => Bucket {
                calls: burst,
                filled: now,
            },
        };
        let bucket = self.buckets.get_or_insert_with(purpose, || full);
        let refill = now.since(bucket.filled).as_secs_f64() * rate;
        bucket.calls = (bucket.calls + refill).min(burst);
        bucket.filled = now;
        if bucket.calls < 1.0 {
            let wait = time::Duration::from_secs_f64((1.0 - bucket.calls) / rate);
            return Err(Denied::Exhausted(purpose, wait));
        }
        bucket.calls -= 1.0;
        Ok(())
    }

    /// Starts every purpose from nothing, so that a process that comes back
    /// after an outage does so at its rate.
    fn empty(&mut self, now: Instant) {
        self.emptied = Some(now);
        self.buckets = Table::new();
    }
}
