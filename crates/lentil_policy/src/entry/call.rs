//! State of one request at an entry.

use std::time;

use lentil_types::{Attempt, AttemptId, BootId, FailReason, Instant, Outcome, RunnerName};

use crate::{claim, entry, route};

use super::{buffered::BufferedAnswer, stream::Stream};

/// A runner and the engine boot that its bid named. `None` accepts any boot.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Target {
    pub(super) runner: RunnerName,
    pub(super) boot: Option<BootId>,
}

/// Stage of a request at its entry.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// To be routed, no earlier than `not_before`.
    New { not_before: Instant },
    /// Offers were sent.
    Asking {
        asked: Vec<RunnerName>,
        bids: Vec<route::RunnerBid>,
        until: Instant,
    },
    /// Its claim is being committed; it was not sent.
    Claiming { target: Target },
    /// Another call with its key is in flight; checked again at `until`.
    Waiting { until: Instant },
    /// The exchange broke off; its answer is to be asked for.
    Recovering {
        runner: RunnerName,
        not_before: Instant,
    },
    /// Sent to a runner.
    Running { runner: RunnerName, since: Instant },
    /// The runner was asked to prove that the request never started.
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

/// A request in flight at an entry.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) arrival: Box<entry::Arrival>,
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
    /// Attempts proven not run.
    pub(super) refusals: u32,
    /// Attempts that may have run but gave no whole answer.
    pub(super) failures: u32,
    /// Runners that routing excludes.
    pub(super) failed_runners: Vec<RunnerName>,
    pub(super) last_failure: Option<LastFailure>,
    /// Whether an attempt may have run at least in part.
    pub(super) may_have_run: bool,
    /// Whether it must run with no other request beside it.
    pub(super) isolated: bool,
    /// The attempt of another call with the same key whose answer it gets.
    pub(super) follows: Option<AttemptId>,
    /// The attempt, proven not run, whose claim the next one replaces.
    pub(super) replaces: Option<AttemptId>,
    /// Age, at `sent_at`, of the claim whose attempt this call follows.
    pub(super) claim_age: time::Duration,
    /// When the attempt was first sent.
    pub(super) sent_at: Instant,
    /// Whether the attempt was sent before and only its answer is wanted.
    pub(super) recovering: bool,
    pub(super) answer_began: bool,
    pub(super) stream: Stream,
    pub(super) buffered: Option<BufferedAnswer>,
    pub(super) head_sent: bool,
}

impl Call {
    pub(super) fn new(arrival: Box<entry::Arrival>) -> Self {
        let buffered = arrival.work.model.is_none().then(BufferedAnswer::default);
        Self {
            arrival,
            attempt: Attempt::FIRST,
            stage: Stage::New {
                not_before: Instant::ZERO,
            },
            refusals: 0,
            failures: 0,
            failed_runners: Vec::new(),
            last_failure: None,
            may_have_run: false,
            isolated: false,
            follows: None,
            replaces: None,
            claim_age: time::Duration::ZERO,
            sent_at: Instant::ZERO,
            recovering: false,
            answer_began: false,
            stream: Stream::default(),
            buffered,
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

    /// The attempt whose answers are accepted.
    pub(super) fn id(&self) -> AttemptId {
        self.follows.unwrap_or(self.own_id())
    }

    /// The claim that its own attempt needs at `runner`; `None` if the call may be
    /// repeated.
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

    /// Whether both calls have the same team, service and key.
    pub(super) fn shares_key(&self, other: &Self) -> bool {
        let (work, others) = (&self.arrival.work, &other.arrival.work);
        self.arrival.once
            && other.arrival.once
            && self.arrival.key == other.arrival.key
            && work.team == others.team
            && work.service == others.service
    }

    /// Whether an answer to `id` from `runner` belongs to the current attempt.
    pub(super) fn is_current(&self, runner: &RunnerName, id: AttemptId) -> bool {
        let at_runner = match &self.stage {
            Stage::Running {
                runner: current, ..
            }
            | Stage::Withdrawing {
                runner: current, ..
            } => current == runner,
            _ => false,
        };
        at_runner && self.id() == id
    }

    /// The outcome for the caller if the last attempt ended with `outcome`.
    pub(super) fn final_outcome(&self, outcome: Outcome) -> Outcome {
        if self.may_have_run {
            Outcome::Unknown
        } else {
            outcome
        }
    }

    /// When it needs a tick without an event.
    pub(super) fn due(&self) -> Instant {
        let deadline = self.arrival.deadline;
        match &self.stage {
            Stage::New { not_before } | Stage::Recovering { not_before, .. } => {
                deadline.min(*not_before)
            }
            Stage::Asking { until, .. } | Stage::Waiting { until } => deadline.min(*until),
            Stage::Claiming { .. } | Stage::Running { .. } => deadline,
            Stage::Withdrawing { until, .. } => *until,
        }
    }
}
