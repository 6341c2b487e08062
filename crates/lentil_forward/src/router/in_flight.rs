//! Counts requests in flight at runners.

use std::rc;

use lentil_policy::forward::{placement, runners};

use super::Router;

/// Counts a request at its runner until dropped.
pub(super) struct InFlight {
    router: rc::Rc<Router>,
    incarnation: runners::Incarnation,
    cost: runners::RequestCost,
    is_released: bool,
}

impl InFlight {
    pub(super) fn new(router: rc::Rc<Router>, choice: &placement::Choice) -> Self {
        if let Some(runner) = router.state().runners_mut().get_mut(&choice.incarnation) {
            runner.on_sent(choice.request_cost);
        }
        Self {
            router,
            incarnation: choice.incarnation.clone(),
            cost: choice.request_cost,
            is_released: false,
        }
    }

    pub(super) fn on_bytes(&self) {
        let now = self.router.now();
        if let Some(runner) = self.router.state().runners_mut().get_mut(&self.incarnation) {
            runner.last_byte = now;
        }
    }

    /// Releases the cost when the answer starts or the attempt ends.
    pub(super) fn release_cost(&mut self) {
        if std::mem::replace(&mut self.is_released, true) {
            return;
        }
        if let Some(runner) = self.router.state().runners_mut().get_mut(&self.incarnation) {
            runner.on_settled(self.cost);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.release_cost();
        if let Some(runner) = self.router.state().runners_mut().get_mut(&self.incarnation) {
            runner.on_ended();
        }
    }
}
