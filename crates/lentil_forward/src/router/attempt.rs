//! One attempt: sends a request to one runner and forwards its answer.

use std::{borrow, net, rc, time};

use compact_str::CompactString;
use lentil_policy::forward::{
    attempt_log::{self, AttemptOutcome},
    backlog, concurrency_limit, pace, placement, runners,
};
use lentil_process::metrics::{Counter, Timing};
use lentil_types::{Instant, SoftwareVersion, Tokens, WeightsVersion};

use super::{
    Router, announcement,
    answer::{Answer, CompleteAnswer},
    body_memory::{BodyKind, BodyReservation},
    connect,
    crashes::DeathSign,
    in_flight::InFlight,
    plan::{Plan, Request},
    rejection,
    state::BrokenRequest,
    stream_origin,
    upload::Upload,
    upstream,
};
use crate::{datagram::Datagram, events::EventSplitter, h1, peers::Recipient};

/// Most answers to other requests skipped on one connection.
const MAX_UNMATCHED_ANSWERS: usize = 2;
/// Added to the deadline sent to a runner, so that its timeout does not fire
/// before the router's.
const DEADLINE_SLACK: time::Duration = time::Duration::from_millis(20);

/// Progress of a request over all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    /// The runner of the last attempt.
    pub(super) incarnation: Option<runners::Incarnation>,
    /// Start of the last attempt.
    pub(super) attempted_at: Option<Instant>,
    /// Software version of that runner.
    pub(super) software: Option<SoftwareVersion>,
    /// Weights that produced the answer.
    pub(super) weights: Option<WeightsVersion>,
    /// When the first byte of the answer arrived.
    pub(super) first_byte: Option<Instant>,
    /// Predicted time to the first byte of the last attempt, in milliseconds.
    pub(super) expected_ms: f64,
    /// Speed of that runner that the prediction is based on.
    pub(super) speed: Option<placement::ExpectedSpeed>,
    /// Age of that runner's status at the time.
    pub(super) status_age: Option<time::Duration>,
    /// Uncached tokens expected at the last runner.
    pub(super) uncached: Tokens,
    /// Whether the last runner had to prefill a segment that nothing had cached.
    pub(super) prefills: bool,
    /// Rank of the last runner among the homes of the segment.
    pub(super) home_rank: Option<usize>,
    /// Runner or store that it could fetch the segment from.
    pub(super) source: Option<net::SocketAddr>,
    /// Store that the last runner was asked to save the prompt to.
    pub(super) save_to: Option<net::SocketAddr>,
    /// What the last runner rejected, if it did.
    pub(super) rejection: Option<concurrency_limit::Rejection>,
    /// Id of the last event sent to the caller.
    pub(super) last_event: Option<CompactString>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The runner proved that it did not execute the request.
    Refused,
    /// The connection broke before the end of the answer.
    Broken,
    /// The runner sent nothing for too long.
    Silent,
    /// The answer belongs to another request or violates the protocol.
    BadAnswer,
    /// The unfinished answers of all runners take too much memory.
    OutOfMemory,
    /// The request was found to crash runners before its answer began.
    Withdrawn,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The complete stream was sent to the caller.
    Answered,
    /// The runner's complete answer, not sent to the caller yet.
    Complete(CompleteAnswer),
    /// Writing to the caller failed.
    CallerLost,
    Failed(Failure),
}

