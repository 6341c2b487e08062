//! Token buckets per purpose behind one circuit breaker.

use std::time;

use lentil_types::{Instant, Table};

use super::{Action, Breaker, BreakerSettings, Purpose};

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Calls per second for each purpose except claims.
    pub rate: f64,
    /// Burst of calls for each purpose except claims.
    pub burst: f64,
    /// Calls per second for claims, higher because callers wait.
    pub claim_rate: f64,
    /// Burst of calls for claims.
    pub claim_burst: f64,
    /// Circuit breaker of all purposes.
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
    /// Calls per second and burst, in calls, of a purpose.
    fn limits(&self, purpose: Purpose) -> (f64, f64) {
        match purpose {
            Purpose::Claim => (self.claim_rate, self.claim_burst),
            _ => (self.rate, self.burst),
        }
    }
}

/// A call was denied. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The store fails; the breaker is open.
    #[error("the circuit breaker is open because the store fails; retry in {0:?}")]
    CircuitOpen(time::Duration),
    /// The purpose's budget is used up.
    #[error("the budget of {0} calls to the store is used up; retry in {1:?}")]
    Exhausted(Purpose, time::Duration),
}

/// How an admitted call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The store answered, even with an error such as a conflict.
    Success,
    /// The store did not answer, or refused the call because of overload.
    Failure,
    /// The caller stopped waiting for the answer.
    Abandoned,
}

/// Call counts of one purpose and action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    /// Purpose of the calls.
    pub purpose: Purpose,
    /// Operation of the calls.
    pub action: Action,
    /// Calls made.
    pub made: u64,
    /// Calls denied by budget or breaker.
    pub denied: u64,
}

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    available: f64,
    refilled_at: Instant,
}

#[derive(Clone, Copy, Debug, Default)]
struct CallCount {
    made: u64,
    denied: u64,
}

/// Decides whether this process may call the store now.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    breaker: Breaker,
    buckets: Table<Purpose, TokenBucket>,
    counts: Table<(Purpose, Action), CallCount>,
    /// When the breaker last closed. New buckets start empty at that time.
    emptied_at: Option<Instant>,
}

impl Budget {
    /// Starts with full budgets and a closed breaker.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            breaker: Breaker::new(settings.breaker),
            buckets: Table::new(),
            counts: Table::new(),
            emptied_at: None,
        }
    }

    /// Whether the circuit breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.breaker.is_closed()
    }

    /// Admits or denies a call. Pass an admitted one's result to
    /// [`Budget::on_result`].
    ///
    /// # Errors
    /// [`Denied`] if the call must not be made now.
    pub fn admit(&mut self, now: Instant, purpose: Purpose, action: Action) -> Result<(), Denied> {
        let admitted = self.try_admit(now, purpose);
        let count = self
            .counts
            .get_or_insert_with((purpose, action), CallCount::default);
        match admitted {
            Ok(()) => count.made += 1,
            Err(_) => count.denied += 1,
        }
        admitted
    }

    /// Handles the result of an admitted call.
    pub fn on_result(&mut self, now: Instant, result: CallResult, rng: &mut dyn rand::Rng) {
        match result {
            CallResult::Success if self.breaker.on_success() => self.empty_buckets(now),
            CallResult::Success => {}
            CallResult::Failure => self.breaker.on_failure(now, rng),
            CallResult::Abandoned if self.breaker.is_closed() => {}
            CallResult::Abandoned => self.breaker.on_failure(now, rng),
        }
    }

    /// Counts of calls per purpose and action.
    pub fn tallies(&self) -> Vec<Tally> {
        let tally = |(&(purpose, action), count): (&(Purpose, Action), &CallCount)| Tally {
            purpose,
            action,
            made: count.made,
            denied: count.denied,
        };
        self.counts.iter().map(tally).collect()
    }

    fn try_admit(&mut self, now: Instant, purpose: Purpose) -> Result<(), Denied> {
        if !self.breaker.is_closed() {
            // Probes use no budget: the breaker limits their rate.
            return self.breaker.admit(now).map_err(Denied::CircuitOpen);
        }
        let (rate, burst) = self.settings.limits(purpose);
        let initial = match self.emptied_at {
            Some(emptied_at) => TokenBucket {
                available: 0.0,
                refilled_at: emptied_at,
            },
            None => TokenBucket {
                available: burst,
                refilled_at: now,
            },
        };
        let bucket = self.buckets.get_or_insert_with(purpose, || initial);
        let refill = now.since(bucket.refilled_at).as_secs_f64() * rate;
        bucket.available = (bucket.available + refill).min(burst);
        bucket.refilled_at = now;
        if bucket.available < 1.0 {
            let wait = time::Duration::from_secs_f64((1.0 - bucket.available) / rate);
            return Err(Denied::Exhausted(purpose, wait));
        }
        bucket.available -= 1.0;
        Ok(())
    }

    /// Empties every budget, so that a process resumes at its rate after an outage.
    fn empty_buckets(&mut self, now: Instant) {
        self.emptied_at = Some(now);
        self.buckets = Table::new();
    }
}
