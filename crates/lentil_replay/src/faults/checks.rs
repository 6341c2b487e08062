//! Tracks every request of a run and checks the invariants.

use std::{collections::BTreeMap, time};

use lentil_policy::{entry, protocol};
use lentil_types::{AttemptId, FailReason, Fingerprint, Instant, Outcome, RequestId, Table};

use super::{
    Invariant, Violation, backend,
    traffic::{CallerRequest, RequestKind},
};

/// Time after its deadline by which a request must have ended.
const DEADLINE_GRACE: time::Duration = time::Duration::from_secs(1);
/// Time by which all entries and sidecars know of a poison request.
const POISON_PROPAGATION: time::Duration = time::Duration::from_secs(4);

/// A request and what its caller received.
#[derive(Clone, Debug)]
pub(super) struct TrackedRequest {
    pub(super) call: CallerRequest,
    pub(super) request: RequestId,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) ending: Option<entry::Ending>,
    /// Its entry crashed or its caller hung up, so it need not end.
    pub(super) is_abandoned: bool,
    /// Time for which its entry was paused, added to its deadline.
    pub(super) paused_for: time::Duration,
}

impl TrackedRequest {
    /// The text that the caller received before piece `until`.
    fn received(&self, until: u64) -> String {
        let until = usize::try_from(until).unwrap_or(usize::MAX);
        let pieces = self.pieces.get(..until).unwrap_or(&self.pieces);
        String::from_utf8_lossy(&pieces.concat()).into_owned()
    }
}

#[derive(Debug, Default)]
pub(super) struct Checks {
    pub(super) tracked: Vec<TrackedRequest>,
    by_request: Table<RequestId, usize>,
    /// Offset at which each attempt resumed.
    resume_offsets: Table<AttemptId, u64>,
    runs: Table<RequestId, u32>,
    runs_by_key: Table<u64, u32>,
    first_crash: Table<Fingerprint, Instant>,
    known_poison: Table<Fingerprint, Instant>,
    /// Engine crashes that no request caused. One that ran alone there may be
    /// refused as poison.
    pub(super) injected_crashes: u32,
    pub(super) checked: BTreeMap<Invariant, u64>,
    pub(super) violations: Vec<Violation>,
}

impl Checks {
    pub(super) fn track(&mut self, call: CallerRequest, request: RequestId) -> usize {
        let number = self.tracked.len();
        self.by_request.insert(request, number);
        self.tracked.push(TrackedRequest {
            call,
            request,
            pieces: Vec::new(),
            ending: None,
            is_abandoned: false,
            paused_for: time::Duration::ZERO,
        });
        number
    }

    pub(super) fn find(&mut self, request: RequestId) -> Option<&mut TrackedRequest> {
        let number = *self.by_request.get(&request)?;
        self.tracked.get_mut(number)
    }

    pub(super) fn on_run(&mut self, now: Instant, dispatch: &protocol::Dispatch) {
        let request = dispatch.offer.id.request;
        *self.runs.get_or_insert_with(request, || 0) += 1;
        let Some(tracked) = self.find(request).cloned() else {
            return;
        };
        if let RequestKind::Once { key } = tracked.call.kind {
            let runs = self.runs_by_key.get_or_insert_with(key, || 0);
            *runs += 1;
            let runs = *runs;
            self.check(now, Invariant::AtMostOnce, runs <= 1, || {
                format!("key {key} ran {runs} times, now for request {request}")
            });
        }
        let fingerprint = tracked.call.fingerprint();
        if tracked.call.kind == RequestKind::Poison {
            let known = self.known_poison.get(&fingerprint).copied();
            let in_time = known.is_none_or(|known| now <= known + POISON_PROPAGATION);
            self.check(now, Invariant::PoisonRefused, in_time, || {
                format!("{fingerprint} runs, known as poison since {known:?}")
            });
        }
        if let Some(resume) = &dispatch.resume {
            self.resume_offsets.insert(dispatch.offer.id, resume.offset);
            let received = tracked.received(resume.offset);
            self.check(
                now,
                Invariant::ResumesExactly,
                received == resume.text,
                || format!("request {request} got {received:?}, resumes after {resume:?}"),
            );
        }
    }