/// Sends a request to the chosen runner and reads or relays its answer.
pub(super) async fn run(
    router: &rc::Rc<Router>,
    plan: &Plan,
    request: &Request,
    choice: &placement::Choice,
    permit: runners::Permit,
    progress: &mut Progress,
    answer: &mut Answer,
) -> AttemptEnd {
    progress.incarnation = Some(choice.incarnation.clone());
    progress.software = Some(choice.software.clone());
    progress.attempted_at = Some(router.now());
    progress.expected_ms = choice.expected_ms.round();
    progress.speed = Some(choice.speed);
    progress.status_age = choice.status_age;
    progress.uncached = choice.request_cost.uncached;
    progress.prefills = choice.prefills;
    progress.home_rank = choice.home_rank;
    progress.source = choice.source;
    progress.rejection = None;
    router.metrics.count(Counter::Attempts);
    let in_flight = InFlight::new(router.clone(), choice);
    if choice.version.is_some() {
        let now = router.now();
        router
            .state()
            .on_sent(now, &plan.service, choice.request_cost);
    }
    let mut abandonment = Abandonment::new(router, plan, choice);
    let mut head = None;
    let end = match connect::connect(router, plan, choice, permit).await {
        None => AttemptEnd::Failed(Failure::Unreachable),
        Some(connection) => {
            plan.attempt_log.borrow_mut().begin();
            let current = in_current_group(router, plan, choice);
            let choice = &*current;
            notify_agent(router, plan, choice);
            let mut attempt = Attempt {
                router,
                plan,
                choice,
                connection,
                in_flight,
                sent_at: router.now(),
                upload: None,
                has_head: false,
                answer_head: None,
            };
            let end = attempt.exchange(request, progress, answer).await;
            head = attempt.answer_head;
            end
        }
    };
    abandonment.has_ended = true;
    record_end(router, plan, choice, &end);
    match head.filter(|_| is_success(&end)) {
        Some((began_at, h1::Framing::UntilClose)) => {
            let request = broken_request(router, plan, choice);
            router.on_broken(BrokenRequest {
                unproven_since: Some(began_at),
                ..request
            });
        }
        Some((began_at, _)) => {
            let segments = plan.shared_segments();
            router.on_survived(plan.fingerprint, segments, began_at);
        }
        None => {}
    }
    end
}

/// Logs on drop that the attempt was given up before its end, because the caller left
/// or the request timed out.
struct Abandonment<'a> {
    router: &'a Router,
    plan: &'a Plan,
    choice: &'a placement::Choice,
    started_at: Instant,
    /// Time since the runner or its agent had sent anything when the request was sent.
    unheard: time::Duration,
    has_ended: bool,
}

impl<'a> Abandonment<'a> {
    fn new(router: &'a Router, plan: &'a Plan, choice: &'a placement::Choice) -> Self {
        let started_at = router.now();
        Self {
            router,
            plan,
            choice,
            started_at,
            unheard: started_at.since(router.last_heard(&choice.incarnation)),
            has_ended: false,
        }
    }
}

impl Drop for Abandonment<'_> {
    fn drop(&mut self) {
        let now = self.router.now();
        if self.has_ended || !self.router.log_quota.try_take(now) {
            return;
        }
        let incarnation = &self.choice.incarnation;
        let heard_at = self.router.last_heard(incarnation);
        log::info!(
            request = self.plan.id.as_str(), runner:% = incarnation.name, born = incarnation.boot_id,
            sent_ms = now.since(self.started_at).as_millis(), heard_ms = now.since(heard_at).as_millis(),
            unheard_ms = self.unheard.as_millis(), has_answer = self.plan.is_answering.get();
            "attempt abandoned"
        );
    }
}

/// The choice with the cache group of the configuration in force now, which may have
/// changed while a connection was opened. A source was chosen for the entries of the old
/// group.
fn in_current_group<'a>(
    router: &Router,
    plan: &Plan,
    choice: &'a placement::Choice,
) -> borrow::Cow<'a, placement::Choice> {
    let cache_group = router.state().cache_group(plan);
    if cache_group == choice.cache_group {
        return borrow::Cow::Borrowed(choice);
    }
    borrow::Cow::Owned(placement::Choice {
        cache_group,
        source: None,
        ..choice.clone()
    })
}

/// Whether the agent is told of the request, so that its status shows it.
fn is_announced(choice: &placement::Choice) -> bool {
    choice.version.is_some() && choice.request_cost.uncached >= runners::LONG_PROMPT
}

/// Announces a long prompt to the runner's agent when it is sent.
fn notify_agent(router: &Router, plan: &Plan, choice: &placement::Choice) {
    if !is_announced(choice) {
        return;
    }
    let long_prompt = backlog::LongPrompt {
        request: backlog::RequestHash::of(&plan.id),
        uncached: choice.request_cost.uncached,
        total: plan.tokens(),
        prefills: segment_key(router, plan, choice).filter(|_| choice.prefills),
    };
    let agent = Recipient::Agent(choice.address.ip());
    router.outbox.put(agent, Datagram::LongPrompt(long_prompt));
}

