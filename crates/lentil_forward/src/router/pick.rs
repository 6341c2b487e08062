//! Waits for a runner that can take a request.

use std::{rc, time};

use lentil_policy::forward::{admission, placement, runners, scheduler};
use lentil_types::{Instant, RunnerName};

use super::{Router, confirmation, plan::Plan};

/// Shortest pause of a waiting request that is not notified of changes.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Runners that are asked in vain whether they respond before one of them is used all the
/// same: agents may be cut off where runners are not.
const MAX_UNANSWERED: usize = 4;

/// Chooses a runner. While none can take requests, as during a weights update, the
/// request waits a short time; a long prompt is queued while all runners have
/// enough of them.
pub(super) async fn pick(
    router: &rc::Rc<Router>,
    plan: &Plan,
    exclude: &[RunnerName],
    only_runner: Option<&RunnerName>,
) -> Result<placement::Choice, placement::Refusal> {
    let wait = plan.route.objective.mul_f64(router.settings.wait_ratio);
    let wait_until = match only_runner {
        Some(_) => plan.answer_by,
        None => plan.received + wait.min(router.settings.max_wait),
    };
    let total = plan.start_by.since(plan.received);
    let queue_until = plan.received + total.mul_f64(router.settings.queue_ratio);
    let mut queued: Option<QueueTicket> = None;
    let mut last_asked = None;
    let mut has_waited = false;
    let mut unanswered: Vec<RunnerName> = Vec::new();
    let runs_once = !plan.route.repeat.is_repeatable();
    if runs_once {
        let now = router.now();
        let mut state = router.state();
        state.runners_mut().on_once_request(now, &plan.service);
    }
    let is_long = plan.model.is_some() && plan.tokens() >= runners::LONG_PROMPT;
    if is_long && only_runner.is_none() && is_fair(router) {
        // It must not overtake those that wait.
        queued = Some(QueueTicket::enqueue(router.clone(), plan, queue_until)?);
    }
    loop {
        let changed = router.availability_changed.listen();
        if queued.as_ref().is_some_and(|queued| !queued.is_waiting()) {
            let wait = queued_wait(router, plan, None);
            return Err(placement::Refusal::Full { wait });
        }
        let is_first = queued.as_ref().is_none_or(QueueTicket::is_first);
        if is_first && has_waited && queued.is_some() {
            smol::Timer::after(router.jitter(router.settings.queue_jitter)).await;
        }
        let excluded = [exclude, &unanswered].concat();
        let end = match is_first {
            true if is_long && only_runner.is_none() => {
                if router.may_ask(last_asked) {
                    last_asked = Some(router.now());
                    router.choose_refreshed(plan, &excluded).await
                } else {
                    choose_between_asks(router, plan, &excluded)
                }
            }
            true => router.choose(plan, &excluded, only_runner),
            false => Err(placement::Refusal::Busy {
                wait: time::Duration::ZERO,
            }),
        };
        let end = match end {
            Ok(choice) if runs_once && unanswered.len() < MAX_UNANSWERED => {
                if !confirmation::responds(router, &choice.incarnation).await {
                    unanswered.push(choice.incarnation.name);
                    continue;
                }
                Ok(choice)
            }
            Err(placement::Refusal::NoRunner) if !unanswered.is_empty() => {
                // None answers; the one that was heard last is the most likely to respond.
                let last_heard = confirmation::last_heard(router, &unanswered);
                router.choose(plan, exclude, last_heard.as_ref())
            }
            end => end,
        };
        let mut pause = RECHECK_INTERVAL;
        match end {
            Err(placement::Refusal::NoRunner)
                if router.now() < wait_until && may_get_runner(router, plan) => {}
            Err(placement::Refusal::Busy { wait }) => {
                pause = pause.max(wait);
                let limits = admission::Limits {
                    queue_until,
                    start_by: plan.start_by,
                };
                let prediction = admission::Prediction {
                    wait: wait + queued_wait(router, plan, queued.as_ref()),
                    first_byte: first_byte(router, plan),
                };
                admission::check(router.now(), &limits, &prediction)
                    .map_err(|admission::TooLate { wait }| placement::Refusal::TooLate { wait })?;
                if queued.is_none() {
                    queued = Some(QueueTicket::enqueue(router.clone(), plan, queue_until)?);
                }
            }
            Err(placement::Refusal::Limited { wait, interval }) => {
                pause = pause.max(wait);
                let ahead = queue_position(router, plan, queued.as_ref());
                let wait = wait + interval.mul_f64(ahead as f64);
                if router.now() + wait > queue_until {
                    return Err(placement::Refusal::Limited { wait, interval });
                }
                if queued.is_none() {
                    queued = Some(QueueTicket::enqueue(router.clone(), plan, queue_until)?);
                }
            }
            end => {
                if let Some(queued) = &mut queued {
                    queued.was_sent = end.is_ok();
                }
                return end;
            }
        }
        let pause = async {
            smol::Timer::after(pause).await;
        };
        futures_lite::future::or(changed, pause).await;
        has_waited = true;
    }
}

