//! Asks a runner's agent whether the runner responds before a request that may run once is
//! sent to it.

use lentil_policy::forward::runners;
use lentil_process::metrics::Counter;
use lentil_types::RunnerName;

use super::Router;
use crate::{datagram::Datagram, peers::Recipient};

/// Whether a runner may be sent a request that may run once: it was heard lately, or its
/// agent answers in time.
pub(super) async fn responds(router: &Router, incarnation: &runners::Incarnation) -> bool {
    let asked_at = router.now();
    let wait = {
        let mut state = router.state();
        if !state.runners().needs_confirmation(asked_at, incarnation) {
            return true;
        }
        let runners = state.runners_mut();
        if runners.on_question(asked_at, incarnation)
            && let Some(runner) = runners.get(incarnation)
        {
            let agent = Recipient::Agent(runner.registration.address.ip());
            router
                .outbox
                .put(agent, Datagram::Ping(incarnation.clone()));
            router.metrics.count(Counter::RunnersPinged);
        }
        runners.confirmation_wait(incarnation)
    };
    let heard = async {
        loop {
            let heard = router.runner_heard.listen();
            if router.last_heard(incarnation) > asked_at {
                return true;
            }
            heard.await;
        }
    };
    let timeout = async {
        smol::Timer::after(wait).await;
        router.metrics.count(Counter::PingsUnanswered);
        false
    };
    futures_lite::future::or(heard, timeout).await
}

/// The runner among these that it or its agent was heard last.
pub(super) fn last_heard(router: &Router, names: &[RunnerName]) -> Option<RunnerName> {
    let state = router.state();
    let runners = state.runners().iter();
    let asked = runners.filter(|runner| names.contains(&runner.registration.incarnation.name));
    let last = asked.max_by_key(|runner| runner.last_heard())?;
    Some(last.registration.incarnation.name.clone())
}