/// Key of the request's shared prefix in the chosen runner's prefix cache.
fn segment_key(
    router: &Router,
    plan: &Plan,
    choice: &placement::Choice,
) -> Option<runners::SegmentKey> {
    let (id, _) = placement::shared_prefix(&router.settings.placement, &plan.segments)?;
    let salt = runners::salt(choice.version?, &choice.cache_group);
    Some(runners::SegmentKey::new(id, runners::SaltHash::of(&salt)))
}

/// Whether the runner gave a whole answer that is no error.
fn is_success(end: &AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered => true,
        AttemptEnd::Complete(complete) => (200..300).contains(&complete.status),
        AttemptEnd::CallerLost | AttemptEnd::Failed(_) => false,
    }
}

/// Records the end of an attempt for the request and the runner's health.
fn record_end(router: &Router, plan: &Plan, choice: &placement::Choice, end: &AttemptEnd) {
    let outcome = match end {
        AttemptEnd::Failed(Failure::Unreachable) => AttemptOutcome::NotSent,
        AttemptEnd::Failed(Failure::Refused) => AttemptOutcome::Refused,
        _ => AttemptOutcome::MayHaveRun,
    };
    plan.attempt_log.borrow_mut().settle(outcome);
    let signal = match end {
        AttemptEnd::Answered | AttemptEnd::Complete(_) => runners::HealthSignal::Success,
        AttemptEnd::CallerLost
        | AttemptEnd::Failed(Failure::Refused | Failure::OutOfMemory | Failure::Withdrawn) => {
            return;
        }
        AttemptEnd::Failed(Failure::Unreachable) => runners::HealthSignal::Unreachable,
        AttemptEnd::Failed(_) => runners::HealthSignal::Failure,
    };
    router.on_health_signal(&choice.incarnation, signal);
    match end {
        AttemptEnd::Failed(Failure::Broken) => {
            router.on_broken(broken_request(router, plan, choice));
        }
        AttemptEnd::Failed(Failure::Unreachable) => {
            router.on_dead(&choice.incarnation, DeathSign::Unreachable);
        }
        _ => {}
    }
}

/// A request whose connection to its runner has ended now.
fn broken_request(router: &Router, plan: &Plan, choice: &placement::Choice) -> BrokenRequest {
    BrokenRequest {
        broken_at: router.now(),
        incarnation: choice.incarnation.clone(),
        fingerprint: plan.fingerprint,
        segments: plan.shared_segments().collect(),
        unproven_since: None,
    }
}

struct Attempt<'a> {
    router: &'a rc::Rc<Router>,
    plan: &'a Plan,
    choice: &'a placement::Choice,
    connection: h1::Connection,
    in_flight: InFlight,
    sent_at: Instant,
    /// Writes the request; `None` before it is sent.
    upload: Option<Upload>,
    /// Whether the head of an answer was received.
    has_head: bool,
    /// When the answer began, and how its body is framed.
    answer_head: Option<(Instant, h1::Framing)>,
}

impl Drop for Attempt<'_> {
    /// A request that is given up may still be on its way, behind a link that is cut. It
    /// must not arrive once the link is back.
    fn drop(&mut self) {
        if !self.has_head {
            self.connection.reset_on_close();
        }
    }
}

