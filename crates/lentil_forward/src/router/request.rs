//! One request from planning over its attempts to the final answer.

use std::{fmt, rc, time};

use compact_str::{CompactString, format_compact};
use lentil_policy::forward::{attempt_log, placement, routing, team_limits};
use lentil_process::metrics::{Counter, Timing};
use lentil_types::{Instant, ServiceName};
use xxhash_rust::xxh3;

use super::{
    Router,
    answer::{Answer, CompleteAnswer},
    attempt::{self, Failure, Progress},
    limits, pick,
    plan::{Plan, Request},
    stream_origin,
};

/// Runners tried without getting a connection before the request fails.
const MAX_UNREACHABLE: u32 = 4;
/// Pause before a runner that refused to resume a stream is retried; much shorter
/// than a weights update.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(60);
/// Pause before another choice when the chosen runner allows no request after all.
const ADMISSION_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Upper bound of the random addition to a retry delay, as a fraction of it.
const RETRY_JITTER: f64 = 0.5;
/// A request that was running when this many runners died is not retried by the
/// router.
const SUSPECT_CRASHES: usize = 1;

/// Logged in place of an absent value.
const ABSENT: &str = "-";

/// Why a request is answered by the router and not by a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Reason {
    NoConfiguration,
    NoRoute,
    /// The key belongs to no team.
    UnknownKey,
    /// The team has used its limit.
    OverLimit,
    /// The request killed runners.
    Poison,
    /// No runner can take the request now.
    NoRunner,
    /// Nobody knows where the stream that is taken up began, or the route no longer
    /// leads there.
    UnknownOrigin,
    /// Every runner has had as many requests as it allows.
    Limited,
    /// Every runner is expected to answer too late.
    TooLate,
    /// Too many requests wait for a runner.
    QueueFull,
    /// The runner proved that it did not execute the request.
    Refused,
    Unreachable,
    /// The connection broke, the runner was silent, or its answer was invalid.
    RunnerFailed,
    /// The route's timeout or the caller's deadline has passed.
    TimedOut,
    /// The router stops, and may be gone before the request can be answered.
    Stopping,
}

impl Reason {
    /// Metric that counts the router's own answers with this reason.
    fn counter(self) -> Counter {
        match self {
            Self::NoConfiguration => Counter::OwnNoConfiguration,
            Self::NoRoute => Counter::OwnNoRoute,
            Self::UnknownKey => Counter::OwnUnknownKey,
            Self::OverLimit => Counter::OwnOverLimit,
            Self::Poison => Counter::OwnPoison,
            Self::NoRunner => Counter::OwnNoRunner,
            Self::UnknownOrigin => Counter::OwnUnknownOrigin,
            Self::Limited => Counter::OwnLimited,
            Self::TooLate => Counter::OwnTooLate,
            Self::QueueFull => Counter::OwnQueueFull,
            Self::Refused => Counter::OwnRefused,
            Self::Unreachable => Counter::OwnUnreachable,
            Self::RunnerFailed => Counter::OwnRunnerFailed,
            Self::TimedOut => Counter::OwnTimedOut,
            Self::Stopping => Counter::OwnStopping,
        }
    }
}

enum RequestEnd {
    /// A runner's answer was sent to the caller.
    Answered,
    /// Writing to the caller failed.
    CallerLost,
    /// The router answers itself, with this retry delay.
    OwnAnswer(Reason, time::Duration),
}

pub(super) async fn serve(router: &rc::Rc<Router>, request: &Request, answer: &mut Answer) {
    router.metrics.count(Counter::Requests);
    let mut plan = match plan(router, request) {
        Ok(plan) => plan,
        Err(rejection) => return reject(router, request, answer, rejection).await,
    };
    let charge = match limits::admit(router, &plan, request).await {
        Ok(charge) => charge,
        Err(refusal) => return refuse_over_limit(router, &plan, answer, &refusal).await,
    };
    let mut progress = Progress::default();
    if let Err(stream_origin::Unknown) = stream_origin::bind(router, &mut plan).await {
        let end = RequestEnd::OwnAnswer(Reason::UnknownOrigin, router.settings.retry_after);
        drop(charge);
        return finish(router, &plan, &progress, answer, end).await;
    }
    router.state().on_request(plan.received, &plan.service);
    note_return(router, &plan);
    let end = {
        let run = run(router, &plan, request, &mut progress, answer);
        let timeout = async {
            let margin = router.settings.answer_margin;
            smol::Timer::after(plan.time_to_start(router.now(), margin)).await;
            if plan.is_answering.get() {
                smol::Timer::after(plan.time_left(router.now())).await;
            }
            RequestEnd::OwnAnswer(Reason::TimedOut, router.settings.retry_after)
        };
        let stopped = async {
            router.last_answers().await;
            RequestEnd::OwnAnswer(Reason::Stopping, router.settings.retry_after)
        };
        let end = futures_lite::future::or(timeout, stopped);
        futures_lite::future::or(run, end).await
    };
    // A caller that is told that its request has not run may send it again at once.
    drop(charge);
    finish(router, &plan, &progress, answer, end).await;
}

