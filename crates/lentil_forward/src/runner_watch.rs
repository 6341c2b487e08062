//! Checks runners that owe an answer and send nothing.

use std::{net, rc, time};

use lentil_policy::forward::runners::{self, LivenessAction};
use lentil_process::metrics::Counter;

use crate::{agent::RunnerFuture, datagram::Datagram, peers::Recipient, router::Router};

/// Shortest interval between looks at the runners.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Upper bound of the delay before the other routers are told of an unresponsive
/// runner, for each router that there is. The first notice then arrives before most of
/// the others are sent.
const NOTICE_DELAY: time::Duration = time::Duration::from_millis(1);

/// Asks runners whether they respond.
pub trait Probe {
    /// Asks the runner at an address. Returns its answer.
    fn probe(
        &self,
        address: net::SocketAddr,
        permit: runners::Permit,
    ) -> RunnerFuture<'_, runners::ProbeReport>;
}

/// Checks the runners of a router periodically; never returns.
pub async fn watch(
    router: rc::Rc<Router>,
    probe: rc::Rc<dyn Probe>,
    executor: &smol::LocalExecutor<'_>,
) {
    loop {
        let wait = router.state().runners().next_check(router.now());
        smol::Timer::after(wait.max(MIN_INTERVAL)).await;
        for (incarnation, action) in router.due_liveness_actions(NOTICE_DELAY) {
            match action {
                LivenessAction::AskAgent => router.ask_agent(&incarnation),
                LivenessAction::LogUnresponsive => log_unresponsive(&router, &incarnation),
                LivenessAction::TellRouters => {
                    let notice = Datagram::Silent(incarnation);
                    router.outbox.put(Recipient::Routers, notice);
                }
                LivenessAction::Probe => {
                    let (router, probe) = (router.clone(), probe.clone());
                    executor
                        .spawn(async move { probe_runner(&router, &*probe, &incarnation).await })
                        .detach();
                }
            }
        }
    }
}

async fn probe_runner(router: &Router, probe: &dyn Probe, incarnation: &runners::Incarnation) {
    let Some(address) = router.runner_address(incarnation) else {
        return;
    };
    let Some(permit) = router.admit(incarnation) else {
        return;
    };
    router.metrics.count(Counter::RunnerProbes);
    match probe.probe(address, permit).await {
        Ok(report) => router.on_probe_answered(incarnation, report),
        Err(error) => {
            log::debug!(runner:% = incarnation.name, error:%; "an unresponsive runner does not answer a probe");
        }
    }
}

fn log_unresponsive(router: &Router, incarnation: &runners::Incarnation) {
    router.metrics.count(Counter::RunnersUnresponsive);
    let now = router.now();
    if !router.log_quota.try_take(now) {
        return;
    }
    let state = router.state();
    let Some(runner) = state.runners().get(incarnation) else {
        return;
    };
    log::warn!(
        runner:% = incarnation.name, born = incarnation.boot_id,
        silent_ms = runner.silence(now).as_millis(), in_flight = runner.in_flight;
        "a runner that owes an answer is unresponsive"
    );
}
