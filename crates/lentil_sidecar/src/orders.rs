//! Checks the fencing number of orders and passes the valid ones to the engine.

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

/// Delay before a failed lease read is retried.
const LEARN_PERIOD: time::Duration = time::Duration::from_secs(2);

pub(crate) struct Orders {
    gate: Mutex<FencingGate>,
    /// Held from the check until the engine answers, so that no order reaches it
    /// after one with a higher number.
    order_lock: smol::lock::Mutex<()>,
    backend: Arc<Backend>,
}

impl Orders {
    pub(crate) fn new(backend: Arc<Backend>) -> Self {
        Self {
            gate: Mutex::new(FencingGate::new()),
            order_lock: smol::lock::Mutex::new(()),
            backend,
        }
    }

    /// Raises the lowest accepted number to that of the lease.
    pub(crate) fn learn_fencing(&self, number: FencingNumber) {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.learn(number);
    }

    /// Sends an order to the engine, one at a time.
    pub(crate) async fn execute(&self, order: &rollout::Order) -> Result<(), rollout::OrderFault> {
        let _guard = self.order_lock.lock().await;
        self.check_fencing(order.number)?;
        log::info!(model:% = order.model, weights:% = order.weights; "sending an order to the engine");
        self.backend.order(order).await
    }

    fn check_fencing(&self, number: FencingNumber) -> Result<(), rollout::OrderFault> {
        let mut gate = self.gate.lock().unwrap_or_else(PoisonError::into_inner);
        gate.pass(number).map_err(|error| {
            log::warn!("refused an order: {error}");
            rollout::OrderFault::Fenced
        })
    }
}

/// Reads the fencing number from the lease, retrying until that succeeds. Until
/// then every order is refused.
pub async fn learn_fencing(control: Control, store: Arc<dyn ObjectStore>, region: RegionName) {
    let key = lease::key(&region);
    loop {
        match store.read(&key).await {
            Ok(object) => {
                let text = String::from_utf8(object.value).unwrap_or_default();
                let record = text.parse::<Record>();
                // Without a lease no order has ever been issued.
                control.learn_fencing(record.map(|record| record.number).unwrap_or_default());
                return;
            }
            Err(error) => log::debug!("cannot read the lease, retrying: {error}"),
        }
        smol::Timer::after(LEARN_PERIOD).await;
    }
}
