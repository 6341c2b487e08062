//! Keeps a stream at the service and software version that began it, also when its caller
//! takes it up at another router.

use std::{rc, time};

use lentil_policy::forward::{
    backlog, placement, routing,
    stream_origins::{Origin, OriginLookup},
};
use lentil_process::metrics::Counter;

use super::{Router, plan::Plan};
use crate::{
    datagram::{Datagram, StreamOrigin, StreamRun},
    peers::Recipient,
};

/// Nobody knows where the stream began, or the route no longer leads there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unknown;

/// How long streams of a route are remembered, as a multiple of its timeout: a caller that
/// takes one up may have waited as long for it already.
const RETENTION_TIMEOUTS: u32 = 2;
/// Agents that keep where a stream began, besides that of its runner: while a single version
/// serves, and while several do, since runners of the old one leave.
const KEEPERS: (usize, usize) = (1, 2);
/// Agents that are asked first: more than keep a stream, since runners may have come or
/// left since.
const KEEPERS_ASKED: usize = 4;

fn retention(plan: &Plan) -> time::Duration {
    plan.route.timeout.saturating_mul(RETENTION_TIMEOUTS)
}

/// Binds a request that takes a stream up again to the stream's origin.
pub(super) async fn bind(router: &rc::Rc<Router>, plan: &mut Plan) -> Result<(), Unknown> {
    if plan.resumes.is_none() || !plan.route.repeat.is_stream() {
        return Ok(());
    }
    let origin = match known_origin(router, plan) {
        Some(origin) => origin,
        None => ask(router, plan).await.ok_or(Unknown)?,
    };
    let mut targets = plan.route.targets.iter();
    if !targets.any(|target| target.service == origin.service && target.weight > 0) {
        return Err(Unknown);
    }
    router.metrics.count(Counter::StreamsTakenUp);
    let now = router.now();
    let mut state = router.state();
    state
        .streams
        .note(now, plan.stream(), origin.clone(), retention(plan));
    plan.service = origin.service;
    plan.software.replace(Some(origin.software));
    Ok(())
}

/// The origin as this router has noted it.
fn known_origin(router: &Router, plan: &Plan) -> Option<Origin> {
    let now = router.now();
    router.state().streams.get(now, plan.stream()).cloned()
}

/// The only origin that there may be, as far as this router knows.
fn sole_origin(router: &Router, plan: &Plan) -> Option<Origin> {
    let now = router.now();
    let state = router.state();
    let [target] = &plan.route.targets[..] else {
        return None;
    };
    let runners = state.runners();
    let software = runners.sole_software(now, &target.service, retention(plan))?;
    Some(Origin {
        service: target.service.clone(),
        software: software.clone(),
    })
}

/// The only origin that there may be: no runner was registered before the request arrived
/// that this router does not know.
fn proven_origin(router: &Router, plan: &Plan) -> Option<Origin> {
    let is_current = router.state().runners().is_current(plan.received);
    sole_origin(router, plan).filter(|_| is_current)
}

/// Asks the store whether the only version that this router knows is the only one. Then
/// asks the other routers and those agents that should know, then all agents of the route's
/// services, again and again: datagrams may be lost, and after a start of all routers
/// everything is slow.
async fn ask(router: &rc::Rc<Router>, plan: &Plan) -> Option<Origin> {
    let stream = plan.stream();
    let settings = &router.settings;
    let time_left = plan.time_to_start(router.now(), settings.answer_margin);
    let ask_until = router.now() + settings.origin_wait.min(time_left);
    let has_sole = sole_origin(router, plan).is_some();
    if has_sole {
        let wait = settings.origin_interval.min(time_left);
        within(wait, router.wait_until_current(plan.received)).await;
        if let Some(origin) = proven_origin(router, plan) {
            return Some(origin);
        }
    }
    let lookup = Lookup::start(router.clone(), stream);
    put_query(router, plan, &keepers(router, plan));
    loop {
        let wait = ask_until.since(router.now()).min(settings.origin_interval);
        within(wait, lookup.wait_until(OriginLookup::has_answer)).await;
        if lookup.has_answer() || router.now() >= ask_until {
            break;
        }
        if let Some(origin) = proven_origin(router, plan) {
            return Some(origin);
        }
        let targets = plan.route.targets.iter();
        let agents = targets.map(|target| Recipient::AgentsOf(target.service.clone()));
        put_query(router, plan, &agents.collect::<Vec<_>>());
    }
    // Agents of several versions may answer, and a router knows better.
    let confirmed = lookup.wait_until(OriginLookup::is_confirmed);
    if lookup.has_answer() {
        within(settings.ask_timeout, confirmed).await;
    }
    let origin = lookup.origin();
    if origin.is_none() {
        log_unknown(router, plan, has_sole);
    }
    origin
}

fn put_query(router: &Router, plan: &Plan, agents: &[Recipient]) {
    for recipient in std::iter::once(&Recipient::Routers).chain(agents) {
        let query = Datagram::StreamQuery(plan.stream());
        router.outbox.put(recipient.clone(), query);
    }
}

/// The agents that should know where the stream began.
fn keepers(router: &Router, plan: &Plan) -> Vec<Recipient> {
    let state = router.state();
    let targets = plan.route.targets.iter();
    let keepers = targets.flat_map(|target| {
        let runners = state.runners();
        runners.stream_keepers(&target.service, plan.stream(), KEEPERS_ASKED)
    });
    let agents = keepers.map(|runner| Recipient::Agent(runner.registration.address.ip()));
    agents.collect()
}

