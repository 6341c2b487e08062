//! What the attempts at one request may have done.

use crate::forward::routing;

/// How one attempt ended, as far as its runner may have worked on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AttemptOutcome {
    /// Nothing reached the runner.
    NotSent,
    /// The runner proved that it did not run the request.
    Refused,
    /// It may have run, or may still run.
    MayHaveRun,
}

/// What the caller is told when no runner's answer can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExecutionState {
    /// It has not run and will not run: the caller may repeat it.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The attempts at one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptLog {
    /// Runners that were sent the request.
    sent: u32,
    /// Whether an attempt is under way. It counts as one that may have run
    /// until its end proves another thing, so that a request which is given up
    /// in the middle is never told not to have run.
    open: bool,
    /// Whether an attempt that is over may have run.
    may_have_run: bool,
}

impl AttemptLog {
    /// An attempt begins.
    pub fn begin(&mut self) {
        self.sent += 1;
        self.open = true;
    }

    /// The attempt under way is over.
    pub fn settle(&mut self, outcome: AttemptOutcome) {
        if !std::mem::take(&mut self.open) {
            return;
        }
        match outcome {
            AttemptOutcome::NotSent => self.sent -= 1,
            AttemptOutcome::Refused => {}
            AttemptOutcome::MayHaveRun => self.may_have_run = true,
        }
    }

    /// Whether another runner may be sent the request.
    pub fn may_send(&self, route: &routing::Route) -> bool {
        let is_safe =
            self.execution_state() == ExecutionState::NotRun || route.repeat.is_repeatable();
        is_safe && self.sent < route.attempts.max(1)
    }

    /// Runners that were sent the request.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// What the caller may be told.
    pub fn execution_state(&self) -> ExecutionState {
        if self.open || self.may_have_run {
            ExecutionState::Unknown
        } else {
            ExecutionState::NotRun
        }
    }
}
