//! Requests that a runner rejected without running them.

use lentil_policy::forward::{
    concurrency_limit::{Rejection, RejectionKind},
    placement,
};
use lentil_process::metrics::Counter;
use lentil_types::Instant;

use super::Router;
use crate::h1;

/// Counts a rejection and lowers the limit on requests to a full runner.
pub(super) fn on_rejected(
    router: &Router,
    choice: &placement::Choice,
    sent_at: Instant,
    head: &h1::ResponseHead,
) -> Rejection {
    let now = router.now();
    let names = &router.names;
    let answered = head.headers.text(names.runner);
    let mut state = router.state();
    let runner = state.runners_mut().get_mut(&choice.incarnation);
    let rejection = Rejection {
        status: head.status,
        has_retry: head.headers.get(names.retry_after).is_some(),
        is_own: answered.map(|name| name == &*choice.incarnation.name),
        names_weights: choice.version.is_some(),
        is_changing: runner
            .as_ref()
            .is_some_and(|runner| runner.changing_since().is_some()),
    };
    let kind = rejection.kind();
    router.metrics.count(counter(kind));
    if kind == RejectionKind::Full
        && router.settings.sheds_load
        && let Some(runner) = runner
    {
        let in_flight = runner.in_flight;
        runner.concurrency.on_rejected(now, sent_at, in_flight);
    }
    rejection
}

fn counter(kind: RejectionKind) -> Counter {
    match kind {
        RejectionKind::Full => Counter::RejectedFull,
        RejectionKind::ChangingWeights => Counter::RejectedChanging,
        RejectionKind::Deferred => Counter::RejectedDeferred,
        RejectionKind::WrongRunner => Counter::RejectedRunner,
        RejectionKind::WrongVersion => Counter::RejectedVersion,
        RejectionKind::Deadline => Counter::RejectedDeadline,
        RejectionKind::Other => Counter::RejectedOther,
    }
}