/// Notes whether the caller comes back: after a refusal, as it was told to, or for the rest
/// of a stream that broke off.
fn note_return(router: &Router, plan: &Plan) {
    let mut state = router.state();
    let returns = state.refused.on_request(plan.received, plan.fingerprint);
    plan.returns.set(returns || plan.resumes.is_some());
}

/// Why and how a request is answered without being sent to any runner.
struct Rejection {
    status: u16,
    reason: Reason,
    retry: time::Duration,
}

/// Resolves route, team and service, or returns how to reject the request.
fn plan(router: &Router, request: &Request) -> Result<Plan, Rejection> {
    let rejection = |status, reason| Rejection {
        status,
        reason,
        retry: router.settings.retry_after,
    };
    let routing = router.state().routing().cloned();
    let routing = routing.ok_or_else(|| rejection(503, Reason::NoConfiguration))?;
    if router.outdated_for().is_some() {
        router.metrics.count(Counter::DecidedOutdated);
    }
    let head = &request.head;
    let route = routing.route(head.host().unwrap_or_default(), head.path());
    let route = route
        .ok_or_else(|| rejection(404, Reason::NoRoute))?
        .clone();
    let key = head.headers.text(router.names.key).map(str::trim);
    let team = routing.team(&route, key);
    let team = team
        .map_err(|_| rejection(401, Reason::UnknownKey))?
        .cloned();
    let service = choose_service(router, &routing, &route);
    let mut plan = Plan::new(&router.names, routing, route, team, service, request);
    if let Some(shutdown) = router.shutdown.get() {
        let has_others = router.state().routers() > 1;
        if !shutdown.admits(request.received, plan.answer_by, has_others) {
            return Err(Rejection {
                // Another router can take it now.
                retry: time::Duration::ZERO,
                ..rejection(503, Reason::Stopping)
            });
        }
        plan.limit_time(shutdown.last_answers_at());
    }
    if router.state().is_poison(request.received, plan.fingerprint) {
        return Err(rejection(503, Reason::Poison));
    }
    if let Some(retry) = router.check_refusal(&plan) {
        return Err(Rejection {
            retry,
            ..rejection(503, Reason::Poison)
        });
    }
    Ok(plan)
}

fn choose_service(
    router: &Router,
    routing: &routing::Routing,
    route: &routing::Route,
) -> ServiceName {
    use rand::RngExt as _;
    let point = router.rng.borrow_mut().random::<f64>();
    routing.target(route, point).clone()
}

/// Answers a request that is not sent to any runner.
async fn reject(router: &Router, request: &Request, answer: &mut Answer, rejection: Rejection) {
    let Rejection {
        status,
        reason,
        retry,
    } = rejection;
    router.metrics.count(Counter::RequestsRefused);
    router.metrics.count(reason.counter());
    if router.log_quota.try_take(router.now()) {
        let id = request.head.headers.text(router.names.request_id);
        let version = router
            .state()
            .routing()
            .map_or(0, |routing| routing.version.0);
        let config_age_ms = router.state().routing_age(router.now()).as_millis();
        let outdated_ms = router.outdated_for().map(|lag| lag.as_millis());
        let host = request.head.host().unwrap_or_default().to_owned();
        log::info!(
            request = id.unwrap_or("-"), reason:%, status, config = version,
            config_age_ms, outdated_ms:?,
            retry_ms = retry.as_millis(), host, path = request.head.path();
            "request rejected"
        );
    }
    send_own_answer(router, answer, status, retry).await;
}

