//! At-most-once calls and their claims.

use std::time;

use lentil_types::{AttemptId, FailReason, Instant, Outcome, RequestId, RunnerName};

use crate::{claim, entry, protocol};

use super::{
    EntryPolicy,
    call::{Call, Stage, Target},
};

impl EntryPolicy {
    /// Runs the ledger and acts on its decisions.
    pub(super) fn run_claims(&mut self, now: Instant) {
        let (calls, decisions) = self.ledger.tick(now);
        self.commands
            .extend(calls.into_iter().map(entry::Command::Store));
        for decision in decisions {
            self.on_decision(now, decision);
        }
    }

    fn on_decision(&mut self, now: Instant, decision: claim::Decision) {
        let claim::Decision {
            request: claim_request,
            verdict,
        } = decision;
        let request = claim_request.id.request;
        let call = self.calls.get(&request);
        let stage = call.filter(|call| call.own_id() == claim_request.id);
        let Some(Stage::Claiming { target }) = stage.map(|call| call.stage.clone()) else {
            if verdict == claim::ClaimVerdict::Granted {
                self.ledger.settle(
                    now,
                    &claim_request,
                    claim_request.id,
                    claim::Settled::NotRun,
                );
            }
            return;
        };
        match verdict {
            claim::ClaimVerdict::Granted => self.send_claimed(now, request, target),
            claim::ClaimVerdict::Done(answer) => self.send_recorded(request, answer),
            claim::ClaimVerdict::Held { runner, id, age } => {
                self.on_claim_held(now, request, runner, id, age);
            }
            claim::ClaimVerdict::Unknown => {
                self.finish_failed(request, Outcome::Unknown, FailReason::Disconnected);
            }
            claim::ClaimVerdict::KeyReused => self.refuse_claim(request, FailReason::KeyReused),
            claim::ClaimVerdict::KeyExpired => self.refuse_claim(request, FailReason::KeyExpired),
            claim::ClaimVerdict::KeyInvalid => self.refuse_claim(request, FailReason::BadRequest),
            claim::ClaimVerdict::Full => self.refuse_claim(request, FailReason::Overloaded),
            claim::ClaimVerdict::StoreDown => self.refuse_claim(request, FailReason::StoreDown),
        }
    }

    fn refuse_claim(&mut self, request: RequestId, reason: FailReason) {
        self.finish_failed(request, Outcome::NotRun, reason);
    }

    fn send_claimed(&mut self, now: Instant, request: RequestId, target: Target) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.claim_age = time::Duration::ZERO;
        }
        self.send(now, request, target, false);
    }

    /// Sends the caller the recorded answer.
    fn send_recorded(&mut self, request: RequestId, answer: Option<claim::Answer>) {
        let Some(answer) = answer else {
            self.finish_failed(request, Outcome::Done, FailReason::KeyExpired);
            return;
        };
        let claim::Answer {
            status,
            headers,
            body,
        } = answer;
        self.commands.push(entry::Command::Head {
            request,
            status,
            headers,
        });
        self.commands.push(entry::Command::Emit {
            request,
            offset: 0,
            data: body,
        });
        let usage = protocol::Usage::default();
        self.finish(request, entry::Ending::Whole(usage));
    }

    /// Another attempt holds the claim: waits for its end, or asks its runner for
    /// the answer.
    fn on_claim_held(
        &mut self,
        now: Instant,
        request: RequestId,
        runner: RunnerName,
        id: AttemptId,
        age: time::Duration,
    ) {
        let wait = age < self.settings.recover_after || self.is_followed(id);
        let until = now + self.settings.poll_interval;
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if wait {
            call.stage = Stage::Waiting { until };
            self.dirty.push(request);
            return;
        }
        call.follows = Some(id);
        call.sent_at = now;
        call.claim_age = age;
        call.recovering = true;
        self.followers.insert(id, request);
        self.send(now, request, Target { runner, boot: None }, true);
    }

    /// Lets calls that wait for the key of `ended` read its claim again.
    pub(super) fn wake_waiting(&mut self, ended: &Call) {
        for (request, call) in self.calls.iter_mut() {
            let waits = matches!(call.stage, Stage::Waiting { .. });
            if waits && call.shares_key(ended) {
                call.stage = Stage::Waiting {
                    until: Instant::ZERO,
                };
                self.dirty.push(*request);
            }
        }
    }
}
