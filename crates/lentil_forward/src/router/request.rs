//! The life of one request.

use std::{fmt, rc, time};

use compact_str::{CompactString, format_compact};
use lentil_policy::forward::{attempt_log, placement, routing};
use lentil_process::metrics::{Counter, Timing};
use lentil_types::{Instant, ServiceName};

use super::{
    Router,
    answer::{Answer, Whole},
    attempt::{self, Failure, Progress},
    pick,
    plan::{Plan, Request},
};

/// Most runners that are tried when no connection can be opened.
const MAX_UNREACHED: u32 = 4;
/// Pause before a runner that refused to go on with a stream is asked again;
/// much shorter than the time that new weights take.
const ASK_AGAIN: time::Duration = time::Duration::from_millis(60);
/// Most random time that is added to advice to refused callers, as a part of it.
const RETRY_SPREAD: f64 = 0.5;
/// A request that ran when this many runners died is not sent again by a router
/// on its own account.
const DOUBTFUL_CRASHES: usize = 1;

/// Stands in the log for a value that there is not.
const NOTHING: &str = "-";

/// Why a request is answered by the router and not by a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The key belongs to no team.
    UnknownKey,
    /// It killed runners.
    Poison,
    /// No runner may take requests now.
    NoRunner,
    /// Every runner would answer too late.
    TooLate,
    /// The runner refused it.
    Refused,
    /// No runner could be reached.
    Unreachable,
    /// The runner broke off, stayed silent, or did not answer in the protocol.
    RunnerFailed,
    /// The route's timeout or the caller's deadline is over.
    TimedOut,
}

impl Reason {
    /// What counts answers for this reason.
    fn counter(self) -> Counter {
        match self {
            Self::NoConfiguration => Counter::OwnNoConfiguration,
            Self::NoRoute => Counter::OwnNoRoute,
            Self::UnknownKey => Counter::OwnUnknownKey,
            Self::Poison => Counter::OwnPoison,
            Self::NoRunner => Counter::OwnNoRunner,
            Self::TooLate => Counter::OwnTooLate,
            Self::Refused => Counter::OwnRefused,
            Self::Unreachable => Counter::OwnUnreachable,
            Self::RunnerFailed => Counter::OwnRunnerFailed,
            Self::TimedOut => Counter::OwnTimedOut,
        }
    }
}

/// How a request ended.
enum RequestEnd {
    /// The caller has an answer of a runner.
    Answered,
    /// The caller could not be written to.
    CallerLost,
    /// The router must answer.
    Own(Reason, time::Duration),
}

/// Gives a caller the answer to one request.
pub(super) async fn serve(router: &rc::Rc<Router>, request: &Request, answer: &mut Answer) {
    router.metrics.count(Counter::Requests);
    let plan = match plan(router, request) {
        Ok(plan) => plan,
        Err((status, reason)) => return turn_away(router, request, answer, status, reason).await,
    };
    router.state().on_request(plan.received, &plan.service);
    let mut progress = Progress::default();
    let end = {
        let run = run(router, &plan, request, &mut progress, answer);
        let late = async {
            let margin = router.settings.answer_margin;
            smol::Timer::after(plan.left_unanswered(router.now(), margin)).await;
            if plan.answering.get() {
                smol::Timer::after(plan.left(router.now())).await;
            }
            RequestEnd::Own(Reason::TimedOut, router.settings.retry_after)
        };
        futures_lite::future::or(run, late).await
    };
    finish(router, &plan, &progress, answer, end).await;
}

/// What the request asks for, or the status that it is answered with.
fn plan(router: &Router, request: &Request) -> Result<Plan, (u16, Reason)> {
    let state = router.state();
    let routing = state
        .routing()
        .ok_or((503, Reason::NoConfiguration))?
        .clone();
    let head = &request.head;
    let route = routing.route(head.host().unwrap_or_default(), head.path());
    let route = route.ok_or((404, Reason::NoRoute))?.clone();
    let key = head.headers.text(router.names.key).map(str::trim);
    let team = routing.team(&route, key);
    let team = team.map_err(|_| (401, Reason::UnknownKey))?.cloned();
    let service = target(router, &routing, &route);
    let plan = Plan::new(&router.names, routing, route, team, service, request);
    if state.is_poison(request.received, plan.fingerprint) {
        return Err((503, Reason::Poison));
    }
    Ok(plan)
}

fn target(router: &Router, routing: &routing::Routing, route: &routing::Route) -> ServiceName {
    use rand::RngExt as _;
    let point = router.rng.borrow_mut().random::<f64>();
    routing.target(route, point).clone()
}

