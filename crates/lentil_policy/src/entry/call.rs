//! One request at an entry.

use std::time;

use lentil_types::{Attempt, AttemptId, BootId, FailReason, Instant, Outcome, RunnerName};

use crate::{claim, entry, route};

use super::{held::Held, stream::Stream};

/// A runner and the engine's life that its bid named.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Target {
    pub(super) runner: RunnerName,
    pub(super) boot: Option<BootId>,
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Not planned yet, or planned again from `at` on.
    New { at: Instant },
    /// Offers are out.
    Asking {
        asked: Vec<RunnerName>,
        bids: Vec<route::RunnerBid>,
        until: Instant,
    },
    /// Its claim is being committed. It was not sent.
    Claiming { target: Target },
    /// Another call with its key goes on; looked at again at `until`.
    Waiting { until: Instant },
    /// The exchange broke off; its answer is asked for at `at`.
    Recovering { runner: RunnerName, at: Instant },
    /// It is at a runner.
    Running { runner: RunnerName, since: Instant },
    /// Its runner was asked for proof that it never started.
    Withdrawing {
        runner: RunnerName,
        reason: FailReason,
        until: Instant,
    },
}

/// How the last attempt failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastFailure {
    pub(super) reason: FailReason,
    pub(super) retry: Option<time::Duration>,
}

/// One request at an entry.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) arrival: Box<entry::Arrival>,
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
    /// Attempts that were refused.
    pub(super) refusals: u32,
    /// Attempts that may have run and gave no whole answer.
    pub(super) failures: u32,
    /// Runners that failed it.
    pub(super) failed: Vec<RunnerName>,
    pub(super) last_failure: Option<LastFailure>,
    /// Whether an attempt may have run, in whole or in part.
    pub(super) may_have_run: bool,
    /// Whether it runs with no other request beside it.
    pub(super) isolated: bool,
    /// The attempt of another call with the same key whose answer it gets.
    pub(super) follows: Option<AttemptId>,
    /// The attempt that there is proof never ran, and whose claim a new one
    /// replaces.
    pub(super) replaces: Option<AttemptId>,
    /// How old the claim was whose attempt this call follows, at `sent_at`.
    pub(super) claim_age: time::Duration,
    /// When the attempt was first sent.
    pub(super) sent_at: Instant,
    /// Whether the attempt was sent before and only its answer is wanted.
    pub(super) recovering: bool,
    /// Whether the attempt's answer has begun.
    pub(super) heard: bool,
    pub(super) stream: Stream,
    pub(super) held: Option<Held>,
    pub(super) head_sent: bool,
}

impl Call {
    pub(super) fn new(arrival: Box<entry::Arrival>) -> Self {
        let held = arrival.work.model.is_none().then(Held::default);
        Self {
            arrival,
            attempt: Attempt::FIRST,
            stage: Stage::New { at: Instant::ZERO },
            refusals: 0,
            failures: 0,
            failed: Vec::new(),
            last_failure: None,
            may_have_run: false,
            isolated: false,
            follows: None,
            replaces: None,
            claim_age: time::Duration::ZERO,
            sent_at: Instant::ZERO,
            recovering: false,
            heard: false,
            stream: Stream::default(),
            held,
            head_sent: false,
        }
    }

    /// This call's own attempt.
    pub(super) fn own_id(&self) -> AttemptId {
        AttemptId {
            request: self.arrival.request,
            attempt: self.attempt,
        }
    }

    /// The attempt whose answers count.
    pub(super) fn id(&self) -> AttemptId {
        self.follows.unwrap_or(self.own_id())
    }

    /// The claim that its own attempt needs at `runner`; `None` when it needs
    /// none.
    pub(super) fn claim_request(&self, runner: &RunnerName) -> Option<claim::ClaimRequest> {
        let key = self.arrival.key.clone().filter(|_| self.arrival.once)?;
        let work = &self.arrival.work;
        Some(claim::ClaimRequest {
            id: self.own_id(),
            service: work.service.clone(),
            team: work.team.clone(),
            key,
            digest: claim::ClaimRequest::digest_of(&self.arrival.call),
            runner: runner.clone(),
            replaces: self.replaces,
        })
    }

    /// Whether both calls have the same key of the same team and service.
    pub(super) fn shares_key(&self, other: &Self) -> bool {
        let (work, others) = (&self.arrival.work, &other.arrival.work);
        self.arrival.once
            && other.arrival.once
            && self.arrival.key == other.arrival.key
            && work.team == others.team
            && work.service == others.service
    }

    /// Whether an answer of `id` from `runner` belongs to the attempt that
    /// runs now.
    pub(super) fn is_current(&self, runner: &RunnerName, id: AttemptId) -> bool {
        let at_runner = match &self.stage {
            Stage::Running { runner: at, .. } | Stage::Withdrawing { runner: at, .. } => {
                at == runner
            }
            _ => false,
        };
        at_runner && self.id() == id
    }

    /// What the caller is told when the request ends without an answer after
    /// an attempt that came to `outcome`.
    pub(super) fn final_outcome(&self, outcome: Outcome) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            outcome
        }
    }

    /// When it is due without an event.
    pub(super) fn due(&self) -> Instant {
        let deadline = self.arrival.deadline;
        match &self.stage {
            Stage::New { at } | Stage::Recovering { at, .. } => deadline.min(*at),
            Stage::Asking { until, .. } | Stage::Waiting { until } => deadline.min(*until),
            Stage::Claiming { .. } | Stage::Running { .. } => deadline,
            Stage::Withdrawing { until, .. } => *until,
        }
    }
}
