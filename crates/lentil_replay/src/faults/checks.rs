//! What is known of every request of a run, and whether promises were kept.

use std::{collections::BTreeMap, time};

use lentil_policy::{entry, protocol};
use lentil_types::{AttemptId, FailReason, Fingerprint, Instant, Outcome, RequestId, Table};

use super::{
    Promise, Violation, backend,
    traffic::{Kind, Sending},
};

/// Time past its deadline in which a request must have ended.
const GRACE: time::Duration = time::Duration::from_secs(1);
/// Time in which every entry and sidecar has heard of a poison.
const POISON_SPREAD: time::Duration = time::Duration::from_secs(4);

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(super) struct Tracked {
    pub(super) sending: Sending,
    pub(super) request: RequestId,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) ending: Option<entry::Ending>,
    /// Its entry crashed or its caller hung up: no end is owed.
    pub(super) excused: bool,
    /// Time that its entry was paused for.
    pub(super) paused: time::Duration,
}

impl Tracked {
    /// What the caller got, up to a piece.
    fn said(&self, until: u64) -> String {
        let until = usize::try_from(until).unwrap_or(usize::MAX);
        let pieces = self.pieces.get(..until).unwrap_or(&self.pieces);
        String::from_utf8_lossy(&pieces.concat()).into_owned()
    }
}

/// What is known of every request, and the promises broken.
#[derive(Debug, Default)]
pub(super) struct Checks {
    pub(super) tracked: Vec<Tracked>,
    by_request: Table<RequestId, usize>,
    /// Where attempts were resumed.
    resumed: Table<AttemptId, u64>,
    runs: Table<RequestId, u32>,
    runs_by_key: Table<u64, u32>,
    first_crash: Table<Fingerprint, Instant>,
    poison_known: Table<Fingerprint, Instant>,
    /// Engines crashed by themselves: what ran alone there may be blamed.
    pub(super) chance_crashes: u32,
    pub(super) checked: BTreeMap<Promise, u64>,
    pub(super) violations: Vec<Violation>,
}

impl Checks {
    pub(super) fn track(&mut self, sending: Sending, request: RequestId) -> usize {
        let number = self.tracked.len();
        self.by_request.insert(request, number);
        self.tracked.push(Tracked {
            sending,
            request,
            pieces: Vec::new(),
            ending: None,
            excused: false,
            paused: time::Duration::ZERO,
        });
        number
    }

    pub(super) fn of(&mut self, request: RequestId) -> Option<&mut Tracked> {
        let number = *self.by_request.get(&request)?;
        self.tracked.get_mut(number)
    }

    /// A request begins to run at a backend server.
    pub(super) fn on_run(&mut self, now: Instant, dispatch: &protocol::Dispatch) {
        let request = dispatch.offer.id.request;
        *self.runs.get_or_insert_with(request, || 0) += 1;
        let Some(tracked) = self.of(request).cloned() else {
            return;
        };
        if let Kind::Once { key } = tracked.sending.kind {
            let runs = self.runs_by_key.get_or_insert_with(key, || 0);
            *runs += 1;
            let runs = *runs;
            self.check(now, Promise::AtMostOnce, runs <= 1, || {
                format!("key {key} ran {runs} times, now for request {request}")
            });
        }
        let fingerprint = tracked.sending.fingerprint();
        if tracked.sending.kind == Kind::Poison {
            let known = self.poison_known.get(&fingerprint).copied();
            let in_time = known.is_none_or(|known| now <= known + POISON_SPREAD);
            self.check(now, Promise::PoisonRefused, in_time, || {
                format!("{fingerprint} runs, known as poison since {known:?}")
            });
        }
        if let Some(resume) = &dispatch.resume {
            self.resumed.insert(dispatch.offer.id, resume.offset);
            let said = tracked.said(resume.offset);
            self.check(now, Promise::ResumesExactly, said == resume.text, || {
                format!("request {request} got {said:?}, resumes after {resume:?}")
            });
        }
    }

