//! Budgets and a circuit breaker before a store.

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

/// Puts budgets and a circuit breaker before a store, and counts its calls for
/// each purpose.
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
    /// Guards `store`.
    pub fn new(store: Arc<dyn ObjectStore>, settings: Settings) -> Self {
        let rng = rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng());
        let budget = Budget::new(settings);
        Self {
            store,
            state: Mutex::new(State { budget, rng }),
            start: time::Instant::now(),
        }
    }

    /// Calls so far, for each purpose and action.
    pub fn tallies(&self) -> Vec<Tally> {
        self.lock().budget.tallies()
    }

    /// Whether the circuit breaker lets calls through.
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
        let pending = Pending(Some(self));
        let result = call.await;
        pending.finish(answer_of(&result));
        result
    }

    fn on_answer(&self, answer: CallResult) {
        let now = self.now();
        let mut state = self.lock();
        let State { budget, rng } = &mut *state;
        budget.on_result(now, answer, rng);
    }
}

/// A call under way. One that is dropped counts as failed, so that an abandoned
/// probe cannot hold the breaker half open for ever.
struct Pending<'a>(Option<&'a GuardedStore>);

impl Pending<'_> {
    fn finish(mut self, answer: CallResult) {
        if let Some(guarded) = self.0.take() {
            guarded.on_answer(answer);
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(guarded) = self.0 {
            guarded.on_answer(CallResult::Abandoned);
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

fn answer_of<T>(result: &Result<T, StoreError>) -> CallResult {
    match result {
        Err(error) if error.is_outage() => CallResult::Failure,
        Ok(_) | Err(_) => CallResult::Success,
    }
}
