//! Keeps a stream at the software version that began it, also when its caller takes it up
//! at another router.

use std::{rc, time};

use lentil_policy::forward::{backlog, placement, routing, stream_origins};
use lentil_process::metrics::Counter;
use lentil_types::SoftwareVersion;

use super::{Router, plan::Plan};
use crate::{
    datagram::{Datagram, StreamOrigin, StreamRun},
    peers::Recipient,
};

/// Nobody knows which software version began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unknown;

/// How long streams of a route are remembered, as a multiple of its timeout: a caller that
/// takes one up may have waited as long for it already.
const RETENTION_TIMEOUTS: u32 = 2;

fn retention(plan: &Plan) -> time::Duration {
    plan.route.timeout.saturating_mul(RETENTION_TIMEOUTS)
}

/// Binds a request that takes a stream up again to the software version that began it.
pub(super) async fn resolve(router: &rc::Rc<Router>, plan: &Plan) -> Result<(), Unknown> {
    if plan.resumes.is_none() || !plan.route.repeat.is_stream() {
        return Ok(());
    }
    let known = known_origin(router, plan);
    let software = match known {
        Some(software) => software,
        None => ask(router, plan).await.ok_or(Unknown)?,
    };
    router.metrics.count(Counter::StreamsTakenUp);
    let now = router.now();
    let mut state = router.state();
    state
        .streams
        .note(now, plan.stream(), software.clone(), retention(plan));
    *plan.software.borrow_mut() = Some(software);
    Ok(())
}

/// The version that this router knows to have begun the stream, or the only one that may
/// have.
fn known_origin(router: &Router, plan: &Plan) -> Option<SoftwareVersion> {
    let now = router.now();
    let state = router.state();
    let noted = state.streams.get(now, plan.stream());
    let sole = || {
        let runners = state.runners();
        runners.sole_software(now, &plan.service, retention(plan))
    };
    noted.or_else(sole).cloned()
}

/// Asks the other routers and the agents of the service.
async fn ask(router: &rc::Rc<Router>, plan: &Plan) -> Option<SoftwareVersion> {
    let stream = plan.stream();
    let lookup = Lookup::start(router.clone(), stream);
    for recipient in [
        Recipient::Routers,
        Recipient::AgentsOf(plan.service.clone()),
    ] {
        router.outbox.put(recipient, Datagram::StreamQuery(stream));
    }
    let settings = &router.settings;
    let first = lookup.wait_until(stream_origins::OriginLookup::has_answer);
    within(settings.probe_timeout, first).await;
    // Agents of several versions may answer, and a router knows better.
    let confirmed = lookup.wait_until(stream_origins::OriginLookup::is_confirmed);
    within(settings.ask_timeout, confirmed).await;
    lookup.finish()
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
            .get_or_insert_with(stream, stream_origins::OriginLookup::default);
        Self { router, stream }
    }

    async fn wait_until(&self, holds: impl Fn(&stream_origins::OriginLookup) -> bool) {
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

    fn finish(self) -> Option<SoftwareVersion> {
        let lookup = self.router.state().lookups.get(&self.stream).cloned();
        let version = lookup.and_then(stream_origins::OriginLookup::into_version);
        // Another request that took up the same stream may have ended the question.
        version.or_else(|| self.router.stream_software(self.stream))
    }
}

impl Drop for Lookup {
    fn drop(&mut self) {
        self.router.state().lookups.remove(&self.stream);
    }
}

/// Remembers which software version began a stream, before its caller gets the first event.
/// While several versions serve, the agent of the runner remembers it too, in case this
/// router is gone when the caller comes back.
pub(super) fn note(router: &Router, plan: &Plan, choice: &placement::Choice) {
    *plan.software.borrow_mut() = Some(choice.software.clone());
    if plan.route.repeat != routing::Repeat::Resumable {
        return;
    }
    let now = router.now();
    let (stream, retention) = (plan.stream(), retention(plan));
    let mut state = router.state();
    state
        .streams
        .note(now, stream, choice.software.clone(), retention);
    let versions = state
        .runners()
        .recent_software(now, &plan.service, retention);
    if versions.len() > 1 && choice.version.is_some() {
        let run = StreamRun {
            stream,
            incarnation: choice.incarnation.clone(),
        };
        let agent = Recipient::Agent(choice.address.ip());
        router.outbox.put(agent, Datagram::StreamNoted(run));
    }
}

impl Router {
    /// Software version whose events a caller got of a recent stream.
    pub(crate) fn stream_software(&self, stream: backlog::RequestHash) -> Option<SoftwareVersion> {
        let now = self.now();
        self.state().streams.get(now, stream).cloned()
    }

    /// Another router knows which software version began a stream.
    pub(crate) fn on_stream_origin(&self, origin: StreamOrigin) {
        if let Some(lookup) = self.state().lookups.get_mut(&origin.stream) {
            lookup.on_router(origin.software);
        }
        self.origin_received.notify(usize::MAX);
    }

    /// An agent's runner ran the request that began a stream.
    pub(crate) fn on_stream_seen(&self, run: &StreamRun) {
        let mut state = self.state();
        let software = state.runners().software(&run.incarnation).cloned();
        let lookup = state.lookups.get_mut(&run.stream);
        if let (Some(lookup), Some(software)) = (lookup, software) {
            lookup.on_agent(software);
        }
        drop(state);
        self.origin_received.notify(usize::MAX);
    }
}