/// Answers a request that no runner gets.
async fn turn_away(
    router: &Router,
    request: &Request,
    answer: &mut Answer,
    status: u16,
    reason: Reason,
) {
    router.metrics.count(Counter::RequestsRefused);
    router.metrics.count(reason.counter());
    if router.lines.take(router.now()) {
        let id = request.head.headers.text(router.names.request_id);
        let version = router
            .state()
            .routing()
            .map_or(0, |routing| routing.version.0);
        let host = request.head.host().unwrap_or_default().to_owned();
        log::info!(
            request = id.unwrap_or("-"), reason:%, status, config = version,
            host, path = request.head.path();
            "request turned away"
        );
    }
    answer_own(router, answer, status, router.settings.retry_after).await;
}

/// Gives a caller an answer of the router's own. Only a request that has not run
/// is told when to come back.
async fn answer_own(router: &Router, answer: &mut Answer, status: u16, retry: time::Duration) {
    let retry = (status == 503).then(|| (router.names.retry_after, spread(router, retry)));
    if let Err(error) = answer.own(status, retry).await {
        log::debug!(error:%; "a caller left before its answer");
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
    // A stream that was begun is kept up: the last runner that it may go on at
    // is asked again after a refusal.
    let mut only = None;
    let mut unreached = 0;
    let mut fallback: Option<Whole> = None;
    let mut reason = Reason::NoRunner;
    let mut retry = router.settings.retry_after;
    loop {
        let choice = match pick::pick(router, plan, &exclude, only.as_ref()).await {
            Ok(choice) => choice,
            Err(refusal) => {
                if exclude.is_empty() {
                    (reason, retry) = of_refusal(router, refusal);
                }
                break;
            }
        };
        if plan.attempt_log.borrow().sent() > 0 && !may_retry(router, plan) {
            break;
        }
        let end = attempt::run(router, plan, request, &choice, progress, answer).await;
        exclude.push(choice.incarnation.name.clone());
        match end {
            attempt::AttemptEnd::Answered => return RequestEnd::Answered,
            attempt::AttemptEnd::CallerLost => return RequestEnd::CallerLost,
            attempt::AttemptEnd::Whole(whole) => {
                if !is_worth_retry(plan, &whole) {
                    return give(plan, answer, &whole).await;
                }
                reason = Reason::RunnerFailed;
                fallback = Some(whole);
            }
            attempt::AttemptEnd::Failed(failure) => {
                note_failure(router, plan, &choice, failure);
                reason = of_failure(failure);
                unreached += u32::from(failure == Failure::Unreachable);
                if failure == Failure::Refused && answer.has_begun() {
                    only = exclude.pop();
                    smol::Timer::after(ASK_AGAIN).await;
                    continue;
                }
            }
        }
        let may_send = plan.attempt_log.borrow().may_send(&plan.route);
        let can_go_on = !answer.has_begun() || plan.route.repeat == routing::Repeat::Resumable;
        if !may_send || !can_go_on || unreached >= MAX_UNREACHED {
            break;
        }
    }
    match fallback {
        Some(whole) if !answer.has_begun() => give(plan, answer, &whole).await,
        _ => RequestEnd::Own(reason, retry),
    }
}

async fn give(plan: &Plan, answer: &mut Answer, whole: &Whole) -> RequestEnd {
    plan.answering.set(true);
    match answer.whole(whole).await {
        Ok(()) => RequestEnd::Answered,
        Err(_) => RequestEnd::CallerLost,
    }
}

/// Whether the failed request may be sent to another runner.
fn may_retry(router: &Router, plan: &Plan) -> bool {
    let now = router.now();
    let mut state = router.state();
    if state.crashes(plan.fingerprint) >= DOUBTFUL_CRASHES {
        return false;
    }
    let has_budget = state.take_retry(now, &plan.service);
    let counter = if has_budget {
        Counter::Retries
    } else {
        Counter::RetriesDenied
    };
    router.metrics.count(counter);
    has_budget
}

/// Whether a runner's failure is worth another runner's try.
fn is_worth_retry(plan: &Plan, whole: &Whole) -> bool {
    let may_send = plan.attempt_log.borrow().may_send(&plan.route);
    let is_safe = plan.route.repeat == routing::Repeat::Idempotent;
    whole.status >= 500 && is_safe && may_send
}

fn note_failure(router: &Router, plan: &Plan, choice: &placement::Choice, failure: Failure) {
    router.metrics.count(Counter::AttemptsFailed);
    if router.lines.take(router.now()) {
        let age = router.now().since(plan.received).as_millis();
        log::info!(
            request = plan.id.as_str(), runner:% = choice.incarnation.name, born = choice.incarnation.boot_id,
            failure:%, age_ms = age, attempts = plan.attempt_log.borrow().sent();
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
        RequestEnd::Answered => return note_answered(router, plan, progress),
        RequestEnd::CallerLost => {
            router.metrics.count(Counter::CallersGone);
            return;
        }
        RequestEnd::Own(reason, retry) => (reason, retry),
    };
    router.metrics.count(reason.counter());
    let state = plan.attempt_log.borrow().execution_state();
    if answer.has_begun() {
        answer.abort();
        router.metrics.count(Counter::StreamsCut);
        return note_own(router, plan, progress, reason, retry, None);
    }
    let status = match (state, reason) {
        (attempt_log::ExecutionState::NotRun, _) => 503,
        (attempt_log::ExecutionState::Unknown, Reason::TimedOut) => 504,
        (attempt_log::ExecutionState::Unknown, _) => 502,
    };
    router.metrics.count(match state {
        attempt_log::ExecutionState::NotRun => Counter::OutcomeNotRun,
        attempt_log::ExecutionState::Unknown => Counter::OutcomeUnknown,
    });
    note_own(router, plan, progress, reason, retry, Some(status));
    answer_own(router, answer, status, retry).await;
}

fn note_answered(router: &Router, plan: &Plan, progress: &Progress) {
    router.metrics.count(Counter::OutcomeDone);
    let took = router.now().since(plan.received);
    router.metrics.time(Timing::WholeAnswer, took);
    if !router.lines.take(router.now()) {
        return;
    }
    let since = |at: Instant| at.since(plan.received).as_millis();
    let (waited, first) = (progress.begun.map(since), progress.first.map(since));
    let segment = placement::shared_prefix(&router.settings.placement, &plan.segments);
    log::info!(
        request = plan.id.as_str(), service:% = plan.service, config = plan.routing.version.0,
        runner = runner(progress), told_ms:% = show(progress.told.map(|age| age.as_millis())),
        team:% = show(plan.team.as_ref().map(|team| &team.name)), rank = plan.priority,
        weights:% = show(progress.weights), part:% = show(segment.map(|(id, _)| id.0)),
        missing = progress.uncached.0, reads = progress.prefills, source:% = show(progress.source),
        attempts = plan.attempt_log.borrow().sent(), waited_ms:% = show(waited), first_ms:% = show(first),
        expected_ms = progress.expected, total_ms = took.as_millis();
        "request answered"
    );
}

fn note_own(
    router: &Router,
    plan: &Plan,
    progress: &Progress,
    reason: Reason,
    retry: time::Duration,
    status: Option<u16>,
) {
    if !router.lines.take(router.now()) {
        return;
    }
    log::info!(
        request = plan.id.as_str(), service:% = plan.service, config = plan.routing.version.0,
        reason:%, status:% = show(status), verdict:% = plan.attempt_log.borrow().execution_state(),
        runner = runner(progress), told_ms:% = show(progress.told.map(|age| age.as_millis())),
        expected_ms = progress.expected, attempts = plan.attempt_log.borrow().sent(),
        last_event:% = show(progress.last.as_ref()), retry_ms = retry.as_millis(),
        age_ms = router.now().since(plan.received).as_millis();
        "request not answered by a runner"
    );
}

/// The runner of the last attempt, for the log.
fn runner(progress: &Progress) -> &str {
    progress
        .incarnation
        .as_ref()
        .map_or(NOTHING, |incarnation| incarnation.name.as_str())
}

/// A value for the log that may be missing.
fn show(value: Option<impl fmt::Display>) -> CompactString {
    value.map_or(NOTHING.into(), |value| format_compact!("{value}"))
}

fn of_refusal(router: &Router, refusal: placement::Refusal) -> (Reason, time::Duration) {
    match refusal {
        placement::Refusal::NoRunner => (Reason::NoRunner, router.settings.retry_after),
        placement::Refusal::Busy { wait } | placement::Refusal::TooLate { wait } => {
            (Reason::TooLate, wait / 2)
        }
    }
}

fn of_failure(failure: Failure) -> Reason {
    match failure {
        Failure::Unreachable => Reason::Unreachable,
        Failure::Refused => Reason::Refused,
        Failure::Broken | Failure::Silent | Failure::BadAnswer => Reason::RunnerFailed,
    }
}

/// Spreads advice, so that callers refused together do not return together.
fn spread(router: &Router, after: time::Duration) -> time::Duration {
    after + router.jitter(after.mul_f64(RETRY_SPREAD))
}
