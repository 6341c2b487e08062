//! How attempts end, and whether there is another one.

use std::time;

use lentil_types::{Attempt, AttemptId, FailReason, Instant, Outcome, RequestId, RunnerName};

use crate::{claim, entry, poison, protocol, route};

use super::{
    EntryPolicy,
    call::{Call, LastFailure, Stage},
    held::Held,
};

/// Delay of the third attempt; doubles with each further one.
const BACKOFF: time::Duration = time::Duration::from_millis(10);
/// Most doublings of [`BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;
/// How far the clocks of two entries may differ.
const MAX_SKEW: time::Duration = time::Duration::from_secs(30);

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    pub(super) reason: FailReason,
    pub(super) retry: Option<time::Duration>,
}

impl AttemptEnd {
    fn new(outcome: Outcome, reason: FailReason) -> Self {
        Self {
            outcome,
            reason,
            retry: None,
        }
    }

    fn verdict(&self) -> route::AttemptVerdict {
        match self.outcome {
            Outcome::NotRun if self.reason != FailReason::Disconnected => {
                route::AttemptVerdict::Refused
            }
            _ => route::AttemptVerdict::Bad,
        }
    }

    /// Whether the same runner may be asked again.
    fn spares_runner(&self) -> bool {
        matches!(
            self.reason,
            FailReason::StaleBoot | FailReason::BrokenStream
        )
    }
}

impl EntryPolicy {
    pub(super) fn on_disconnected(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        id: AttemptId,
        sent: bool,
    ) {
        let Some(request) = self.current(runner, id) else {
            return;
        };
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let withdrawing = matches!(call.stage, Stage::Withdrawing { .. });
        let recoverable = call.arrival.once && (sent || call.recovering);
        if recoverable && !withdrawing {
            let wait = if call.recovering {
                self.settings.poll_interval
            } else {
                time::Duration::ZERO
            };
            self.recover(request, runner.clone(), now + wait);
            return;
        }
        let outcome = if sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let end = AttemptEnd::new(outcome, FailReason::Disconnected);
        self.end_attempt(now, runner, request, end);
    }

