//! Crashes of runners: which requests ran, and which segments are refused because of it.

use std::{cmp, time};

use lentil_policy::forward::{
    crash_blame::Suspicion,
    runners::{self, SegmentId},
};
use lentil_process::metrics::Counter;
use lentil_types::{Fingerprint, Instant, Table};

use super::{Router, plan::Plan, state::BrokenRequest};
use crate::{
    datagram::{self, Datagram},
    peers::Recipient,
};

/// How a router learns that a runner has died.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum DeathSign {
    /// A connection could not be opened.
    Unreachable,
    /// Another incarnation is registered under its name.
    Restarted,
    /// Its registration was removed.
    Expired,
    /// It does not answer its agent.
    Silent,
    /// Another router reports it.
    Reported,
    /// One of these signs was seen shortly before.
    Known,
}

/// Most segments in one datagram.
const SEGMENTS_PER_DATAGRAM: usize = 96;
/// Most segments named in a line about a runner's death.
const MAX_LOGGED_SEGMENTS: usize = 16;

impl Router {
    /// A request's connection to a runner ended before its answer was complete, or may
    /// have.
    pub(super) fn on_broken(&self, request: BrokenRequest) {
        let (now, incarnation) = (request.broken_at, request.incarnation.clone());
        let is_dead = self.state().on_broken(request);
        if is_dead {
            self.on_dead_at(now, &incarnation, DeathSign::Known);
        }
    }

    /// A runner is found dead. If requests of this router ran there, it is evidence
    /// against them.
    pub(crate) fn on_dead(&self, incarnation: &runners::Incarnation, sign: DeathSign) {
        self.on_dead_at(self.now(), incarnation, sign);
    }

    fn on_dead_at(&self, now: Instant, incarnation: &runners::Incarnation, sign: DeathSign) {
        let (requests, whole) = self.state().on_dead(now, incarnation);
        self.note_whole(whole);
        // Connections that broke earlier did so for other reasons, or a little before.
        let Some(died_at) = requests.iter().map(|request| request.broken_at).max() else {
            return;
        };
        let after = now.since(died_at).as_millis();
        log::info!(
            runner:% = incarnation.name, born = incarnation.boot_id, sign:%, after_ms = after,
            requests = requests.len(), segments = segment_counts(&requests);
            "a runner died while requests were running"
        );
        for request in &requests {
            let crash = datagram::Crash {
                fingerprint: request.fingerprint,
                incarnation: incarnation.clone(),
            };
            self.count_crash(&crash);
            self.outbox.put(Recipient::Routers, Datagram::Crash(crash));
        }
        let mut segments: Vec<_> = requests
            .iter()
            .flat_map(|request| request.segments.iter().copied())
            .collect();
        segments.sort_unstable();
        segments.dedup();
        for segments in segments.chunks(SEGMENTS_PER_DATAGRAM) {
            let evidence = datagram::CrashEvidence {
                incarnation: incarnation.clone(),
                age: now.since(died_at),
                segments: segments.to_vec(),
            };
            let evidence = Datagram::CrashEvidence(evidence);
            self.outbox.put(Recipient::Routers, evidence);
        }
        let mut state = self.state();
        state.blame.on_crash(incarnation, died_at, segments);
        drop(state);
        self.conclude();
    }

    /// Another router reports a request that ran when a runner died.
    pub(crate) fn on_crash(&self, crash: &datagram::Crash) {
        self.count_crash(crash);
        self.on_dead(&crash.incarnation, DeathSign::Reported);
    }

    fn count_crash(&self, crash: &datagram::Crash) {
        let now = self.now();
        let count = self
            .state()
            .on_crash(now, crash.fingerprint, crash.incarnation.clone());
        self.metrics.count(Counter::CrashNotices);
        // A first crash is in the line about the runner.
        if count > 1 {
            log::info!(fingerprint:% = crash.fingerprint, runner:% = crash.incarnation.name, born = crash.incarnation.boot_id, crashes = count; "request was running when a runner died");
        }
    }

    /// Another router reports segments of requests that ran when a runner died.
    pub(crate) fn on_crash_evidence(&self, evidence: &datagram::CrashEvidence) {
        let crashed_at = before(self.now(), evidence.age);
        let mut state = self.state();
        let segments = evidence.segments.iter().copied();
        state
            .blame
            .on_crash(&evidence.incarnation, crashed_at, segments);
        drop(state);
        self.on_dead(&evidence.incarnation, DeathSign::Reported);
        self.conclude();
    }

    /// A request of this router was answered completely; the answer began at `began_at`.
    pub(super) fn on_survived(
        &self,
        fingerprint: Fingerprint,
        segments: impl IntoIterator<Item = SegmentId>,
        began_at: Instant,
    ) {
        let mut state = self.state();
        state.on_survived(fingerprint);
        let allowed = state.blame.on_survived(began_at, segments);
        drop(state);
        for segment in allowed {
            let age = self.now().since(began_at);
            self.log_allowed(segment, age);
            let survived = Datagram::SegmentSurvived(datagram::SegmentAge { segment, age });
            self.outbox.put(Recipient::Routers, survived);
        }
    }

    /// Notes the answers that have proved whole since they ended with their connection.
    pub(super) fn note_proven(&self) {
        let proven = self.state().proven(self.now());
        self.note_whole(proven);
    }

    fn note_whole(&self, requests: Vec<BrokenRequest>) {
        for request in requests {
            if let Some(began_at) = request.unproven_since {
                self.on_survived(request.fingerprint, request.segments, began_at);
            }
        }
    }

