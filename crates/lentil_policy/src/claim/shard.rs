//! One claim object and the calls that wait for it.

use std::time;

use lentil_types::{AttemptId, Instant};

use crate::{claim, store};

/// A call that wants a claim, with the place of its claim.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) request: claim::ClaimRequest,
    pub(super) key: compact_str::CompactString,
    pub(super) asked: Instant,
    /// Whether a write with this claim may be in force.
    pub(super) may_stand: bool,
}

/// An end that is not recorded yet.
#[derive(Clone, Debug)]
pub(super) struct Settle {
    pub(super) key: compact_str::CompactString,
    pub(super) id: AttemptId,
    pub(super) settled: claim::Settled,
}

/// A call to the store that has no answer yet.
#[derive(Debug)]
pub(super) enum Flight {
    Read {
        op: store::OpId,
    },
    Write {
        op: store::OpId,
        next: claim::Object,
        asks: Vec<Waiting>,
        settles: Vec<Settle>,
    },
}

impl Flight {
    pub(super) fn op(&self) -> store::OpId {
        match self {
            Self::Read { op } | Self::Write { op, .. } => *op,
        }
    }
}

/// One claim object as this process knows it.
#[derive(Debug, Default)]
pub(super) struct Shard {
    /// Version and content; `None` when it must be read.
    pub(super) known: Option<(store::ObjectVersion, claim::Object)>,
    pub(super) read_at: Instant,
    pub(super) asks: Vec<Waiting>,
    pub(super) settles: Vec<Settle>,
    pub(super) flight: Option<Flight>,
    /// When the call in flight began.
    pub(super) begun: Instant,
    /// When the next call may begin.
    pub(super) due: Instant,
    /// When a call may begin that only records ends.
    pub(super) settle_due: Instant,
    pub(super) used: Instant,
}

impl Shard {
    pub(super) fn is_idle(&self) -> bool {
        self.flight.is_none() && self.asks.is_empty() && self.settles.is_empty()
    }

    /// When it next needs a tick, if the store is given `patience` to answer.
    pub(super) fn due(&self, patience: time::Duration) -> Instant {
        if self.flight.is_some() {
            self.begun + patience
        } else if !self.asks.is_empty() {
            self.due
        } else if !self.settles.is_empty() {
            self.due.max(self.settle_due)
        } else {
            Instant::NEVER
        }
    }

    /// Puts the calls of a write that is not in force back in line.
    pub(super) fn requeue(&mut self, asks: Vec<Waiting>, settles: Vec<Settle>, may_stand: bool) {
        let again = |waiting: Waiting| Waiting {
            may_stand: waiting.may_stand || may_stand,
            ..waiting
        };
        self.asks.splice(0..0, asks.into_iter().map(again));
        self.settles.splice(0..0, settles);
        self.known = None;
    }

    /// Gives every waiting call up, and frees the claims that may stand.
    pub(super) fn give_up(&mut self) -> Vec<Waiting> {
        let asks = std::mem::take(&mut self.asks);
        for waiting in asks.iter().filter(|waiting| waiting.may_stand) {
            self.settles.push(Settle {
                key: waiting.key.clone(),
                id: waiting.request.id,
                settled: claim::Settled::NotRun,
            });
        }
        asks
    }
}
