//! Requests of entries.

use lentil_types::{AttemptId, FailReason, Instant, Outcome, RunnerState};

use crate::{protocol, queue, sidecar};

use super::{
    RecordedAnswer, SidecarPolicy,
    active_attempt::{ActiveAttempt, Stage},
    attempt_records::RecordState,
};

impl SidecarPolicy {
    /// Estimates the cost of an offer here.
    pub fn bid(&self, now: Instant, offer: &protocol::Offer) -> protocol::Bid {
        let cached = self.cache.cached(&offer.work.pieces);
        let cached = self.queue.expected_cached(&offer.work, cached);
        protocol::Bid {
            id: offer.id,
            cached,
            wait: self.queue.expected_wait(now, &offer.work, cached),
            load: self.load(),
        }
    }

    pub(super) fn on_offer(
        &mut self,
        now: Instant,
        link: sidecar::LinkId,
        offer: &protocol::Offer,
    ) {
        let bid = self.bid(now, offer);
        self.commands.push(sidecar::Command::Bid(link, bid));
    }

    pub(super) fn on_dispatch(
        &mut self,
        now: Instant,
        link: sidecar::LinkId,
        dispatch: Box<protocol::Dispatch>,
    ) {
        let id = dispatch.offer.id;
        if dispatch.recover {
            self.recover(now, link, id);
        } else if let Some(attempt) = self.attempts.get(&id) {
            if !attempt.links.contains(&link) {
                self.send_failed(link, id, Outcome::Unknown, FailReason::InProgress);
            }
        } else if let Some(state) = self.records.get(id) {
            let outcome = match state {
                RecordState::Tombstone => Outcome::NotRun,
                RecordState::Ran(_) => Outcome::Unknown,
            };
            self.send_failed(link, id, outcome, FailReason::Withdrawn);
        } else {
            self.admit(now, link, dispatch);
        }
    }

    /// Queues a dispatch that arrived for the first time, or refuses it.
    fn admit(
        &mut self,
        now: Instant,
        link: sidecar::LinkId,
        mut dispatch: Box<protocol::Dispatch>,
    ) {
        let id = dispatch.offer.id;
        let fingerprint = dispatch.fingerprint;
        if let Some(reason) = self.refusal_reason(now, &dispatch) {
            self.refuse(now, link, id, reason);
            return;
        }
        dispatch.isolated |= self.suspects.is_suspect(now, fingerprint);
        let deadline = now + dispatch.offer.budget;
        let job = queue::Job {
            id,
            work: dispatch.offer.work.clone(),
            cached: self.cache.cached(&dispatch.offer.work.pieces),
            arrived: now,
            deadline,
            isolated: dispatch.isolated,
        };
        if let Err(full) = self.queue.push(now, job) {
            self.records.insert(now, id, RecordState::Tombstone);
            let reason = FailReason::Overloaded;
            self.send_failed_with_retry(link, id, Outcome::NotRun, reason, full.retry);
            return;
        }
        let attempt = ActiveAttempt {
            links: vec![link],
            deadline,
            next_offset: dispatch.resume.as_ref().map_or(0, |resume| resume.offset),
            once: dispatch.once,
            fingerprint,
            isolated: dispatch.isolated,
            answer: dispatch.once.then(|| RecordedAnswer::new(self.boot)),
            stage: Stage::Queued(dispatch),
        };
        self.attempts.insert(id, attempt);
    }

    /// Why a dispatch must not run here; `None` if it may.
    pub(super) fn refusal_reason(
        &self,
        now: Instant,
        dispatch: &protocol::Dispatch,
    ) -> Option<FailReason> {
        match self.state {
            RunnerState::Joining => Some(FailReason::NoRunner),
            RunnerState::Leaving | RunnerState::Gone => Some(FailReason::Leaving),
            RunnerState::Live if self.suspects.is_poison(now, dispatch.fingerprint) => {
                Some(FailReason::Poison)
            }
            RunnerState::Live => self.stale_reason(dispatch),
        }
    }

    /// Refuses an attempt and any repeat of it.
    fn refuse(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId, reason: FailReason) {
        self.records.insert(now, id, RecordState::Tombstone);
        self.send_failed(link, id, Outcome::NotRun, reason);
    }

    // -----------------------------------------------------------------------
    // Recovery