impl Attempt<'_> {
    async fn exchange(
        &mut self,
        request: &Request,
        progress: &mut Progress,
        answer: &mut Answer,
    ) -> AttemptEnd {
        let head = match self.send_request(request, progress).await {
            Ok(head) => head,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        self.has_head = true;
        self.on_head(&head, progress);
        let names = &self.router.names;
        if head.status == 421 || head.headers.get(names.not_run).is_some() {
            let rejection = rejection::on_rejected(self.router, self.choice, self.sent_at, &head);
            progress.rejection = Some(rejection);
            return self.on_refusal(&head, rejection).await;
        }
        let has_seal = head.headers.get(names.seal).is_some();
        let is_success = (200..300).contains(&head.status);
        let has_id = head.headers.get(names.request_id).is_some();
        if !has_seal || (is_success && !has_id) {
            return AttemptEnd::Failed(Failure::BadAnswer);
        }
        if has_id {
            self.router
                .on_confirmed(&self.choice.incarnation, self.sent_at);
        }
        let has_body = head.framing != h1::Framing::Empty;
        if answer.has_started() && !(is_success && has_body) {
            return AttemptEnd::Failed(Failure::BadAnswer);
        }
        if self.plan.route.repeat.is_stream() && is_success && has_body {
            return self.relay(&head, progress, answer).await;
        }
        self.read_complete(&head).await
    }

    /// Sends the request and waits for the response head.
    async fn send_request(
        &mut self,
        request: &Request,
        progress: &mut Progress,
    ) -> Result<h1::ResponseHead, Failure> {
        progress.save_to = self.router.save_to(self.plan, self.choice);
        let now = self.router.now();
        let time_left = match self.plan.deadline {
            Some(deadline) => deadline.since(now),
            None => self.plan.time_left(now) + DEADLINE_SLACK,
        };
        let bytes = upstream::request_bytes(
            &self.router.names,
            self.plan,
            request,
            self.choice,
            upstream::AttemptFields {
                time_left,
                last_event: progress.last_event.as_ref(),
                save_to: progress.save_to,
            },
        );
        let mut upload = Upload::new(&self.connection, bytes);
        let (router, choice) = (self.router.clone(), self.choice);
        let can_repeat = self.plan.can_repeat();
        let silent = answer_timeout(&router, self.plan, choice, self.sent_at, can_repeat);
        let plan = self.plan;
        let withdrawn = async {
            router.until_refused(plan).await;
            Err(Failure::Withdrawn)
        };
        let wait = futures_lite::future::or(silent, withdrawn);
        let head = futures_lite::future::or(self.matching_head(request), wait);
        let head = upload.beside(head).await;
        self.upload = Some(upload);
        head
    }

    /// Reads the head of the answer to this request and skips answers to others.
    async fn matching_head(&mut self, request: &Request) -> Result<h1::ResponseHead, Failure> {
        let id_name = self.router.names.request_id;
        let method = &request.head.method;
        let id = request.head.headers.get(id_name);
        let is_first = self.connection.answers() == 0;
        for _ in 0..=MAX_UNMATCHED_ANSWERS {
            let head = self
                .connection
                .response_head(method)
                .await
                .map_err(|error| read_failure(&error))?;
            self.in_flight.on_bytes();
            let named = head.headers.get(id_name);
            if attempt_log::is_own_answer(id, named, is_first) {
                return Ok(head);
            }
            self.router.metrics.count(Counter::LateAnswers);
            if head.framing == h1::Framing::UntilClose {
                return Err(Failure::BadAnswer);
            }
            self.skip_body(&mut h1::BodyReader::new(head.framing))
                .await?;
        }
        Err(Failure::BadAnswer)
    }

    /// Reads the rest of a body and drops it. One larger than the largest answer may have
    /// no end.
    async fn skip_body(&mut self, reader: &mut h1::BodyReader) -> Result<(), Failure> {
        let mut skipped = 0;
        while let Some(bytes) = self.read_bytes(reader).await? {
            skipped += bytes.len();
            if skipped > self.router.settings.answer_bytes {
                return Err(Failure::BadAnswer);
            }
        }
        Ok(())
    }

    /// The next bytes of a body, `None` at its end.
    async fn read_bytes(
        &mut self,
        reader: &mut h1::BodyReader,
    ) -> Result<Option<bytes::Bytes>, Failure> {
        next_bytes(reader, &mut self.connection, self.upload.as_mut()).await
    }

    /// Reads a whole body within the limit of one answer and of all buffered bodies.
    async fn read_body(
        &mut self,
        reader: &mut h1::BodyReader,
    ) -> Result<(bytes::Bytes, BodyReservation), Failure> {
        let mut reservation = BodyReservation::new(self.router, BodyKind::Answer);
        let mut body = bytes::BytesMut::new();
        while let Some(bytes) = self.read_bytes(reader).await? {
            let size = body.len() + bytes.len();
            if size > self.router.settings.answer_bytes {
                return Err(Failure::BadAnswer);
            }
            if !reservation.try_resize(size) {
                return Err(Failure::OutOfMemory);
            }
            if body.is_empty() && reader.is_done() {
                return Ok((bytes, reservation));
            }
            body.extend_from_slice(&bytes);
        }
        Ok((body.freeze(), reservation))
    }

    fn on_head(&mut self, head: &h1::ResponseHead, progress: &mut Progress) {
        let now = self.router.now();
        let names = &self.router.names;
        let was_run = head.headers.get(names.not_run).is_none() && head.status != 421;
        let weights = head.headers.text(names.weights);
        let weights = weights.and_then(|text| text.trim().parse::<WeightsVersion>().ok());
        let load = load(&head.headers, names.load);
        let mut state = self.router.state();
        if was_run && (200..300).contains(&head.status) {
            let observation = self.observation(now, load.as_ref());
            let incarnation = &self.choice.incarnation;
            let runners = state.runners_mut();
            if runners.on_observation(now, incarnation, &observation) {
                self.router.log_speed_class(runners, incarnation);
            }
        }
        if let Some(runner) = state.runners_mut().get_mut(&self.choice.incarnation) {
            if let (Some(model), Some(weights)) = (&self.plan.model, weights) {
                runner.on_weights(model, weights);
            }
            if let Some(load) = &load {
                runner.on_load(now, load.running, load.waiting);
            }
            if was_run {
                let took = now.since(self.sent_at).as_secs_f64() * 1e3;
                runner.concurrency.on_answered();
                runner.on_first_byte(took, self.choice.expected_ms);
                let settings = &self.router.settings.placement;
                let shared = placement::shared_prefix(settings, &self.plan.segments);
                let key = segment_key(self.router, self.plan, self.choice);
                if let (Some((_, tokens)), Some(key)) = (shared, key) {
                    runner
                        .segments
                        .on_used(now, key, tokens, capacity(self.plan));
                }
            }
        }
        drop(state);
        self.on_announcement(head);
        self.in_flight.release_cost();
        if was_run {
            self.answer_head = Some((now, head.framing));
            progress.weights = weights;
            if progress.first_byte.is_none() {
                progress.first_byte = Some(now);
                self.router
                    .metrics
                    .time(Timing::FirstPiece, now.since(self.plan.received));
            }
        }
    }

    /// What the start of the answer says about the runner's speed. A time that contains a
    /// transfer says nothing.
    fn observation(&self, now: Instant, load: Option<&Load>) -> pace::Observation {
        let placement::ExpectedSpeed { wait_ms, waits, .. } = self.choice.speed;
        let has_computed = self.choice.prefills || self.choice.source.is_none();
        let is_certain = self.choice.version.is_some() && has_computed;
        pace::Observation {
            uncached: is_certain.then_some(self.choice.request_cost.uncached),
            wait_ms,
            waited: waits,
            observed_ms: now.since(self.sent_at).as_secs_f64() * 1e3,
            moment: load.and_then(|load| load.moment),
        }
    }

    /// Notes what the runner says of itself.
    fn on_announcement(&self, head: &h1::ResponseHead) {
        // Another runner answers for itself.
        if head.status == 421 {
            return;
        }
        match announcement::decode(&self.router.names, head) {
            Ok(said) => {
                let incarnation = &self.choice.incarnation;
                self.router
                    .on_announcement(incarnation, self.sent_at, &said);
            }
            Err(error) => {
                self.router.metrics.count(Counter::AnnouncementsUnusable);
                if self.router.log_quota.try_take(self.router.now()) {
                    let name = &self.choice.incarnation.name;
                    log::warn!(runner:% = name, error:%; "cannot read an announcement of a runner; nothing changes");
                }
            }
        }
    }

    /// Reads a refusal to its end, so that the connection can be reused.
    async fn on_refusal(
        &mut self,
        head: &h1::ResponseHead,
        rejection: concurrency_limit::Rejection,
    ) -> AttemptEnd {
        self.router.metrics.count(Counter::RunnerRefusals);
        self.plan.note_refusal(&self.choice.incarnation);
        if rejection.is_by_other() {
            let other = head.headers.text(self.router.names.runner);
            self.router
                .on_denied(&self.choice.incarnation, self.sent_at, other);
        }
        let mut reader = h1::BodyReader::new(head.framing);
        if self.skip_body(&mut reader).await.is_ok() {
            self.return_connection(head, &reader);
        }
        AttemptEnd::Failed(Failure::Refused)
    }

    /// Reads an answer that is sent to the caller only when complete.
    async fn read_complete(&mut self, head: &h1::ResponseHead) -> AttemptEnd {
        let mut reader = h1::BodyReader::new(head.framing);
        let (body, reservation) = match self.read_body(&mut reader).await {
            Ok(end) => end,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        self.in_flight.on_bytes();
        self.return_connection(head, &reader);
        AttemptEnd::Complete(CompleteAnswer {
            status: head.status,
            reason: head.reason.clone(),
            headers: upstream::answer_headers(&self.router.names, &head.headers),
            length: match head.framing {
                h1::Framing::Empty => head.length,
                _ => Some(body.len() as u64),
            },
            body,
            _reservation: Some(reservation),
        })
    }

    /// Relays a stream to the caller, event by event.
    async fn relay(
        &mut self,
        head: &h1::ResponseHead,
        progress: &mut Progress,
        answer: &mut Answer,
    ) -> AttemptEnd {
        let mut reader = h1::BodyReader::new(head.framing);
        let mut events = EventSplitter::after(progress.last_event.clone());
        let mut reservation = BodyReservation::new(self.router, BodyKind::Answer);
        loop {
            let bytes = match self.next_bytes(&mut reader).await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(failure) => return AttemptEnd::Failed(failure),
            };
            self.in_flight.on_bytes();
            let Ok(complete) = events.push(&bytes) else {
                return AttemptEnd::Failed(Failure::BadAnswer);
            };
            if !reservation.try_resize(events.unfinished_bytes()) {
                return AttemptEnd::Failed(Failure::OutOfMemory);
            }
            if complete.is_empty() {
                continue;
            }
            if self.forward_events(head, answer, &complete).await.is_err() {
                return AttemptEnd::CallerLost;
            }
            progress.last_event = events.last().cloned();
            self.router.metrics.count(Counter::Pieces);
        }
        if !events.is_whole() && head.framing == h1::Framing::UntilClose {
            // The stream ended in the middle of an event.
            return AttemptEnd::Failed(Failure::Broken);
        }
        self.return_connection(head, &reader);
        let rest = events.rest();
        if self.forward_events(head, answer, &rest).await.is_err()
            || answer.end_stream().await.is_err()
        {
            return AttemptEnd::CallerLost;
        }
        AttemptEnd::Answered
    }

    async fn forward_events(
        &self,
        head: &h1::ResponseHead,
        answer: &mut Answer,
        events: &[u8],
    ) -> std::io::Result<()> {
        if answer.has_started() {
            if events.is_empty() {
                return Ok(());
            }
            return answer.write_events(events).await;
        }
        self.plan.is_answering.set(true);
        stream_origin::note(self.router, self.plan, self.choice);
        let headers = upstream::answer_headers(&self.router.names, &head.headers);
        answer
            .begin_stream(head.status, &head.reason, &headers, events)
            .await
    }

    /// The next bytes of a stream. Fails a repeatable one when it stalls, neither the
    /// runner nor its agent sends anything, and another runner can continue it: a pause
    /// alone may mean that the runner is busy.
    async fn next_bytes(
        &mut self,
        reader: &mut h1::BodyReader,
    ) -> Result<Option<bytes::Bytes>, Failure> {
        let can_repeat = self.plan.can_repeat();
        let stall = self
            .plan
            .route
            .max_gap
            .mul_f64(self.router.settings.stall_factor);
        let (router, plan) = (self.router.clone(), self.plan);
        let request = backlog::RequestHash::of(&plan.id);
        let incarnation = &self.choice.incarnation;
        let stalled = async {
            if !can_repeat {
                std::future::pending::<()>().await;
            }
            loop {
                let since = router.now();
                router
                    .wait_until_silent(incarnation, request, since, stall)
                    .await;
                if router.has_other_runner(plan, incarnation) {
                    return Err(Failure::Silent);
                }
            }
        };
        let next = next_bytes(reader, &mut self.connection, self.upload.as_mut());
        futures_lite::future::or(next, stalled).await
    }

    /// Returns the connection to the pool if it can be reused: the request was
    /// written, the answer read completely, and no bytes follow it.
    fn return_connection(&mut self, head: &h1::ResponseHead, reader: &h1::BodyReader) {
        self.in_flight.on_answered();
        let is_clean = reader.is_done() && self.connection.buffered() == 0;
        let is_written = self.upload.as_ref().is_some_and(Upload::is_complete);
        if !head.keep_alive || !is_clean || !is_written {
            return;
        }
        let stream = self.connection.stream();
        let connection = std::mem::replace(&mut self.connection, h1::Connection::new(stream));
        let now = self.router.now();
        let mut pool = self.router.pool.borrow_mut();
        pool.put(now, &self.choice.incarnation, connection, head.idle_time());
    }
}

