//! Waiting for a runner.

use std::{rc, time};

use lentil_policy::forward::{placement, runners, wait_queue};
use lentil_types::RunnerName;

use super::{Router, plan::Plan};

/// Longest pause between two looks for a runner while a request is held.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(40);

/// Chooses a runner. A request is held for a moment while none may take it, as
/// when weights change, and a long prompt waits in line while all have enough.
pub(super) async fn pick(
    router: &rc::Rc<Router>,
    plan: &Plan,
    exclude: &[RunnerName],
    only: Option<&RunnerName>,
) -> Result<placement::Choice, placement::Refusal> {
    let hold = plan.route.objective.mul_f64(router.settings.hold);
    let until = match only {
        Some(_) => plan.give_up,
        None => plan.received + hold.min(router.settings.max_hold),
    };
    let whole = plan.give_up.since(plan.received);
    let line_until = plan.received + whole.mul_f64(router.settings.line);
    let mut place: Option<Place> = None;
    let mut asked = None;
    let is_long = plan.model.is_some() && plan.tokens() >= runners::LONG_PROMPT;
    loop {
        let changed = router.availability_changed.listen();
        let is_first = place.as_ref().is_none_or(Place::is_first);
        if is_first && place.is_some() {
            smol::Timer::after(router.jitter(router.settings.line_jitter)).await;
        }
        let end = match is_first {
            true if is_long && only.is_none() && router.may_ask(asked) => {
                asked = Some(router.now());
                router.choose_asked(plan, exclude).await
            }
            true => router.choose(plan, exclude, only),
            false => Err(placement::Refusal::Busy {
                wait: time::Duration::ZERO,
            }),
        };
        let mut pause = LOOK_AGAIN;
        match end {
            Err(placement::Refusal::NoRunner) if router.now() < until => {}
            Err(placement::Refusal::Busy { wait }) => {
                pause = pause.max(wait);
                let wait = wait + line_wait(router, plan, place.as_ref());
                if router.now() + wait > line_until {
                    return Err(placement::Refusal::TooLate { wait });
                }
                place.get_or_insert_with(|| Place::join(router.clone(), plan));
            }
            end => return end,
        }
        let pause = async {
            smol::Timer::after(pause).await;
        };
        futures_lite::future::or(changed, pause).await;
    }
}

/// Expected time until the requests before this one in line have a runner. The
/// lines of other routers are taken to be as long.
fn line_wait(router: &Router, plan: &Plan, place: Option<&Place>) -> time::Duration {
    let state = router.state();
    let now = router.now();
    let ahead = match place {
        Some(place) => state.wait_queue.position(now, place.ticket),
        None => state
            .wait_queue
            .position_of_new(now, &plan.service, plan.priority),
    };
    let demand = state.demand(&plan.service);
    let usable = state.runners().usable(now, &plan.service).len() as f64;
    let takers = (usable * (1.0 - demand.reserve())).max(1.0);
    let each = demand.mean_long() / router.settings.placement.prefill_rate / 1e3;
    let wait = (ahead * state.routers()) as f64 * each / takers;
    time::Duration::try_from_secs_f64(wait).unwrap_or(time::Duration::MAX)
}

/// A request's place in line. It is left when this is dropped.
struct Place {
    router: rc::Rc<Router>,
    ticket: wait_queue::Ticket,
}

impl Place {
    fn join(router: rc::Rc<Router>, plan: &Plan) -> Self {
        let rate = router.settings.placement.prefill_rate;
        let compute = time::Duration::from_secs_f64(plan.tokens().0 as f64 / rate / 1e3);
        let spare = plan.route.objective.saturating_sub(compute);
        let due = plan.received + spare;
        let mut state = router.state();
        let ticket = state
            .wait_queue
            .enqueue(&plan.service, plan.priority, plan.received, due);
        drop(state);
        Self { router, ticket }
    }

    fn is_first(&self) -> bool {
        let now = self.router.now();
        self.router.state().wait_queue.position(now, self.ticket) == 0
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.router.state().wait_queue.remove(self.ticket);
        self.router.availability_changed.notify(usize::MAX);
    }
}