    /// Records a crash by a poison request. Once the first has propagated, the
    /// second must be the last.
    pub(super) fn on_poison_crash(&mut self, now: Instant, fingerprint: Fingerprint) {
        let first = *self.first_crash.get_or_insert_with(fingerprint, || now);
        if now > first + POISON_PROPAGATION {
            self.known_poison.get_or_insert_with(fingerprint, || now);
        }
    }

    pub(super) fn on_piece(
        &mut self,
        now: Instant,
        request: RequestId,
        offset: u64,
        data: Vec<u8>,
    ) {
        let Some(tracked) = self.find(request) else {
            return;
        };
        let in_order = offset == tracked.pieces.len() as u64;
        tracked.pieces.push(data);
        self.check(now, Invariant::WholeOwnAnswer, in_order, || {
            format!("request {request} got piece {offset} out of order")
        });
    }

    pub(super) fn on_finish(&mut self, now: Instant, request: RequestId, ending: entry::Ending) {
        let Some(tracked) = self.find(request) else {
            return;
        };
        let first = tracked.ending.replace(ending).is_none();
        let limit = tracked.call.at + tracked.call.budget + tracked.paused_for + DEADLINE_GRACE;
        let tracked = tracked.clone();
        self.check(now, Invariant::EndsOnce, first && now <= limit, || {
            format!("request {request} ended again or after {limit}")
        });
        if matches!(ending, entry::Ending::Whole(_)) {
            let whole = self.is_whole(&tracked);
            self.check(now, Invariant::WholeOwnAnswer, whole, || {
                format!(
                    "request {request} got {:?} as whole",
                    tracked.received(u64::MAX)
                )
            });
        }
        self.check_blame(now, &tracked, ending);
    }

    /// Whether a caller received its own answer from the first piece to the
    /// last, each attempt from its resume offset.
    fn is_whole(&self, tracked: &TrackedRequest) -> bool {
        let fingerprint = tracked.call.fingerprint();
        let Some(pieces) = backend::AnswerPiece::parse_all(&tracked.received(u64::MAX)) else {
            return false;
        };
        let is_own = |(offset, piece): (usize, &backend::AnswerPiece)| {
            piece.fingerprint == fingerprint && piece.offset == offset as u64
        };
        let continues = |pair: &[backend::AnswerPiece]| {
            let (request, attempt) = (tracked.request, pair[1].attempt);
            let resume_offsets = self.resume_offsets.get(&AttemptId { request, attempt });
            pair[0].attempt == attempt || resume_offsets == Some(&pair[1].offset)
        };
        pieces.len() as u64 == backend::answer_len(fingerprint)
            && pieces.iter().enumerate().all(is_own)
            && pieces.windows(2).all(continues)
    }

    fn check_blame(&mut self, now: Instant, tracked: &TrackedRequest, ending: entry::Ending) {
        let refused = matches!(
            ending,
            entry::Ending::Failed { reason, .. } if reason == FailReason::Poison
        );
        // Two unrelated crashes look like poison, so runs with any are not checked.
        if tracked.call.kind == RequestKind::Poison || self.injected_crashes > 0 {
            return;
        }
        let request = tracked.request;
        self.check(now, Invariant::InnocentsSpared, !refused, || {
            format!("request {request} is blamed for a crash")
        });
    }

    /// Checks what can be decided only at the end of a run.
    pub(super) fn check_at_end(&mut self, now: Instant) {
        for tracked in self.tracked.clone() {
            let request = tracked.request;
            let ended = tracked.ending.is_some() || tracked.is_abandoned;
            self.check(now, Invariant::EndsOnce, ended, || {
                format!("request {request} never ended")
            });
            let not_run = matches!(
                tracked.ending,
                Some(entry::Ending::Failed { outcome, .. }) if outcome == Outcome::NotRun
            );
            if not_run {
                let runs = self.runs.get(&request).copied().unwrap_or(0);
                self.check(now, Invariant::HonestNotRun, runs == 0, || {
                    format!("request {request} was told not-run and ran {runs} times")
                });
            }
        }
    }

    pub(super) fn check(
        &mut self,
        at: Instant,
        invariant: Invariant,
        holds: bool,
        detail: impl FnOnce() -> String,
    ) {
        *self.checked.entry(invariant).or_insert(0) += 1;
        if !holds {
            let detail = detail();
            self.violations.push(Violation {
                at,
                invariant,
                detail,
            });
        }
    }
}