/// Fails when the runner and its agent are silent for the timeout, or when the agent
/// reports after it that the runner computes no prompt. A runner that sends nothing
/// for so long may just be busy, and to move its requests would add to the load. For a request that must not be
/// repeated this only lowers the runner's health and never returns.
async fn answer_timeout<T>(
    router: &Router,
    plan: &Plan,
    choice: &placement::Choice,
    sent_at: Instant,
    can_repeat: bool,
) -> Result<T, Failure> {
    let incarnation = &choice.incarnation;
    let (min, max) = router.settings.silence_range;
    let timeout = plan
        .route
        .objective
        .mul_f64(router.settings.silence_factor)
        .clamp(min, max);
    let request = backlog::RequestHash::of(&plan.id);
    let silent = router.wait_until_silent(incarnation, request, sent_at, timeout);
    let dropped = async {
        if !is_announced(choice) {
            std::future::pending::<()>().await;
        }
        let announce = || notify_agent(router, plan, choice);
        router
            .wait_until_dropped(incarnation, sent_at, timeout, announce)
            .await;
    };
    futures_lite::future::or(silent, dropped).await;
    if can_repeat {
        return Err(Failure::Silent);
    }
    router.on_health_signal(incarnation, runners::HealthSignal::Failure);
    std::future::pending().await
}

