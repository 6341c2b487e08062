//! What the attempts at one request may have executed.

use crate::forward::routing;

/// How an attempt ended, as far as its runner may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// Nothing reached the runner.
    NotSent,
    /// The runner proved that it did not execute the request.
    Refused,
    /// It may have run, or may still run.
    MayHaveRun,
}

/// What is known of a request's execution when there is no answer for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionState {
    /// It has not run and will not run: the caller may repeat it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Whether an answer belongs to the request that was sent last on its connection.
/// `sent` and `named`: the ids of the request and in the answer. `is_first`: no request
/// was sent on the connection before.
///
/// A faulty runner may write an answer once more where the next one is expected. Runners
/// name the id of the request in all their answers, so that one without an id proves
/// nothing where it may be such an answer.
pub fn is_own_answer(sent: Option<&[u8]>, named: Option<&[u8]>, is_first: bool) -> bool {
    match (sent, named) {
        (Some(sent), Some(named)) => sent == named,
        _ => is_first,
    }
}

/// Whether an answer whose bytes have ended is whole. `shows_end`: its length or chunks
/// show its end. `is_written`: the whole request was written without an error before.
///
/// Otherwise the end of the connection is the only sign. A reset is reported once for a
/// socket: if a write meets it, the reads after it end as if the runner had closed.
pub fn is_whole_at_end(shows_end: bool, is_written: bool) -> bool {
    shows_end || is_written
}

/// The attempts at one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLog {
    /// Runners that were sent the request.
    sent: u32,
    /// Whether an attempt is in flight. It counts as one that may have run until its
    /// outcome proves otherwise, so that a request abandoned in the middle is never
    /// reported as not run.
    in_flight: bool,
    /// Whether a settled attempt may have run.
    may_have_run: bool,
}

impl AttemptLog {
    /// Starts an attempt.
    pub fn begin(&mut self) {
        self.sent += 1;
        self.in_flight = true;
    }

    /// Records the outcome of the attempt in flight.
    pub fn settle(&mut self, outcome: AttemptOutcome) {
        if !std::mem::take(&mut self.in_flight) {
            return;
        }
        match outcome {
            AttemptOutcome::NotSent => self.sent -= 1,
            AttemptOutcome::Refused => {}
            AttemptOutcome::MayHaveRun => self.may_have_run = true,
        }
    }

    /// Whether another attempt is allowed.
    pub fn may_send(&self, route: &routing::Route) -> bool {
        let is_safe =
            self.execution_state() == ExecutionState::NotRun || route.repeat.is_repeatable();
        is_safe && self.sent < route.attempts.max(1)
    }

    /// Runners that were sent the request.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the request may have run.
    pub fn execution_state(&self) -> ExecutionState {
        if self.in_flight || self.may_have_run {
            ExecutionState::Unknown
        } else {
            ExecutionState::NotRun
        }
    }
}
