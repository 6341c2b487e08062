//! Routes a request to a runner and sends it there.

use std::time;

use lentil_types::{AttemptId, FailReason, Instant, Outcome, RequestId, RunnerName};
use rand::RngExt as _;

use crate::{entry, protocol, route};

use super::{
    EntryPolicy,
    call::{Call, Stage, Target},
};

/// Mean delay before runners that failed a request are tried again.
const FAILED_RUNNER_DELAY: time::Duration = time::Duration::from_millis(50);
/// Share of [`FAILED_RUNNER_DELAY`] by which requests differ, so that those that
/// failed together are not retried together.
const JITTER: f64 = 0.5;

impl EntryPolicy {
    pub(super) fn advance(&mut self, now: Instant, request: RequestId, rng: &mut dyn rand::Rng) {
        let Some(call) = self.calls.get(&request) else {
            return;
        };
        match &call.stage {
            Stage::New { not_before } if *not_before <= now => {
                let offer = Self::offer_of(now, call);
                let plan = self
                    .routing
                    .plan(now, &offer.work, &call.failed_runners, rng);
                self.apply_plan(now, &offer, plan, rng);
            }
            Stage::Asking { asked, bids, until } if bids.len() == asked.len() || *until <= now => {
                let offer = Self::offer_of(now, call);
                match self.routing.choose(now, &offer, asked, bids) {
                    route::Choice::Runner { name, boot } => {
                        self.claim_or_send(now, request, name, boot);
                    }
                    route::Choice::Refuse { retry } => self.on_no_runner(now, request, retry, rng),
                }
            }
            Stage::Waiting { until } if *until <= now => {
                self.replan(request, now);
            }
            Stage::Recovering { runner, not_before } if *not_before <= now => {
                let runner = runner.clone();
                self.send(now, request, Target { runner, boot: None }, true);
            }
            _ => {}
        }
    }

    /// Routes a request again, no earlier than `not_before`.
    pub(super) fn replan(&mut self, request: RequestId, not_before: Instant) {
        if let Some(call) = self.calls.get_mut(&request) {
            call.stage = Stage::New { not_before };
            self.dirty.push(request);
        }
    }

    fn apply_plan(
        &mut self,
        now: Instant,
        offer: &protocol::Offer,
        plan: route::Plan,
        rng: &mut dyn rand::Rng,
    ) {
        let request = offer.id.request;
        match plan {
            route::Plan::Direct { name, boot } => self.claim_or_send(now, request, name, boot),
            route::Plan::Ask(asked) => {
                for runner in &asked {
                    self.commands
                        .push(entry::Command::Offer(runner.clone(), offer.clone()));
                }
                let until = now + self.settings.bid_wait;
                if let Some(call) = self.calls.get_mut(&request) {
                    call.stage = Stage::Asking {
                        asked,
                        bids: Vec::new(),
                        until,
                    };
                }
            }
            route::Plan::Refuse { retry } => self.on_no_runner(now, request, retry, rng),
        }
    }

    /// Records a bid if the attempt is still collecting bids.
    pub(super) fn on_bid(&mut self, now: Instant, bid: route::RunnerBid) {
        self.routing.on_load(now, &bid.runner, &bid.bid.load);
        let id = bid.bid.id;
        let Some(call) = self.calls.get_mut(&id.request) else {
            return;
        };
        if call.id() != id {
            return;
        }
        let Stage::Asking { asked, bids, .. } = &mut call.stage else {
            return;
        };
        let known = bids.iter().any(|other| other.runner == bid.runner);
        if asked.contains(&bid.runner) && !known {
            bids.push(bid);
            self.dirty.push(id.request);
        }
    }

    /// Sends a request to its runner, or requests the claim that it needs first.
    fn claim_or_send(
        &mut self,
        now: Instant,
        request: RequestId,
        runner: RunnerName,
        boot: Option<lentil_types::BootId>,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let claim_request = call.claim_request(&runner);
        let target = Target { runner, boot };
        match claim_request {
            Some(claim_request) => {
                call.stage = Stage::Claiming { target };
                self.ledger.request(now, claim_request);
            }
            None => self.send(now, request, target, false),
        }
    }

    /// Sends a request to its runner. `recover`: it was sent before, and only its
    /// answer is wanted.
    pub(super) fn send(&mut self, now: Instant, request: RequestId, target: Target, recover: bool) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        let Target { runner, boot } = target;
        call.stage = Stage::Running {
            runner: runner.clone(),
            since: now,
        };
        if !recover {
            call.sent_at = now;
        }
        call.isolated |= self.suspects.is_suspect(now, call.arrival.fingerprint);
        call.answer_began = false;
        call.restart_buffered();
        call.stream.begin_attempt(boot);
        self.routing.on_dispatch(now, &runner, &call.arrival.work);
        let dispatch = dispatch_of(now, call, boot, recover);
        self.commands
            .push(entry::Command::Dispatch(runner, Box::new(dispatch)));
    }

    /// No runner could take a request. Those that failed it are tried again, once
    /// for each attempt.
    fn on_no_runner(
        &mut self,
        now: Instant,
        request: RequestId,
        retry: time::Duration,
        rng: &mut dyn rand::Rng,
    ) {
        let Some(call) = self.calls.get_mut(&request) else {
            return;
        };
        if !call.failed_runners.is_empty() {
            call.failed_runners.clear();
            let share = rng.random_range(1.0 - JITTER..1.0 + JITTER);
            self.replan(request, now + FAILED_RUNNER_DELAY.mul_f64(share));
            return;
        }
        let last = call.last_failure;
        let reason = last.map_or(FailReason::NoRunner, |last| last.reason);
        let ending = entry::Ending::Failed {
            outcome: call.final_outcome(Outcome::NotRun),
            reason,
            retry: Some(retry),
        };
        self.finish(request, ending);
    }

    /// Whether another request here waits for the answer of this attempt.
    pub(super) fn is_followed(&self, id: AttemptId) -> bool {
        self.followers.contains(&id)
            || self
                .calls
                .get(&id.request)
                .is_some_and(|call| call.own_id() == id)
    }
}

fn dispatch_of(
    now: Instant,
    call: &Call,
    boot: Option<lentil_types::BootId>,
    recover: bool,
) -> protocol::Dispatch {
    protocol::Dispatch {
        offer: EntryPolicy::offer_of(now, call),
        boot,
        call: call.arrival.call.clone(),
        resume: call.stream.resume(),
        once: call.arrival.once,
        key: call.arrival.key.clone(),
        fingerprint: call.arrival.fingerprint,
        isolated: call.isolated,
        recover,
    }
}