/// The next bytes of a body, `None` at its end, while the request is still being written.
async fn next_bytes(
    reader: &mut h1::BodyReader,
    connection: &mut h1::Connection,
    mut upload: Option<&mut Upload>,
) -> Result<Option<bytes::Bytes>, Failure> {
    let is_until_close = reader.is_until_close();
    let next = reader.next(connection);
    let bytes = match upload.as_mut() {
        Some(upload) => upload.beside(next).await,
        None => next.await,
    };
    let bytes = bytes.map_err(|error| read_failure(&error))?;
    let is_written = upload.is_none_or(|upload| upload.is_complete());
    if bytes.is_none() && !attempt_log::is_whole_at_end(!is_until_close, is_written) {
        return Err(Failure::Broken);
    }
    Ok(bytes)
}

fn read_failure(error: &h1::ReadError) -> Failure {
    match error {
        h1::ReadError::Closed | h1::ReadError::Truncated | h1::ReadError::Broken(_) => {
            Failure::Broken
        }
        _ => Failure::BadAnswer,
    }
}

/// What a runner says of its load.
struct Load {
    running: u32,
    waiting: u32,
    /// Time that work takes at the moment, in percent of the usual; not on all services.
    moment: Option<u32>,
}

/// Decodes the load header: requests that run, requests that wait, slots, and on some
/// services the pace of the moment.
fn load(headers: &h1::Headers, name: &str) -> Option<Load> {
    let mut numbers = headers
        .text(name)?
        .split(',')
        .map(|text| text.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
        moment: numbers.nth(1).flatten().filter(|percent| *percent > 0),
    })
}

/// Capacity of a runner's prefix cache.
fn capacity(plan: &Plan) -> Tokens {
    let service = plan.routing.services.get(&*plan.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.map_or(Tokens(0), |engine| engine.capacity)
}
