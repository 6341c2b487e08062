//! What entries ask of a sidecar.

use lentil_types::{AttemptId, FailReason, Instant, Outcome, RunnerState};

use crate::{protocol, queue, sidecar};

use super::{
    Answered, SidecarPolicy,
    memory::Mark,
    run::{Run, Stage},
};

impl SidecarPolicy {
    /// What an offer would cost here.
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
        } else if let Some(run) = self.runs.get(&id) {
            if !run.links.contains(&link) {
                self.tell_failed(link, id, Outcome::Unknown, FailReason::InProgress);
            }
        } else if let Some(mark) = self.memory.get(id) {
            let outcome = match mark {
                Mark::Tombstone => Outcome::NotRun,
                Mark::Ran(_) => Outcome::Unknown,
            };
            self.tell_failed(link, id, outcome, FailReason::Withdrawn);
        } else {
            self.admit(now, link, dispatch);
        }
    }

    /// Queues a dispatch that came for the first time, or refuses it.
    fn admit(
        &mut self,
        now: Instant,
        link: sidecar::LinkId,
        mut dispatch: Box<protocol::Dispatch>,
    ) {
        let id = dispatch.offer.id;
        let fingerprint = dispatch.fingerprint;
        if let Some(reason) = self.refusal(now, &dispatch) {
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
            self.memory.insert(now, id, Mark::Tombstone);
            let reason = FailReason::Overloaded;
            self.tell_failed_until(link, id, Outcome::NotRun, reason, full.retry);
            return;
        }
        let run = Run {
            links: vec![link],
            deadline,
            next_offset: dispatch.resume.as_ref().map_or(0, |resume| resume.offset),
            once: dispatch.once,
            fingerprint,
            isolated: dispatch.isolated,
            answer: dispatch.once.then(|| Answered::new(self.boot)),
            stage: Stage::Queued(dispatch),
        };
        self.runs.insert(id, run);
    }

    /// Why a dispatch may not run here, if it may not.
    pub(super) fn refusal(
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
            RunnerState::Live => self.staleness(dispatch),
        }
    }

    /// Refuses an attempt for good: it may not come again.
    fn refuse(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId, reason: FailReason) {
        self.memory.insert(now, id, Mark::Tombstone);
        self.tell_failed(link, id, Outcome::NotRun, reason);
    }

    // -----------------------------------------------------------------------
    // Recovery

    /// Gives the answer of an attempt that was sent before. One that never came
    /// is refused from now on.
    fn recover(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId) {
        if self.runs.contains(&id) {
            self.attach(link, id);
            return;
        }
        match self.memory.get(id) {
            Some(Mark::Tombstone) => {
                self.tell_failed(link, id, Outcome::NotRun, FailReason::Withdrawn);
            }
            Some(Mark::Ran(Some(answer))) => {
                let answer = answer.clone();
                self.replay(link, id, &answer);
                self.tell_end(link, id, answer.pieces.len() as u64, &answer);
            }
            Some(Mark::Ran(None)) => {
                self.tell_failed(link, id, Outcome::Unknown, FailReason::Backend);
            }
            None => {
                let outcome = self.bury(now, id);
                self.tell_failed(link, id, outcome, FailReason::Withdrawn);
            }
        }
    }

    /// Makes sure that an attempt that never came never starts. Whether it is
    /// proven that it did not start before this process was up.
    fn bury(&mut self, now: Instant, id: AttemptId) -> Outcome {
        if self.memory.covers_window(now) {
            self.memory.insert(now, id, Mark::Tombstone);
            Outcome::NotRun
        } else {
            self.memory.insert(now, id, Mark::Ran(None));
            Outcome::Unknown
        }
    }

    /// Gives another link the answer of an attempt under way, from its
    /// beginning.
    fn attach(&mut self, link: sidecar::LinkId, id: AttemptId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.links.contains(&link) {
            return;
        }
        let Some(answer) = run.answer.clone() else {
            self.tell_failed(link, id, Outcome::Unknown, FailReason::InProgress);
            return;
        };
        run.links.push(link);
        self.replay(link, id, &answer);
    }

    fn replay(&mut self, link: sidecar::LinkId, id: AttemptId, answer: &Answered) {
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

    fn tell_end(&mut self, link: sidecar::LinkId, id: AttemptId, offset: u64, answer: &Answered) {
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
    // Stopping

    /// Stops an attempt. A call that may not be repeated and has started is
    /// finished, so that its answer can be had.
    pub(super) fn on_cancel(&mut self, now: Instant, id: AttemptId) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if matches!(run.stage, Stage::Broken { .. }) {
            // Nobody waits for it, but whether its engine died is not known yet.
            run.links.clear();
            return;
        }
        let (queued, once) = (run.is_queued(), run.once);
        if queued {
            self.queue.remove(id);
            self.fail(now, id, Outcome::NotRun, FailReason::Cancelled);
        } else if !once {
            self.runs.remove(&id);
            self.memory.insert(now, id, Mark::Ran(None));
            self.queue.finish(now, id, &protocol::Usage::default());
            self.commands.push(sidecar::Command::Stop(id));
        }
    }

    pub(super) fn on_withdraw(&mut self, now: Instant, link: sidecar::LinkId, id: AttemptId) {
        let queued = self.runs.get(&id).map(Run::is_queued);
        let started = match (queued, self.memory.get(id)) {
            (Some(true), _) => {
                self.queue.remove(id);
                self.fail(now, id, Outcome::NotRun, FailReason::Withdrawn);
                false
            }
            (Some(false), _) => true,
            (None, Some(mark)) => *mark != Mark::Tombstone,
            (None, None) => self.bury(now, id) != Outcome::NotRun,
        };
        let withdrawn = protocol::Withdrawn { id, started };
        self.commands
            .push(sidecar::Command::Withdrawn(link, withdrawn));
    }

    /// An entry is gone. Work that nobody waits for is stopped.
    pub(super) fn on_link_lost(&mut self, now: Instant, link: sidecar::LinkId) {
        let mut alone = Vec::new();
        for (id, run) in self.runs.iter_mut() {
            let before = run.links.len();
            run.links.retain(|other| *other != link);
            if run.links.is_empty() && before > 0 {
                alone.push(*id);
            }
        }
        for id in alone {
            self.on_cancel(now, id);
        }
    }
}