    /// Another router had a whole answer with a segment.
    pub(crate) fn on_survival_notice(&self, survived: datagram::SegmentAge) {
        let began_at = before(self.now(), survived.age);
        let mut state = self.state();
        let allowed = state.blame.on_survived(began_at, [survived.segment]);
        drop(state);
        for segment in allowed {
            self.log_allowed(segment, survived.age);
        }
        self.conclude();
    }

    fn log_allowed(&self, segment: SegmentId, age: time::Duration) {
        log::info!(segment = segment.0, age_ms = age.as_millis(); "a refused segment is allowed again after a whole answer");
    }

    /// Another router asks for whole answers with a segment.
    pub(crate) fn on_survival_query(&self, from: Recipient, query: datagram::SegmentAge) {
        let now = self.now();
        let since = before(now, query.age);
        let acquittal = self.state().blame.acquittal(query.segment, since);
        if let Some(began_at) = acquittal {
            let survived = datagram::SegmentAge {
                segment: query.segment,
                age: now.since(began_at),
            };
            self.outbox.put(from, Datagram::SegmentSurvived(survived));
        }
    }

    /// Another router refuses a segment. This one does the same, or answers with the
    /// evidence against it.
    pub(crate) fn on_refusal_notice(&self, from: Recipient, notice: &datagram::SegmentRefusal) {
        let now = self.now();
        let datagram::SegmentAge { segment, age } = notice.suspicion;
        let suspicion = Suspicion {
            segment,
            since: before(now, age),
            crashes: notice.crashes as usize,
        };
        let mut state = self.state();
        let was_refused = state.blame.refusal(now, [segment]).is_some();
        state
            .blame
            .on_refusal_notice(now, suspicion, notice.remaining);
        let is_refused = state.blame.refusal(now, [segment]).is_some();
        drop(state);
        if is_refused && !was_refused {
            log::warn!(segment = segment.0, since_ms = age.as_millis(), crashes = notice.crashes; "another router refuses a segment that crashes runners");
            self.refusals_changed.notify(usize::MAX);
        } else if !is_refused {
            self.on_survival_query(from, notice.suspicion);
        }
    }

    /// Draws the conclusions that are due from the crashes.
    pub(crate) fn conclude(&self) {
        let now = self.now();
        let conclusions = self.state().blame.conclude(now);
        for suspicion in conclusions.questions {
            let query = Datagram::SurvivalQuery(segment_age(now, suspicion));
            self.outbox.put(Recipient::Routers, query);
        }
        for suspicion in conclusions.refused {
            self.metrics.count(Counter::SegmentsRefused);
            let since = now.since(suspicion.since).as_millis();
            log::warn!(segment = suspicion.segment.0, since_ms = since, crashes = suspicion.crashes; "refusing a segment that crashes runners");
            self.send_refusal(now, suspicion);
            self.refusals_changed.notify(usize::MAX);
        }
    }

    fn send_refusal(&self, now: Instant, suspicion: Suspicion) {
        let refusal = self.state().blame.refusal(now, [suspicion.segment]);
        if let Some((_, remaining)) = refusal {
            let refusal = datagram::SegmentRefusal {
                suspicion: segment_age(now, suspicion),
                remaining,
                crashes: u32::try_from(suspicion.crashes).unwrap_or(u32::MAX),
            };
            let refusal = Datagram::SegmentRefused(refusal);
            self.outbox.put(Recipient::Routers, refusal);
        }
    }

    /// How long requests with the segments of this one are refused. `None` for one that may
    /// try a refused segment. Tells other routers of the refusal from time to time.
    pub(super) fn check_refusal(&self, plan: &Plan) -> Option<time::Duration> {
        if plan.is_trial.get() {
            return None;
        }
        let now = self.now();
        let mut state = self.state();
        let (segment, remaining) = state.blame.refusal(now, plan.shared_segments())?;
        let (rank, routers) = (state.rank(), state.routers());
        let may_try = !plan.has_attempts() && state.blame.try_trial(now, segment, rank, routers);
        if may_try {
            log::info!(request = plan.id.as_str(), segment = segment.0; "one request tries a refused segment");
            plan.is_trial.set(true);
            return None;
        }
        let notice = state.blame.due_notice(now, segment);
        drop(state);
        if let Some(suspicion) = notice {
            self.send_refusal(now, suspicion);
        }
        Some(remaining)
    }

    /// Returns when requests with the segments of this one are refused.
    pub(super) async fn until_refused(&self, plan: &Plan) {
        loop {
            let changed = self.refusals_changed.listen();
            if self.check_refusal(plan).is_some() {
                return;
            }
            changed.await;
        }
    }
}

fn segment_age(now: Instant, suspicion: Suspicion) -> datagram::SegmentAge {
    datagram::SegmentAge {
        segment: suspicion.segment,
        age: now.since(suspicion.since),
    }
}

/// The time `age` before `now`.
fn before(now: Instant, age: time::Duration) -> Instant {
    Instant::ZERO + now.since(Instant::ZERO).saturating_sub(age)
}

/// The segments of these requests, each with the number of requests that have it, the
/// most frequent first.
fn segment_counts(requests: &[BrokenRequest]) -> String {
    let mut counts: Table<SegmentId, usize> = Table::new();
    for segment in requests.iter().flat_map(|request| &request.segments) {
        *counts.get_or_insert_with(*segment, || 0) += 1;
    }
    let mut counts: Vec<_> = counts.iter().collect();
    counts.sort_by_key(|(_, count)| cmp::Reverse(**count));
    counts.truncate(MAX_LOGGED_SEGMENTS);
    let words = counts
        .iter()
        .map(|(segment, count)| format!("{}x{count}", segment.0));
    words.collect::<Vec<_>>().join(" ")
}
