//! Store calls behind budgets and a circuit breaker.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use lentil_policy::{
    store::{ObjectKey, ObjectVersion},
    store_budget::{Action, Budget, CallResult, Purpose, Settings, Tally},
};
use lentil_types::Instant;
use rand::SeedableRng as _;

use crate::{Object, ObjectInfo, ObjectStore, StoreError, StoreFuture};

/// Store with budgets and a circuit breaker that counts calls by purpose and
/// action.
pub struct GuardedStore {
    store: Arc<dyn ObjectStore>,
    state: Mutex<State>,
    start: time::Instant,
}

struct State {
    budget: Budget,
    rng: rand_pcg::Pcg64Mcg,
}

impl GuardedStore {
    /// Wraps `store`.
    pub fn new(store: Arc<dyn ObjectStore>, settings: Settings) -> Self {
        let rng = rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng());
        let budget = Budget::new(settings);
        Self {
            store,
            state: Mutex::new(State { budget, rng }),
            start: time::Instant::now(),
        }
    }

    /// Calls made and denied since the start, by purpose and action.
    pub fn tallies(&self) -> Vec<Tally> {
        self.lock().budget.tallies()
    }

    /// Whether the circuit breaker is closed, so that calls pass.
    pub fn is_closed(&self) -> bool {
        self.lock().budget.is_closed()
    }

    fn now(&self) -> Instant {
        Instant::ZERO + self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call<T>(
        &self,
        purpose: Purpose,
        action: Action,
        call: StoreFuture<'_, T>,
    ) -> Result<T, StoreError> {
        self.lock().budget.admit(self.now(), purpose, action)?;
        let pending = PendingCall(Some(self));
        let result = call.await;
        pending.finish(call_result(&result));
        result
    }

    fn on_result(&self, result: CallResult) {
        let now = self.now();
        let mut state = self.lock();
        let State { budget, rng } = &mut *state;
        budget.on_result(now, result, rng);
    }
}

/// A call in flight, reported as abandoned if dropped: a probe without a result
/// would leave the breaker half open for ever.
struct PendingCall<'a>(Option<&'a GuardedStore>);

impl PendingCall<'_> {
    fn finish(mut self, result: CallResult) {
        if let Some(guarded) = self.0.take() {
            guarded.on_result(result);
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if let Some(guarded) = self.0 {
            guarded.on_result(CallResult::Abandoned);
        }
    }
}

impl ObjectStore for GuardedStore {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Object> {
        let call = self.store.read(key);
        Box::pin(self.call(Purpose::of_kind(&key.kind), Action::Read, call))
    }

    fn update<'a>(
        &'a self,
        key: &'a ObjectKey,
        expect: ObjectVersion,
        value: Vec<u8>,
    ) -> StoreFuture<'a, ObjectVersion> {
        let call = self.store.update(key, expect, value);
        Box::pin(self.call(Purpose::of_kind(&key.kind), Action::Update, call))
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: ObjectVersion,
        wait: time::Duration,
    ) -> StoreFuture<'a, Option<Object>> {
        let call = self.store.watch(key, after, wait);
        Box::pin(self.call(Purpose::of_kind(&key.kind), Action::Watch, call))
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Vec<ObjectInfo>> {
        let call = self.store.list(kind);
        Box::pin(self.call(Purpose::of_kind(kind), Action::List, call))
    }
}

fn call_result<T>(result: &Result<T, StoreError>) -> CallResult {
    match result {
        Err(error) if error.is_outage() => CallResult::Failure,
        Ok(_) | Err(_) => CallResult::Success,
    }
}
