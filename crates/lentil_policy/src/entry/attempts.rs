//! Ends attempts and decides whether to retry them.

use std::time;

use lentil_types::{Attempt, AttemptId, FailReason, Instant, Outcome, RequestId, RunnerName};

use crate::{claim, entry, poison, protocol, route};

use super::{
    EntryPolicy,
    buffered::BufferedAnswer,
    call::{Call, LastFailure, Stage},
};

/// Delay of the third attempt; doubles with each further one.
const BACKOFF: time::Duration = time::Duration::from_millis(10);
/// Most doublings of [`BACKOFF`].
const MAX_DOUBLINGS: u32 = 6;
/// Largest clock difference that is assumed between two entries.
const MAX_ENTRY_SKEW: time::Duration = time::Duration::from_secs(30);

/// The end of an attempt that gave no whole answer.
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

    /// Whether the next attempt may go to the same runner.
    fn may_reuse_runner(&self) -> bool {
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

    /// Asks for the answer of an at-most-once call instead of sending it again.
    fn recover(&mut self, request: RequestId, runner: RunnerName, not_before: Instant) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.recovering = true;
            call.stage = Stage::Recovering { runner, not_before };
            self.dirty.push(request);
        }
    }

    /// Handles an attempt without a whole answer: retries it if allowed, otherwise
    /// ends the request.
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
        let end = call.without_stale_proof(now, end);
        if let Stage::Withdrawing { reason, .. } = call.stage {
            if end.outcome == Outcome::NotRun {
                self.settle_claim(now, runner, request, end.outcome);
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
        self.routing.on_verdict(now, runner, &work, end.verdict());
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
            self.settle_claim(now, runner, request, end.outcome);
            self.finish_failed(request, end.outcome, FailReason::Poison);
        } else if self.may_retry(now, request, end) {
            self.try_again(now, runner, request, end);
        } else {
            self.settle_claim(now, runner, request, end.outcome);
            self.finish_failed(request, end.outcome, end.reason);
        }
    }

    /// Counts a crash against the request. Returns whether it must not run again.
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
        let restarts =
            call.buffered.is_some() || call.arrival.work.model.is_some() || !call.head_sent;
        repeatable && in_bounds && restarts && self.retries.try_take()
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
        if !end.may_reuse_runner() {
            call.failed_runners.push(runner.clone());
        }
        call.replaces = Some(call.id());
        let followed = call.follows.take();
        call.attempt = call.attempt.next();
        call.recovering = false;
        call.answer_began = false;
        let not_before = now + backoff(call.attempt);
        if let Some(id) = followed {
            self.followers.remove(&id);
        }
        self.counters.retries += 1;
        self.replan(request, not_before);
    }

    /// Records how a claimed attempt ended.
    pub(super) fn settle_claim(
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
            // The entry that owns the claim may know more.
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
        let proven = !withdrawn.started && call.is_remembered(now);
        if proven {
            self.settle_claim(now, runner, request, Outcome::NotRun);
            self.finish_failed(request, Outcome::NotRun, reason);
        } else {
            self.cancel_attempt(request);
            self.finish_failed(request, Outcome::Unknown, reason);
        }
    }

    pub(super) fn cancel_attempt(&mut self, request: RequestId) {
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
    /// Turns "not run" into "unknown" if the sidecar may have evicted its record of
    /// an attempt that was sent before.
    fn without_stale_proof(&self, now: Instant, end: AttemptEnd) -> AttemptEnd {
        let asked_again = self.recovering || self.follows.is_some();
        if end.outcome == Outcome::NotRun && asked_again && !self.is_remembered(now) {
            let outcome = Outcome::Unknown;
            return AttemptEnd { outcome, ..end };
        }
        end
    }

    /// Whether the sidecar must still have a record of the attempt, if it arrived.
    fn is_remembered(&self, now: Instant) -> bool {
        let age = now.since(self.sent_at).saturating_add(self.claim_age);
        let skew = if self.follows.is_some() {
            MAX_ENTRY_SKEW
        } else {
            time::Duration::ZERO
        };
        age.saturating_add(skew) <= protocol::PROOF_WINDOW
    }

    /// Discards a buffered answer, which the caller has not seen.
    pub(super) fn restart_buffered(&mut self) {
        if self.buffered.is_some() {
            self.buffered = Some(BufferedAnswer::default());
            self.stream.restart();
        }
    }
}

fn backoff(attempt: Attempt) -> time::Duration {
    match attempt.0.checked_sub(3) {
        Some(doublings) => BACKOFF * 2_u32.saturating_pow(doublings.min(MAX_DOUBLINGS)),
        None => time::Duration::ZERO,
    }
}
