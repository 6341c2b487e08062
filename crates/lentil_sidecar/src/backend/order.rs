//! Sends orders to an engine.

use std::time;

use lentil_policy::rollout;

use super::{Backend, contained};

/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

impl Backend {
    /// Sends an order. A lost connection or a timeout gives
    /// [`rollout::OrderFault::Lost`].
    pub(crate) async fn order(&self, order: &rollout::Order) -> Result<(), rollout::OrderFault> {
        let body = serde_json::json!({
            "fencing": order.number,
            "order": { "weights": { "model": order.model, "version": order.weights } },
        });
        let conn = self
            .single
            .post(self.url("orders"))
            .with_body(body.to_string());
        let answer = async {
            let conn = contained(async { Ok(conn.await?) }).await;
            let conn = conn.map_err(|_| rollout::OrderFault::Lost)?;
            result_of_status(conn.status().map_or(0, |status| status as u16))
        };
        let timer = async {
            smol::Timer::after(ORDER_TIMEOUT).await;
            Err(rollout::OrderFault::Lost)
        };
        smol::future::or(answer, timer).await
    }
}

fn result_of_status(status: u16) -> Result<(), rollout::OrderFault> {
    match status {
        200..=299 => Ok(()),
        409 => Err(rollout::OrderFault::Fenced),
        429 | 503 => Err(rollout::OrderFault::Throttled),
        _ => Err(rollout::OrderFault::BadWeights),
    }
}