    /// Sends the answer of an earlier attempt. One that never arrived is refused
    /// from now on.
    fn recover(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId) {
        if self.attempts.contains(&id) {
            self.attach(link, id);
            return;
        }
        match self.records.get(id) {
            Some(RecordState::Tombstone) => {
                self.send_failed(link, id, Outcome::NotRun, FailReason::Withdrawn);
            }
            Some(RecordState::Ran(Some(answer))) => {
                let answer = answer.clone();
                self.replay(link, id, &answer);
                self.send_end(link, id, answer.pieces.len() as u64, &answer);
            }
            Some(RecordState::Ran(None)) => {
                self.send_failed(link, id, Outcome::Unknown, FailReason::Backend);
            }
            None => {
                let outcome = self.record_unseen(now, id);
                self.send_failed(link, id, outcome, FailReason::Withdrawn);
            }
        }
    }

    /// Prevents an attempt that has no record from ever starting. Returns
    /// [`Outcome::NotRun`] only with proof that it did not start before, under an
    /// earlier process or with a record that was evicted.
    fn record_unseen(&mut self, now: Instant, id: AttemptId) -> Outcome {
        if self.records.covers_proof_window(now) {
            self.records.insert(now, id, RecordState::Tombstone);
            Outcome::NotRun
        } else {
            self.records.insert(now, id, RecordState::Ran(None));
            Outcome::Unknown
        }
    }

    /// Sends another link the answer of an attempt in flight, from the start.
    fn attach(&mut self, link: sidecar::LinkId, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.links.contains(&link) {
            return;
        }
        let Some(answer) = attempt.answer.clone() else {
            self.send_failed(link, id, Outcome::Unknown, FailReason::InProgress);
            return;
        };
        attempt.links.push(link);
        self.replay(link, id, &answer);
    }

    fn replay(&mut self, link: sidecar::LinkId, id: AttemptId, answer: &RecordedAnswer) {
        if let Some(head) = &answer.head {
            let started = protocol::Started {
                id,
                cached: head.cached,
                status: head.status,
                headers: head.headers.clone(),
                load: protocol::Load {
                    boot: answer.boot,
                    ..self.load()
                },
            };
            self.commands.push(sidecar::Command::Started(link, started));
        }
        for (offset, data) in answer.pieces.iter().enumerate() {
            let piece = protocol::Piece {
                id,
                boot: answer.boot,
                offset: offset as u64,
                text: String::new(),
                data: data.clone(),
            };
            self.commands.push(sidecar::Command::Piece(link, piece));
        }
    }

    fn send_end(
        &mut self,
        link: sidecar::LinkId,
        id: AttemptId,
        offset: u64,
        answer: &RecordedAnswer,
    ) {
        let end = protocol::End {
            id,
            boot: answer.boot,
            offset,
            usage: answer.usage,
            load: self.load(),
        };
        self.commands.push(sidecar::Command::End(link, end));
    }

    // -----------------------------------------------------------------------
    // Cancelling and withdrawing

    /// Stops an attempt. A non-idempotent call that has started is finished, so
    /// that its answer can be recovered.
    pub(super) fn on_cancel(&mut self, now: Instant, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if matches!(attempt.stage, Stage::Disconnected { .. }) {
            // Kept because a crash may still be reported for it.
            attempt.links.clear();
            return;
        }
        let (queued, once) = (attempt.is_queued(), attempt.once);
        if queued {
            self.queue.remove(id);
            self.fail(now, id, Outcome::NotRun, FailReason::Cancelled);
        } else if !once {
            self.attempts.remove(&id);
            self.records.insert(now, id, RecordState::Ran(None));
            self.queue.finish(now, id, &protocol::Usage::default());
            self.commands.push(sidecar::Command::Stop(id));
        }
    }

    pub(super) fn on_withdraw(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId) {
        let queued = self.attempts.get(&id).map(ActiveAttempt::is_queued);
        let started = match (queued, self.records.get(id)) {
            (Some(true), _) => {
                self.queue.remove(id);
                self.fail(now, id, Outcome::NotRun, FailReason::Withdrawn);
                false
            }
            (Some(false), _) => true,
            (None, Some(state)) => *state != RecordState::Tombstone,
            (None, None) => self.record_unseen(now, id) != Outcome::NotRun,
        };
        let withdrawn = protocol::Withdrawn { id, started };
        self.commands
            .push(sidecar::Command::Withdrawn(link, withdrawn));
    }

    /// Cancels attempts that have no other link.
    pub(super) fn on_link_lost(&mut self, now: Instant, link: sidecar::LinkId) {
        let mut orphaned = Vec::new();
        for (id, attempt) in self.attempts.iter_mut() {
            let count = attempt.links.len();
            attempt.links.retain(|other| *other != link);
            if attempt.links.is_empty() && count > 0 {
                orphaned.push(*id);
            }
        }
        for id in orphaned {
            self.on_cancel(now, id);
        }
    }
}