/// Refuses a request whose team has used its limit.
async fn refuse_over_limit(
    router: &Router,
    plan: &Plan,
    answer: &mut Answer,
    refusal: &team_limits::Refusal,
) {
    const STATUS: u16 = 429;
    let reason = Reason::OverLimit;
    router.metrics.count(Counter::RequestsRefused);
    router.metrics.count(reason.counter());
    if router.log_quota.try_take(router.now()) {
        let team = plan.team.as_ref().map(|team| &team.name);
        let part = team.and_then(|team| router.team_part(team));
        log::info!(
            request = plan.id.as_str(), reason:%, status = STATUS, team:% = or_dash(team),
            config = plan.routing.version.0, needed = refusal.needed.0, available = refusal.available.0,
            told_ms:% = or_dash(refusal.age.map(|age| age.as_millis())), part:% = or_dash(part),
            retry_ms = refusal.retry_after.as_millis(), age_ms = router.now().since(plan.received).as_millis();
            "request over its team's limit"
        );
    }
    send_own_answer(router, answer, STATUS, refusal.retry_after).await;
}

/// Answers for the router itself. Only statuses 429 and 503 carry a retry delay: they mean
/// that the request has not run.
async fn send_own_answer(router: &Router, answer: &mut Answer, status: u16, retry: time::Duration) {
    let delay = match status {
        // The delay of a refusal over a limit has its jitter already.
        429 => Some(retry),
        503 => Some(with_jitter(router, retry)),
        _ => None,
    };
    let retry_after = delay.map(|delay| (router.names.retry_after, delay));
    if let Err(error) = answer.write_own(status, retry_after).await {
        log::debug!(error:%; "caller disconnected before its answer was written");
    }
}

async fn run(
    router: &rc::Rc<Router>,
    plan: &Plan,
    request: &Request,
    progress: &mut Progress,
    answer: &mut Answer,
) -> RequestEnd {
    let mut exclude = Vec::new();
    // A stream that has started is not given up after a refusal: the runner that
    // refused to resume it is retried.
    let mut only_runner = None;
    let mut unreachable = 0;
    let mut fallback: Option<CompleteAnswer> = None;
    let mut reason = Reason::NoRunner;
    let mut retry = router.settings.retry_after;
    loop {
        let choice = match pick::pick(router, plan, &exclude, only_runner.as_ref()).await {
            Ok(choice) => choice,
            Err(refusal) => {
                if exclude.is_empty() {
                    (reason, retry) = refusal_reason(router, refusal);
                }
                break;
            }
        };
        if let Some(refused_for) = router.check_refusal(plan) {
            (reason, retry) = (Reason::Poison, refused_for);
            break;
        }
        if plan.attempt_log.borrow().sent() > 0 && !may_retry(router, plan) {
            break;
        }
        if router.settings.sheds_load && answer_would_be_late(router, plan) {
            reason = Reason::TooLate;
            break;
        }
        let Some(permit) = router.admit(&choice.incarnation) else {
            // Not reached unless the choice is older than the runner's last word.
            smol::Timer::after(ADMISSION_PAUSE).await;
            continue;
        };
        // On the heap: a request that waits for a runner takes less memory.
        let attempt = Box::pin(attempt::run(
            router, plan, request, &choice, permit, progress, answer,
        ));
        let end = attempt.await;
        exclude.push(choice.incarnation.name.clone());
        match end {
            attempt::AttemptEnd::Answered => return RequestEnd::Answered,
            attempt::AttemptEnd::CallerLost => return RequestEnd::CallerLost,
            attempt::AttemptEnd::Complete(complete) => {
                if !is_worth_retry(plan, &complete) {
                    return write_answer(plan, answer, &complete).await;
                }
                reason = Reason::RunnerFailed;
                fallback = Some(complete);
            }
            attempt::AttemptEnd::Failed(failure) => {
                log_failure(router, plan, progress, &choice, failure);
                reason = failure_reason(failure);
                unreachable += u32::from(failure == Failure::Unreachable);
                if failure == Failure::Refused && answer.has_started() {
                    only_runner = exclude.pop();
                    smol::Timer::after(RESUME_PAUSE).await;
                    continue;
                }
            }
        }
        let may_send = plan.attempt_log.borrow().may_send(&plan.route);
        let can_continue = !answer.has_started() || plan.route.repeat == routing::Repeat::Resumable;
        if !may_send || !can_continue || unreachable >= MAX_UNREACHABLE {
            break;
        }
    }
    match fallback {
        Some(complete) if !answer.has_started() => write_answer(plan, answer, &complete).await,
        _ => RequestEnd::OwnAnswer(reason, retry),
    }
}