    /// Asks for the answer of a call that may not be sent again.
    fn recover(&mut self, request: RequestId, runner: RunnerName, at: Instant) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.recovering = true;
            call.stage = Stage::Recovering { runner, at };
            self.dirty.push(request);
        }
    }

    /// Takes in the end of an attempt that gave no whole answer: tries again
    /// where that is allowed, otherwise ends the request.
    pub(super) fn end_attempt(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        request: RequestId,
        end: AttemptEnd,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let end = call.trusted(now, end);
        if let Stage::Withdrawing { reason, .. } = call.stage {
            if end.outcome == Outcome::NotRun {
                self.settle_failed(now, runner, request, end.outcome);
            }
            self.finish_failed(request, end.outcome, reason);
            return;
        }
        let work = call.arrival.work.clone();
        let (reason, retry) = (end.reason, end.retry);
        call.last_failure = Some(LastFailure { reason, retry });
        call.may_have_run |= end.outcome == Outcome::Unknown && call.follows.is_none();
        match end.outcome {
            Outcome::NotRun => call.refusals += 1,
            Outcome::Done | Outcome::Unknown => call.failures += 1,
        }
        self.router.on_verdict(now, runner, &work, end.verdict());
        let broken = end.reason == FailReason::BrokenStream;
        if self
            .calls
            .get(&request)
            .is_some_and(|call| call.arrival.once)
            && broken
        {
            self.recover(request, runner.clone(), now + self.settings.poll_interval);
        } else if self.is_poison(now, request, end.reason) {
            self.counters.poisoned += 1;
            self.settle_failed(now, runner, request, end.outcome);
            self.finish_failed(request, end.outcome, FailReason::Poison);
        } else if self.may_retry(now, request, end) {
            self.try_again(now, runner, request, end);
        } else {
            self.settle_failed(now, runner, request, end.outcome);
            self.finish_failed(request, end.outcome, end.reason);
        }
    }

    /// Counts a crash against the request. Whether it may no longer run.
    fn is_poison(&mut self, now: Instant, request: RequestId, reason: FailReason) -> bool {
        let Some(call) = self.calls.get_mut(&request) else {
            return false;
        };
        let fingerprint = call.arrival.fingerprint;
        match reason {
            FailReason::EngineDied => {
                self.suspects.on_crash(now, fingerprint, call.isolated);
                call.isolated = true;
                self.suspects.is_poison(now, fingerprint)
            }
            FailReason::Poison => {
                self.suspects
                    .learn(now, fingerprint, poison::POISON_CRASHES);
                true
            }
            _ => false,
        }
    }

    fn may_retry(&mut self, now: Instant, request: RequestId, end: AttemptEnd) -> bool {
        let Some(call) = self.calls.get(&request) else {
            return false;
        };
        let repeatable = !call.arrival.once || end.outcome == Outcome::NotRun;
        let more = match end.outcome {
            Outcome::NotRun => call.refusals < self.settings.max_refusals,
            Outcome::Done | Outcome::Unknown => call.failures < self.settings.max_attempts,
        };
        let in_bounds = more && now < call.arrival.deadline;
        let restarts = call.held.is_some() || call.arrival.work.model.is_some() || !call.head_sent;
        repeatable && in_bounds && restarts && self.retries.take()
    }

    fn try_again(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        request: RequestId,
        end: AttemptEnd,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !end.spares_runner() {
            call.failed.push(runner.clone());
        }
        call.replaces = Some(call.id());
        let followed = call.follows.take();
        call.attempt = call.attempt.next();
        call.recovering = false;
        call.heard = false;
        let at = now + backoff(call.attempt);
        if let Some(id) = followed {
            self.followers.remove(&id);
        }
        self.counters.retries += 1;
        self.replan(request, at);
    }

    /// Records how a claimed attempt ended.
    pub(super) fn settle_failed(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        request: RequestId,
        outcome: Outcome,
    ) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let Some(claim_request) = call.claim_request(runner) else {
            return;
        };
        let settled = match outcome {
            Outcome::NotRun => claim::Settled::NotRun,
            // Its owner may know more.
            _ if call.follows.is_some() => return,
            _ => claim::Settled::Unknown,
        };
        self.ledger.settle(now, &claim_request, call.id(), settled);
    }

    pub(super) fn on_withdrawn(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        withdrawn: protocol::Withdrawn,
    ) {
        let Some(request) = self.current(runner, withdrawn.id) else {
            return;
        };
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let Stage::Withdrawing { reason, .. } = call.stage else {
            return;
        };
        let proven = !withdrawn.started && call.is_provable(now);
        if proven {
            self.settle_failed(now, runner, request, Outcome::NotRun);
            self.finish_failed(request, Outcome::NotRun, reason);
        } else {
            self.stop(request);
            self.finish_failed(request, Outcome::Unknown, reason);
        }
    }

    /// Tells the runner to stop the attempt.
    pub(super) fn stop(&mut self, request: RequestId) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let id = call.id();
        if let Stage::Running { runner, .. } | Stage::Withdrawing { runner, .. } = &call.stage {
            self.commands
                .push(entry::Command::Cancel(runner.clone(), id));
        }
    }
}

impl Call {
    /// What an end says at this time: a proof counts only while the sidecar
    /// must remember the attempt.
    fn trusted(&self, now: Instant, end: AttemptEnd) -> AttemptEnd {
        let asked_again = self.recovering || self.follows.is_some();
        if end.outcome == Outcome::NotRun && asked_again && !self.is_provable(now) {
            let outcome = Outcome::Unknown;
            return AttemptEnd { outcome, ..end };
        }
        end
    }

    /// Whether the sidecar must still remember the attempt, if it came.
    fn is_provable(&self, now: Instant) -> bool {
        let age = now.since(self.sent_at).saturating_add(self.claim_age);
        let skew = if self.follows.is_some() {
            MAX_SKEW
        } else {
            time::Duration::ZERO
        };
        age.saturating_add(skew) <= protocol::PROOF_WINDOW
    }

    /// Forgets the beginning of an answer that the caller has not seen.
    pub(super) fn restart_held(&mut self) {
        if self.held.is_some() {
            self.held = Some(Held::default());
            self.stream.restart();
        }
    }
}

/// Time before an attempt.
fn backoff(attempt: Attempt) -> time::Duration {
    match attempt.0.checked_sub(3) {
        Some(doublings) => BACKOFF * 2_u32.saturating_pow(doublings.min(MAX_DOUBLINGS)),
        None => time::Duration::ZERO,
    }
}
