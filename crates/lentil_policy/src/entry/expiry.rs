//! Deadlines and timers of requests.

use lentil_types::{FailReason, Instant, Outcome, RequestId};

use crate::{entry, protocol};

use super::{
    EntryPolicy,
    call::{Call, Stage},
};

impl EntryPolicy {
    /// Ends requests past their deadline and wakes those that are due.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_due = |(request, call): (&RequestId, &Call)| (call.due() <= now).then_some(*request);
        let due: Vec<_> = self.calls.iter().filter_map(is_due).collect();
        for request in due {
            let is_late = |call: &Call| call.arrival.deadline <= now;
            if self.calls.get(&request).is_some_and(is_late) {
                self.expire_one(now, request);
            } else {
                self.dirty.push(request);
            }
        }
    }

    fn expire_one(&mut self, now: Instant, request: RequestId) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        let id = call.own_id();
        match &call.stage {
            Stage::New { .. } | Stage::Asking { .. } => {
                self.finish_failed(request, Outcome::NotRun, FailReason::Deadline);
            }
            Stage::Claiming { .. } => {
                self.ledger.abandon(id);
                self.finish_failed(request, Outcome::NotRun, FailReason::Deadline);
            }
            Stage::Waiting { .. } => {
                self.finish_failed(request, Outcome::Unknown, FailReason::InProgress);
            }
            Stage::Recovering { .. } => {
                self.finish_failed(request, Outcome::Unknown, FailReason::Deadline);
            }
            Stage::Running { .. } if self.may_withdraw(now, request) => self.withdraw(now, request),
            Stage::Running { .. } | Stage::Withdrawing { .. } => {
                self.cancel_attempt(request);
                self.finish_failed(request, Outcome::Unknown, FailReason::Deadline);
            }
        }
    }

    /// Whether the runner may be able to prove that the request never started.
    fn may_withdraw(&self, now: Instant, request: RequestId) -> bool {
        let Some(call) = self.calls.get(&request) else {
            return false;
        };
        let Stage::Running { since, .. } = call.stage else {
            return false;
        };
        let unanswered = !call.may_have_run && !call.recovering && !call.answer_began;
        unanswered && now.since(since) <= protocol::PROOF_WINDOW
    }

    /// Asks the runner for that proof.
    fn withdraw(&mut self, now: Instant, request: RequestId) {
        let until = now + self.settings.withdraw_wait;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let id = call.id();
        let Stage::Running { runner, .. } = &call.stage else {
            return;
        };
        let runner = runner.clone();
        call.stage = Stage::Withdrawing {
            runner: runner.clone(),
            reason: FailReason::Deadline,
            until,
        };
        self.commands.push(entry::Command::Withdraw(runner, id));
    }
}
