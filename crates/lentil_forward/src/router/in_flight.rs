//! Counts requests in flight at runners.

use std::{cell, rc};

use lentil_policy::forward::{placement, runners};

use super::Router;

/// Counts a request at its runner until dropped.
pub(super) struct InFlight {
    router: rc::Rc<Router>,
    incarnation: runners::Incarnation,
    cost: runners::RequestCost,
    is_released: bool,
    /// Whether a complete answer was read.
    is_answered: cell::Cell<bool>,
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
            is_answered: cell::Cell::new(false),
        }
    }

    pub(super) fn on_bytes(&self) {
        self.router.on_heard(&self.incarnation);
    }

    pub(super) fn on_answered(&self) {
        self.is_answered.set(true);
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
            runner.on_ended(self.is_answered.get());
        }
    }
}