/// Whether the caller leaves before a runner that is sent the request now can begin to
/// answer.
fn answer_would_be_late(router: &Router, plan: &Plan) -> bool {
    plan.start_by.since(router.now()) < pick::fixed_first_byte(router)
}

async fn write_answer(plan: &Plan, answer: &mut Answer, complete: &CompleteAnswer) -> RequestEnd {
    plan.is_answering.set(true);
    match answer.write_complete(complete).await {
        Ok(()) => RequestEnd::Answered,
        Err(_) => RequestEnd::CallerLost,
    }
}

/// Whether crashes and the retry budget allow another attempt.
fn may_retry(router: &Router, plan: &Plan) -> bool {
    let now = router.now();
    let mut state = router.state();
    if state.crashes(plan.fingerprint) >= SUSPECT_CRASHES {
        return false;
    }
    let has_budget = state.try_take_retry(now, &plan.service);
    let counter = if has_budget {
        Counter::Retries
    } else {
        Counter::RetriesDenied
    };
    router.metrics.count(counter);
    has_budget
}

/// Whether a runner's error status is retried at another runner.
fn is_worth_retry(plan: &Plan, complete: &CompleteAnswer) -> bool {
    let may_send = plan.attempt_log.borrow().may_send(&plan.route);
    let is_safe = plan.route.repeat == routing::Repeat::Idempotent;
    complete.status >= 500 && is_safe && may_send
}

fn log_failure(
    router: &Router,
    plan: &Plan,
    progress: &Progress,
    choice: &placement::Choice,
    failure: Failure,
) {
    router.metrics.count(Counter::AttemptsFailed);
    if router.log_quota.try_take(router.now()) {
        let age = router.now().since(plan.received).as_millis();
        let rejection = progress.rejection;
        log::info!(
            request = plan.id.as_str(), runner:% = choice.incarnation.name, born = choice.incarnation.boot_id,
            software:% = choice.software, failure:%, status:% = or_dash(rejection.map(|rejection| rejection.status)),
            rejection:% = or_dash(rejection.map(|rejection| rejection.kind())), age_ms = age, attempts = plan.attempt_log.borrow().sent();
            "attempt failed"
        );
    }
}

async fn finish(
    router: &Router,
    plan: &Plan,
    progress: &Progress,
    answer: &mut Answer,
    end: RequestEnd,
) {
    let (reason, retry) = match end {
        RequestEnd::Answered => return log_answered(router, plan, progress),
        RequestEnd::CallerLost => {
            router.metrics.count(Counter::CallersGone);
            return;
        }
        RequestEnd::OwnAnswer(reason, retry) => (reason, retry),
    };
    router.metrics.count(reason.counter());
    let state = plan.attempt_log.borrow().execution_state();
    if answer.has_started() {
        answer.abort();
        router.metrics.count(Counter::StreamsCut);
        return log_own_answer(router, plan, progress, reason, retry, None);
    }
    let status = match (state, reason) {
        (attempt_log::ExecutionState::NotRun, _) => 503,
        (attempt_log::ExecutionState::Unknown, Reason::TimedOut | Reason::Stopping) => 504,
        (attempt_log::ExecutionState::Unknown, _) => 502,
    };
    router.metrics.count(match state {
        attempt_log::ExecutionState::NotRun => Counter::OutcomeNotRun,
        attempt_log::ExecutionState::Unknown => Counter::OutcomeUnknown,
    });
    log_own_answer(router, plan, progress, reason, retry, Some(status));
    if status == 503 && router.settings.sheds_load {
        let now = router.now();
        let mut state = router.state();
        state.refused.on_refused(now, plan.fingerprint, retry);
    }
    send_own_answer(router, answer, status, retry).await;
}

