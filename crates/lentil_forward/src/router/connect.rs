//! Opens or reuses connections to runners.

use lentil_policy::forward::{placement, runners};
use lentil_process::metrics::Counter;

use super::{Router, plan::Plan};
use crate::h1;

/// Returns an idle connection from the pool, or a new one, for one permitted request.
pub(super) async fn connect(
    router: &Router,
    plan: &Plan,
    choice: &placement::Choice,
    _permit: runners::Permit,
) -> Option<h1::Connection> {
    let once = !plan.route.repeat.is_repeatable();
    while plan.may_reuse_connection(&choice.incarnation) {
        let idle = router
            .pool
            .borrow_mut()
            .take(router.now(), &choice.incarnation, once);
        let Some(mut idle) = idle else {
            break;
        };
        if idle.is_idle().await {
            return Some(idle);
        }
    }
    router.metrics.count(Counter::ConnectionsOpened);
    let timeout = router.settings.pool.open_timeout;
    match h1::Connection::open(choice.address, timeout).await {
        Ok(connection) => Some(connection.with_head_budget(router.head_budget.clone())),
        Err(error) => {
            if router.log_quota.try_take(router.now()) {
                log::info!(runner:% = choice.incarnation.name, error:%; "cannot connect to a runner");
            }
            None
        }
    }
}
