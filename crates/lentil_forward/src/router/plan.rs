//! A request with its route, limits and progress.

use std::{cell, rc, time};

use bytes::Bytes;
use compact_str::CompactString;
use lentil_policy::forward::{
    attempt_log, backlog, routing,
    runners::{Incarnation, SegmentId},
};
use lentil_types::{Fingerprint, Instant, ModelName, ServiceName, SoftwareVersion, Tokens};
use xxhash_rust::xxh3;

use crate::{h1, names};

/// A request that was read completely.
pub(super) struct Request {
    pub(super) head: h1::RequestHead,
    pub(super) body: Bytes,
    /// When its last byte was read.
    pub(super) received: Instant,
}

/// What a request asks for, and its attempts so far.
pub(super) struct Plan {
    /// The caller's request id, or a dash.
    pub(super) id: CompactString,
    /// Id of the request that began the stream, if the caller takes one up again.
    pub(super) resumes: Option<CompactString>,
    /// The only software version that may run the request, once the caller has events of
    /// the stream.
    pub(super) software: cell::RefCell<Option<SoftwareVersion>>,
    pub(super) routing: rc::Rc<routing::Routing>,
    pub(super) route: routing::Route,
    pub(super) team: Option<routing::Team>,
    pub(super) service: ServiceName,
    pub(super) model: Option<ModelName>,
    /// Segments of the prompt, in order.
    pub(super) segments: Vec<(SegmentId, Tokens)>,
    pub(super) body_bytes: usize,
    pub(super) priority: u8,
    pub(super) received: Instant,
    /// The caller's deadline; `None` if it sent none.
    pub(super) deadline: Option<Instant>,
    /// Deadline or route timeout, whichever is earlier.
    pub(super) answer_by: Instant,
    /// When an answer is of use at the latest: `answer_by`, or earlier where the caller
    /// leaves before that. Bounds what a request is queued for, not its attempts.
    pub(super) start_by: Instant,
    pub(super) fingerprint: Fingerprint,
    pub(super) attempt_log: rc::Rc<cell::RefCell<attempt_log::AttemptLog>>,
    /// Runners that refused the request.
    refused_by: cell::RefCell<Vec<Incarnation>>,
    /// Whether an answer is being written.
    pub(super) is_answering: cell::Cell<bool>,
    /// Whether the caller comes back: after a refusal, as it was told to, or for the rest of
    /// a stream that broke off.
    pub(super) returns: cell::Cell<bool>,
    /// Whether the request tries a refused segment.
    pub(super) is_trial: cell::Cell<bool>,
}

/// Upper bound of a caller's deadline, in milliseconds; prevents overflow.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Id of a request whose caller sent none.
const NO_ID: &str = "-";

impl Plan {
    pub(super) fn new(
        names: &names::HeaderNames,
        routing: rc::Rc<routing::Routing>,
        route: routing::Route,
        team: Option<routing::Team>,
        service: ServiceName,
        request: &Request,
    ) -> Self {
        let headers = &request.head.headers;
        let ms = headers
            .text(names.deadline)
            .and_then(|text| text.trim().parse().ok());
        let wait = ms.map(|ms: u64| time::Duration::from_millis(ms.min(MAX_DEADLINE_MS)));
        let deadline = wait.map(|wait| request.received + wait);
        let timeout = request.received + route.timeout;
        let answer_by = deadline.map_or(timeout, |deadline| deadline.min(timeout));
        let leaves_at = route.patience.map(|patience| request.received + patience);
        let engine = routing.services.get(&*service);
        let engine = engine.and_then(|service| service.engine.as_ref());
        // Ignored for services without engines.
        let model = engine.and(headers.text(names.model));
        let model = model.and_then(|text| text.parse().ok());
        Self {
            id: headers.text(names.request_id).unwrap_or(NO_ID).into(),
            resumes: headers.text(names.resumes).map(|id| id.trim().into()),
            software: cell::RefCell::default(),
            model,
            segments: segments(headers, names),
            body_bytes: request.body.len(),
            priority: routing::rank(&route, team.as_ref()),
            received: request.received,
            answer_by,
            start_by: leaves_at.map_or(answer_by, |at| answer_by.min(at)),
            deadline,
            fingerprint: fingerprint(request, names),
            attempt_log: rc::Rc::default(),
            refused_by: cell::RefCell::default(),
            is_answering: cell::Cell::new(false),
            returns: cell::Cell::new(false),
            is_trial: cell::Cell::new(false),
            routing,
            route,
            team,
            service,
        }
    }

