//! Passes orders on to the engine, if they are not old.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time,
};

use lentil_platform::ObjectStore;
use lentil_policy::{
    lease::{self, FencingGate, Record},
    rollout,
};
use lentil_types::{FencingNumber, RegionName};

use crate::{Control, backend::Backend};

/// Time between two tries to read the lease.
const LEARN_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Passes orders on to the engine, if they are not old.
pub(crate) struct Orders {
    gate: Mutex<FencingGate>,
    /// Held through an order: a lower number must not pass between the check
    /// and the call of a higher one.
    turn: smol::lock::Mutex<()>,
    backend: Arc<Backend>,
}

impl Orders {
    pub(crate) fn new(backend: Arc<Backend>) -> Self {
        Self {
            gate: Mutex::new(FencingGate::new()),
            turn: smol::lock::Mutex::new(()),
            backend,
        }
    }

    /// Takes in the number that the lease's object has.
    pub(crate) fn learn(&self, number: FencingNumber) {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.learn(number);
    }

    /// Gives an order to the engine.
    pub(crate) async fn carry_out(
        &self,
        order: &rollout::Order,
    ) -> Result<(), rollout::OrderFault> {
        let _turn = self.turn.lock().await;
        self.pass(order.number)?;
        log::info!(model:% = order.model, weights:% = order.weights; "order passed on");
        self.backend.order(order).await
    }

    fn pass(&self, number: FencingNumber) -> Result<(), rollout::OrderFault> {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.pass(number).map_err(|error| {
            log::warn!("an order was refused: {error}");
            rollout::OrderFault::Fenced
        })
    }
}

/// Reads the lease until it is known, so that the sidecar may pass orders.
pub async fn learn_fencing(control: Control, store: Arc<dyn ObjectStore>, region: RegionName) {
    let key = lease::key(&region);
    loop {
        match store.read(&key).await {
            Ok(object) => {
                let text = String::from_utf8(object.value).unwrap_or_default();
                let record = text.parse::<Record>();
                // Without a lease nobody has ever ordered anything.
                control.learn_fencing(record.map(|record| record.number).unwrap_or_default());
                return;
            }
            Err(error) => log::debug!("the lease is not known yet: {error}"),
        }
        smol::Timer::after(LEARN_PERIOD).await;
    }
}