fn log_answered(router: &Router, plan: &Plan, progress: &Progress) {
    router.metrics.count(Counter::OutcomeDone);
    let took = router.now().since(plan.received);
    router.metrics.time(Timing::WholeAnswer, took);
    if !is_logged(router, plan, progress) || !router.log_quota.try_take(router.now()) {
        return;
    }
    let since = |at: Instant| at.since(plan.received).as_millis();
    let (waited, first_byte) = (
        progress.attempted_at.map(since),
        progress.first_byte.map(since),
    );
    let segment = placement::shared_prefix(&router.settings.placement, &plan.segments);
    log::info!(
        request = plan.id.as_str(), service:% = plan.service, config = plan.routing.version.0,
        runner = runner_name(progress), software:% = or_dash(progress.software.as_ref()),
        resumes:% = or_dash(plan.resumes.as_ref()), told_ms:% = or_dash(progress.status_age.map(|age| age.as_millis())),
        team:% = or_dash(plan.team.as_ref().map(|team| &team.name)), rank = plan.priority,
        weights:% = or_dash(progress.weights), part:% = or_dash(segment.map(|(id, _)| id.0)),
        missing = progress.uncached.0, reads = progress.prefills, home:% = or_dash(progress.home_rank), source:% = or_dash(progress.source),
        saves = progress.save_to.is_some(), attempts = plan.attempt_log.borrow().sent(), waited_ms:% = or_dash(waited), first_ms:% = or_dash(first_byte),
        expected_ms = progress.expected_ms, total_ms = took.as_millis(),
        speed:% = or_dash(progress.speed.map(|speed| hundredths(speed.speed))), pace:% = or_dash(progress.speed.map(|speed| hundredths(speed.moment)));
        "request answered"
    );
}

/// Whether an answered request is logged: a sample of those on time, and all others, also
/// those that take a stream up again.
/// The sample depends on the id, so that routers and tools agree on it.
fn is_logged(router: &Router, plan: &Plan, progress: &Progress) -> bool {
    let first_byte = progress.first_byte.map(|at| at.since(plan.received));
    let is_late = first_byte.is_none_or(|wait| wait > plan.route.objective);
    let was_retried = plan.attempt_log.borrow().sent() > 1;
    let is_sampled = xxh3::xxh3_64(plan.id.as_bytes()).is_multiple_of(router.settings.log_sample);
    is_late || was_retried || is_sampled || plan.resumes.is_some()
}

fn log_own_answer(
    router: &Router,
    plan: &Plan,
    progress: &Progress,
    reason: Reason,
    retry: time::Duration,
    status: Option<u16>,
) {
    if !router.log_quota.try_take(router.now()) {
        return;
    }
    log::info!(
        request = plan.id.as_str(), service:% = plan.service, config = plan.routing.version.0,
        reason:%, status:% = or_dash(status), verdict:% = plan.attempt_log.borrow().execution_state(),
        runner = runner_name(progress), software:% = or_dash(progress.software.as_ref()),
        resumes:% = or_dash(plan.resumes.as_ref()), told_ms:% = or_dash(progress.status_age.map(|age| age.as_millis())),
        expected_ms = progress.expected_ms, attempts = plan.attempt_log.borrow().sent(),
        last_event:% = or_dash(progress.last_event.as_ref()), retry_ms = retry.as_millis(),
        age_ms = router.now().since(plan.received).as_millis();
        "request not answered by a runner"
    );
}

fn runner_name(progress: &Progress) -> &str {
    progress
        .incarnation
        .as_ref()
        .map_or(ABSENT, |incarnation| incarnation.name.as_str())
}

fn hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn or_dash(value: Option<impl fmt::Display>) -> CompactString {
    value.map_or(ABSENT.into(), |value| format_compact!("{value}"))
}

fn refusal_reason(router: &Router, refusal: placement::Refusal) -> (Reason, time::Duration) {
    let reason = match refusal {
        placement::Refusal::NoRunner => Reason::NoRunner,
        placement::Refusal::Limited { .. } => Reason::Limited,
        placement::Refusal::Full { .. } => Reason::QueueFull,
        placement::Refusal::Busy { .. } | placement::Refusal::TooLate { .. } => Reason::TooLate,
    };
    (reason, refusal.retry_after(router.settings.retry_after))
}

fn failure_reason(failure: Failure) -> Reason {
    match failure {
        Failure::Unreachable => Reason::Unreachable,
        Failure::Refused => Reason::Refused,
        Failure::Withdrawn => Reason::Poison,
        Failure::Broken | Failure::Silent | Failure::BadAnswer | Failure::OutOfMemory => {
            Reason::RunnerFailed
        }
    }
}

/// Adds jitter, so that callers rejected together do not retry together.
fn with_jitter(router: &Router, after: time::Duration) -> time::Duration {
    after + router.jitter(after.mul_f64(RETRY_JITTER))
}