/// Whether waiting may help: a stream that has begun is not continued once all runners of
/// its software version leave.
fn may_get_runner(router: &Router, plan: &Plan) -> bool {
    let software = plan.software.borrow();
    let state = router.state();
    let mut versions = software.iter();
    versions.all(|software| state.runners().has_software(&plan.service, software))
}

/// Expected time to the first byte at a runner that has room, as far as it matters: only
/// where load is shed.
fn first_byte(router: &Router, plan: &Plan) -> time::Duration {
    if !router.settings.sheds_load {
        return time::Duration::ZERO;
    }
    let share = router.state().demand(&plan.service).computed_share();
    let rate = router.settings.placement.prefill_rate;
    let compute = plan.tokens().0 as f64 * share / rate;
    fixed_first_byte(router) + time::Duration::from_secs_f64(compute / 1e3)
}

/// Time to the first byte of the smallest prompt at an idle runner.
pub(super) fn fixed_first_byte(router: &Router) -> time::Duration {
    time::Duration::from_secs_f64(router.settings.placement.per_request / 1e3)
}

/// Whether waiting requests are ordered by [`scheduler::Order::Fair`].
fn is_fair(router: &Router) -> bool {
    router.settings.scheduler.order == scheduler::Order::Fair
}

/// Chooses a runner for a long prompt that waits, without asking agents: among those
/// that have reported a status since the last time.
fn choose_between_asks(
    router: &Router,
    plan: &Plan,
    exclude: &[RunnerName],
) -> Result<placement::Choice, placement::Refusal> {
    let choice = router.choose_known(plan, exclude, router.settings.ask_interval);
    choice.map_err(|refusal| match refusal {
        placement::Refusal::NoRunner => placement::Refusal::Busy {
            wait: time::Duration::ZERO,
        },
        refusal => refusal,
    })
}

/// Requests ahead in the wait queue.
fn queue_position(router: &Router, plan: &Plan, queued: Option<&QueueTicket>) -> usize {
    ahead(router, plan, queued).requests
}

fn ahead(router: &Router, plan: &Plan, queued: Option<&QueueTicket>) -> scheduler::Ahead {
    let now = router.now();
    let mut state = router.state();
    match queued {
        Some(queued) => state.scheduler.ahead(now, queued.ticket),
        None => state
            .scheduler
            .ahead_of_new(now, &waiting(router, plan, plan.start_by)),
    }
}

/// Expected time until all requests ahead in the wait queue have a runner. The
/// queues of other routers are assumed to be equally long.
fn queued_wait(router: &Router, plan: &Plan, queued: Option<&QueueTicket>) -> time::Duration {
    let ahead = ahead(router, plan, queued);
    let state = router.state();
    let now = router.now();
    let demand = state.demand(&plan.service);
    let usable = state.runners().usable(now, &plan.service).len() as f64;
    let available = usable.max(1.0);
    let tokens = match is_fair(router) {
        true => ahead.tokens.0 as f64 * demand.computed_share() * state.routers() as f64,
        false => (ahead.requests * state.routers()) as f64 * demand.mean_long(),
    };
    let wait = tokens / router.settings.placement.prefill_rate / 1e3 / available;
    time::Duration::try_from_secs_f64(wait).unwrap_or(time::Duration::MAX)
}

/// The request as it waits. `expires`: when it stops waiting.
fn waiting(router: &Router, plan: &Plan, expires: Instant) -> scheduler::Waiting {
    let rate = router.settings.placement.prefill_rate;
    let compute = time::Duration::from_secs_f64(plan.tokens().0 as f64 / rate / 1e3);
    let slack = plan.route.objective.saturating_sub(compute);
    scheduler::Waiting {
        service: plan.service.clone(),
        rank: plan.priority,
        team: plan.team.as_ref().map(|team| team.name.clone()),
        tokens: plan.tokens(),
        arrived: plan.received,
        due: plan.received + slack,
        expires,
        returns: plan.returns.get(),
    }
}

/// A place in the wait queue; dropping it dequeues the request.
struct QueueTicket {
    router: rc::Rc<Router>,
    ticket: scheduler::Ticket,
    /// Whether the request got a runner.
    was_sent: bool,
}

impl QueueTicket {
    fn enqueue(
        router: rc::Rc<Router>,
        plan: &Plan,
        expires: Instant,
    ) -> Result<Self, placement::Refusal> {
        let waiting = waiting(&router, plan, expires);
        let now = router.now();
        let ticket = router.state().scheduler.enqueue(now, waiting);
        let ticket = ticket.map_err(|scheduler::Full| {
            let wait = queued_wait(&router, plan, None);
            placement::Refusal::Full { wait }
        })?;
        Ok(Self {
            router,
            ticket,
            was_sent: false,
        })
    }

    fn is_waiting(&self) -> bool {
        self.router.state().scheduler.contains(self.ticket)
    }

    fn is_first(&self) -> bool {
        let now = self.router.now();
        self.router.state().scheduler.is_first(now, self.ticket)
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut state = self.router.state();
        state.scheduler.remove(self.ticket, self.was_sent);
        let is_empty = state.scheduler.is_empty();
        drop(state);
        // With the fair order every long prompt has a place, if only for a moment.
        if !is_empty || !is_fair(&self.router) {
            self.router.availability_changed.notify(usize::MAX);
        }
    }
}
