//! One request at an entry.

use lentil_types::{Attempt, AttemptId, RunnerName};

use crate::{entry, route};

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Not planned yet.
    New,
    /// Offers are out.
    Asking {
        asked: Vec<RunnerName>,
        bids: Vec<route::RunnerBid>,
        until: lentil_types::Instant,
    },
    /// It is at a runner.
    Running { runner: RunnerName },
}

/// One request at an entry.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) arrival: Box<entry::Arrival>,
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
    pub(super) failed: Vec<RunnerName>,
    pub(super) next_offset: u64,
    pub(super) text: String,
    pub(super) head_sent: bool,
}

impl Call {
    pub(super) fn new(arrival: Box<entry::Arrival>) -> Self {
        Self {
            arrival,
            attempt: Attempt::FIRST,
            stage: Stage::New,
            failed: Vec::new(),
            next_offset: 0,
            text: String::new(),
            head_sent: false,
        }
    }

    pub(super) fn id(&self) -> AttemptId {
        AttemptId {
            request: self.arrival.request,
            attempt: self.attempt,
        }
    }

    /// Whether an answer of `id` from `runner` belongs to the attempt that
    /// runs now.
    pub(super) fn is_current(&self, runner: &RunnerName, id: AttemptId) -> bool {
        let at_runner = matches!(&self.stage, Stage::Running { runner: at } if at == runner);
        at_runner && self.id() == id
    }
}