    /// Has the request answered by `limit` at the latest, and runners told so.
    pub(super) fn limit_time(&mut self, limit: Instant) {
        self.answer_by = self.answer_by.min(limit);
        self.start_by = self.start_by.min(limit);
        self.deadline = self.deadline.map(|deadline| deadline.min(limit));
    }

    /// Time until the answer must be complete.
    pub(super) fn time_left(&self, now: Instant) -> time::Duration {
        self.answer_by.since(now)
    }

    /// Time until the answer must have started: `margin` before the deadline, so that
    /// a timeout still reaches the caller.
    pub(super) fn time_to_start(&self, now: Instant, margin: time::Duration) -> time::Duration {
        let time_left = self.time_left(now);
        match self.deadline {
            Some(deadline) => time_left.min(deadline.since(now).saturating_sub(margin)),
            None => time_left,
        }
    }

    /// Tokens of the whole prompt.
    pub(super) fn tokens(&self) -> Tokens {
        self.segments.iter().map(|(_, tokens)| *tokens).sum()
    }

    /// Segments that other requests may have in common with this one: all but the last.
    pub(super) fn shared_segments(&self) -> impl Iterator<Item = SegmentId> {
        let last = self.segments.len().saturating_sub(1);
        self.segments[..last].iter().map(|(id, _)| *id)
    }

    /// Whether the request was sent to a runner.
    pub(super) fn has_attempts(&self) -> bool {
        self.attempt_log.borrow().sent() > 0
    }

    /// Whether the request may be sent again even if an attempt has run it.
    pub(super) fn can_repeat(&self) -> bool {
        self.route.repeat.is_repeatable() && self.attempt_log.borrow().may_send(&self.route)
    }

    /// Whether the request may be sent on a connection that was used before. Not if an
    /// earlier answer on it may look like one to this request: if the request has no id, or
    /// the runner may have refused it there.
    pub(super) fn may_reuse_connection(&self, runner: &Incarnation) -> bool {
        self.id != NO_ID && !self.refused_by.borrow().contains(runner)
    }

    /// A runner refused the request.
    pub(super) fn note_refusal(&self, runner: &Incarnation) {
        self.refused_by.borrow_mut().push(runner.clone());
    }

    /// The stream that the request begins or takes up.
    pub(super) fn stream(&self) -> backlog::RequestHash {
        backlog::RequestHash::of(self.resumes.as_ref().unwrap_or(&self.id))
    }
}

/// Parses the segments of the prompt: `ID:TOKENS`, separated by commas. Malformed
/// ones are skipped: the runner validates the field, not the router.
fn segments(headers: &h1::Headers, names: &names::HeaderNames) -> Vec<(SegmentId, Tokens)> {
    let text = headers.text(names.segments).unwrap_or_default();
    let entries = text
        .split(',')
        .filter_map(|entry| entry.trim().split_once(':'));
    let segment = |(id, tokens): (&str, &str)| {
        let tokens = Tokens(tokens.trim().parse().ok()?);
        Some((SegmentId::of(id.trim()), tokens))
    };
    entries.filter_map(segment).collect()
}

/// Hash that is equal for every repetition of a request, at every router.
fn fingerprint(request: &Request, names: &names::HeaderNames) -> Fingerprint {
    let mut hash = xxh3::Xxh3::new();
    for bytes in [
        request.head.method.as_bytes(),
        request.head.target.as_bytes(),
        request.head.headers.get(names.key).unwrap_or_default(),
        &request.body,
    ] {
        hash.update(&(bytes.len() as u64).to_le_bytes());
        hash.update(bytes);
    }
    Fingerprint(hash.digest())
}