    /// A request that crashes engines did so. Once the news of its first crash
    /// has spread, the next one is its last.
    pub(super) fn on_poison_crash(&mut self, now: Instant, fingerprint: Fingerprint) {
        let first = *self.first_crash.get_or_insert_with(fingerprint, || now);
        if now > first + POISON_SPREAD {
            self.poison_known.get_or_insert_with(fingerprint, || now);
        }
    }

    pub(super) fn on_piece(
        &mut self,
        now: Instant,
        request: RequestId,
        offset: u64,
        data: Vec<u8>,
    ) {
        let Some(tracked) = self.of(request) else {
            return;
        };
        let in_order = offset == tracked.pieces.len() as u64;
        tracked.pieces.push(data);
        self.check(now, Promise::WholeOwnAnswer, in_order, || {
            format!("request {request} got piece {offset} out of order")
        });
    }

    pub(super) fn on_finish(&mut self, now: Instant, request: RequestId, ending: entry::Ending) {
        let Some(tracked) = self.of(request) else {
            return;
        };
        let first = tracked.ending.replace(ending).is_none();
        let limit = tracked.sending.at + tracked.sending.budget + tracked.paused + GRACE;
        let tracked = tracked.clone();
        self.check(now, Promise::EndsOnce, first && now <= limit, || {
            format!("request {request} ended again or after {limit}")
        });
        if matches!(ending, entry::Ending::Whole(_)) {
            let whole = self.is_whole(&tracked);
            self.check(now, Promise::WholeOwnAnswer, whole, || {
                format!(
                    "request {request} got {:?} as whole",
                    tracked.said(u64::MAX)
                )
            });
        }
        self.check_blame(now, &tracked, ending);
    }

    /// Whether a caller has its own answer from the first piece to the last,
    /// each attempt from where it was resumed.
    fn is_whole(&self, tracked: &Tracked) -> bool {
        let fingerprint = tracked.sending.fingerprint();
        let Some(pieces) = backend::AnswerPiece::parse_all(&tracked.said(u64::MAX)) else {
            return false;
        };
        let own = |(offset, piece): (usize, &backend::AnswerPiece)| {
            piece.fingerprint == fingerprint && piece.offset == offset as u64
        };
        let goes_on = |pair: &[backend::AnswerPiece]| {
            let (request, attempt) = (tracked.request, pair[1].attempt);
            let resumed = self.resumed.get(&AttemptId { request, attempt });
            pair[0].attempt == attempt || resumed == Some(&pair[1].offset)
        };
        pieces.len() as u64 == backend::answer_len(fingerprint)
            && pieces.iter().enumerate().all(own)
            && pieces.windows(2).all(goes_on)
    }

    fn check_blame(&mut self, now: Instant, tracked: &Tracked, ending: entry::Ending) {
        let refused = matches!(
            ending,
            entry::Ending::Failed { reason, .. } if reason == FailReason::Poison
        );
        // Two crashes by chance look like poison; those runs are not judged.
        if tracked.sending.kind == Kind::Poison || self.chance_crashes > 0 {
            return;
        }
        let request = tracked.request;
        self.check(now, Promise::InnocentsSpared, !refused, || {
            format!("request {request} is blamed for a crash")
        });
    }

    /// What can be said only when the run is over.
    pub(super) fn conclude(&mut self, now: Instant) {
        for tracked in self.tracked.clone() {
            let request = tracked.request;
            let ended = tracked.ending.is_some() || tracked.excused;
            self.check(now, Promise::EndsOnce, ended, || {
                format!("request {request} never ended")
            });
            let not_run = matches!(
                tracked.ending,
                Some(entry::Ending::Failed { outcome, .. }) if outcome == Outcome::NotRun
            );
            if not_run {
                let runs = self.runs.get(&request).copied().unwrap_or(0);
                self.check(now, Promise::HonestNotRun, runs == 0, || {
                    format!("request {request} was told not-run and ran {runs} times")
                });
            }
        }
    }

    pub(super) fn check(
        &mut self,
        at: Instant,
        promise: Promise,
        kept: bool,
        detail: impl FnOnce() -> String,
    ) {
        *self.checked.entry(promise).or_insert(0) += 1;
        if !kept {
            let detail = detail();
            self.violations.push(Violation {
                at,
                promise,
                detail,
            });
        }
    }
}