/// Logs that the question for a stream's origin had no answer that decides it.
fn log_unknown(router: &Router, plan: &Plan, has_sole: bool) {
    let now = router.now();
    if !router.log_quota.try_take(now) {
        return;
    }
    let state = router.state();
    let agents = state.runners().iter().filter(|runner| {
        let mut targets = plan.route.targets.iter();
        runner.has_agent() && targets.any(|target| target.service == runner.registration.service)
    });
    let lookup = state.lookups.get(&plan.stream());
    log::info!(
        request = plan.id.as_str(), resumes:% = plan.resumes.as_deref().unwrap_or("-"),
        agents = agents.count(), routers = state.routers(), has_sole,
        is_current = state.runners().is_current(plan.received),
        origins = lookup.map_or(0, OriginLookup::candidates),
        unresolved = lookup.map_or(0, OriginLookup::unresolved), age_ms = now.since(plan.received).as_millis();
        "the origin of a stream is not known"
    );
}

async fn within(limit: time::Duration, event: impl Future<Output = ()>) {
    futures_lite::future::or(event, async {
        smol::Timer::after(limit).await;
    })
    .await;
}

/// A question that is being asked; dropping it ends it.
struct Lookup {
    router: rc::Rc<Router>,
    stream: backlog::RequestHash,
}

impl Lookup {
    fn start(router: rc::Rc<Router>, stream: backlog::RequestHash) -> Self {
        router
            .state()
            .lookups
            .get_or_insert_with(stream, OriginLookup::default);
        Self { router, stream }
    }

    async fn wait_until(&self, holds: impl Fn(&OriginLookup) -> bool) {
        loop {
            let received = self.router.origin_received.listen();
            if self
                .router
                .state()
                .lookups
                .get(&self.stream)
                .is_none_or(&holds)
            {
                return;
            }
            received.await;
        }
    }

    fn has_answer(&self) -> bool {
        let state = self.router.state();
        let lookup = state.lookups.get(&self.stream);
        // Another request that took up the same stream may have ended the question.
        lookup.is_none_or(OriginLookup::has_answer)
    }

    fn origin(&self) -> Option<Origin> {
        let lookup = self.router.state().lookups.get(&self.stream).cloned();
        let origin = lookup.and_then(OriginLookup::into_origin);
        // Another request that took up the same stream may have ended the question.
        origin.or_else(|| self.router.stream_origin(self.stream))
    }
}

impl Drop for Lookup {
    fn drop(&mut self) {
        self.router.state().lookups.remove(&self.stream);
    }
}

/// Remembers where a stream began, before its caller gets the first event. Agents remember
/// it too, in case this router, or every router, is gone when the caller comes back.
pub(super) fn note(router: &Router, plan: &Plan, choice: &placement::Choice) {
    plan.software.replace(Some(choice.software.clone()));
    if plan.route.repeat != routing::Repeat::Resumable {
        return;
    }
    let now = router.now();
    let (stream, retention) = (plan.stream(), retention(plan));
    let origin = Origin {
        service: plan.service.clone(),
        software: choice.software.clone(),
    };
    let mut state = router.state();
    state.streams.note(now, stream, origin.clone(), retention);
    let runners = state.runners();
    let versions = runners.recent_software(now, &plan.service, retention);
    let is_ambiguous = versions.len() > 1 || plan.route.targets.len() > 1;
    let count = if is_ambiguous { KEEPERS.1 } else { KEEPERS.0 };
    let own = choice.address.ip();
    let keepers = runners.stream_keepers(&plan.service, stream, count + 1);
    let keepers = keepers
        .into_iter()
        .map(|runner| runner.registration.address.ip());
    let others = keepers.filter(|keeper| *keeper != own).take(count);
    let beside = choice.version.is_some().then_some(own);
    for agent in beside.into_iter().chain(others) {
        let origin = origin.clone();
        let kept = Datagram::StreamKept(StreamOrigin { stream, origin });
        router.outbox.put(Recipient::Agent(agent), kept);
    }
}

impl Router {
    /// Where a recent stream began of which this router passed on events.
    pub(crate) fn stream_origin(&self, stream: backlog::RequestHash) -> Option<Origin> {
        let now = self.now();
        self.state().streams.get(now, stream).cloned()
    }

    /// Another router, or an agent that a router told, knows where a stream began.
    pub(crate) fn on_stream_origin(&self, known: StreamOrigin) {
        if let Some(lookup) = self.state().lookups.get_mut(&known.stream) {
            lookup.on_router(known.origin);
        }
        self.origin_received.notify(usize::MAX);
    }

    /// An agent's runner ran the request that began a stream.
    pub(crate) fn on_stream_seen(&self, run: &StreamRun) {
        let mut state = self.state();
        let origin = state.runners().origin(&run.incarnation);
        let lookup = state.lookups.get_mut(&run.stream);
        match (lookup, origin) {
            (Some(lookup), Some(origin)) => lookup.on_agent(origin),
            (Some(lookup), None) => lookup.on_unresolved(),
            (None, _) => {}
        }
        drop(state);
        self.origin_received.notify(usize::MAX);
    }
}
