//! Reports the progress of an attempt to the driver, with backpressure from the
//! entry.

use std::sync::Arc;

use lentil_policy::{protocol, sidecar};
use lentil_types::{AttemptId, Pieces};
use smol::{
    channel::Sender,
    lock::{Semaphore, SemaphoreGuardArc},
};

use crate::driver::Input;

/// Pieces of one answer that may wait for its entry.
const MAX_WAITING_PIECES: usize = 64;

/// Held by a piece until it is sent to the entry.
pub(crate) type Permit = SemaphoreGuardArc;

pub(super) struct Reporter {
    id: AttemptId,
    events: Sender<Input>,
    permits: Arc<Semaphore>,
}

impl Reporter {
    pub(super) fn new(id: AttemptId, events: Sender<Input>) -> Self {
        Self {
            id,
            events,
            permits: Arc::new(Semaphore::new(MAX_WAITING_PIECES)),
        }
    }

    pub(super) async fn started(
        &self,
        cached: Pieces,
        status: u16,
        headers: Vec<protocol::Header>,
    ) {
        let id = self.id;
        self.report(sidecar::Event::Started {
            id,
            cached,
            status,
            headers,
        })
        .await;
    }

    /// Waits until fewer than [`MAX_WAITING_PIECES`] wait, then reports a piece.
    pub(super) async fn piece(&self, offset: u64, text: String, data: Vec<u8>) {
        let permit = self.permits.acquire_arc().await;
        let event = sidecar::Event::Piece {
            id: self.id,
            offset,
            text,
            data,
        };
        self.send(Input::Piece(event, permit)).await;
    }

    pub(super) async fn report(&self, event: sidecar::Event) {
        self.send(Input::Event(event)).await;
    }

    async fn send(&self, input: Input) {
        // Fails only when the driver is gone, at process exit.
        let _ = self.events.send(input).await;
    }
}
