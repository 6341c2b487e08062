//! One claim object and the requests that wait for it.

use std::time;

use lentil_types::{AttemptId, Instant};

use crate::{claim, store};

/// A claim request that is not decided yet.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) request: claim::ClaimRequest,
    /// Key of its record.
    pub(super) key: compact_str::CompactString,
    pub(super) requested_at: Instant,
    /// Whether a write with this claim may have taken effect.
    pub(super) maybe_committed: bool,
}

/// An end that is not recorded yet.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    pub(super) key: compact_str::CompactString,
    pub(super) id: AttemptId,
    pub(super) settled: claim::Settled,
}

/// A call to the store that has no reply yet.
#[derive(Debug)]
pub(super) enum PendingOp {
    Read {
        op: store::OpId,
    },
    Write {
        op: store::OpId,
        next: claim::Object,
        requests: Vec<WaitingRequest>,
        settlements: Vec<Settlement>,
    },
}

impl PendingOp {
    pub(super) fn op(&self) -> store::OpId {
        match self {
            Self::Read { op } | Self::Write { op, .. } => *op,
        }
    }
}

/// One claim object as known to this process.
#[derive(Debug, Default)]
pub(super) struct Shard {
    /// Version and content; `None` if it must be read.
    pub(super) cached: Option<(store::ObjectVersion, claim::Object)>,
    pub(super) read_at: Instant,
    pub(super) requests: Vec<WaitingRequest>,
    pub(super) settlements: Vec<Settlement>,
    pub(super) pending: Option<PendingOp>,
    pub(super) op_started: Instant,
    /// Earliest start of the next call.
    pub(super) call_due: Instant,
    /// Earliest start of a call that only records ends.
    pub(super) settle_due: Instant,
    pub(super) last_used: Instant,
}

impl Shard {
    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_none() && self.requests.is_empty() && self.settlements.is_empty()
    }

    /// When it next needs a tick. A pending call times out after `reply_timeout`.
    pub(super) fn due(&self, reply_timeout: time::Duration) -> Instant {
        if self.pending.is_some() {
            self.op_started + reply_timeout
        } else if !self.requests.is_empty() {
            self.call_due
        } else if !self.settlements.is_empty() {
            self.call_due.max(self.settle_due)
        } else {
            Instant::NEVER
        }
    }

    /// Queues the contents of a failed write again, ahead of newer ones.
    pub(super) fn requeue(
        &mut self,
        requests: Vec<WaitingRequest>,
        settlements: Vec<Settlement>,
        maybe_committed: bool,
    ) {
        let again = |waiting: WaitingRequest| WaitingRequest {
            maybe_committed: waiting.maybe_committed || maybe_committed,
            ..waiting
        };
        self.requests.splice(0..0, requests.into_iter().map(again));
        self.settlements.splice(0..0, settlements);
        self.cached = None;
    }

    /// Removes all waiting requests and releases claims that may be committed.
    pub(super) fn abandon_all(&mut self) -> Vec<WaitingRequest> {
        let requests = std::mem::take(&mut self.requests);
        for waiting in requests.iter().filter(|waiting| waiting.maybe_committed) {
            self.settlements.push(Settlement {
                key: waiting.key.clone(),
                id: waiting.request.id,
                settled: claim::Settled::NotRun,
            });
        }
        requests
    }
}
