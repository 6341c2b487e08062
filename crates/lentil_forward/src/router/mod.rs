//! Router: accepts requests of callers, chooses runners and relays the answers.

mod announcement;
mod answer;
mod attempt;
mod body_memory;
mod caller;
mod confirmation;
mod connect;
mod crashes;
mod in_flight;
mod limits;
mod listener;
mod pick;
mod plan;
mod pool;
mod rejection;
mod request;
mod rollout;
mod settings;
mod state;
mod stream_origin;
mod updates;
mod upload;
mod upstream;

use std::{cell, net, rc, sync, time};

use lentil_policy::forward::{
    document_sources, placement, runners, shutdown::Shutdown, watch_doubts,
};
use lentil_process::{Clock, metrics};
use lentil_types::{Instant, PlaceName, RunnerName};
use rand::SeedableRng as _;

use crate::{byte_budget::ByteBudget, documents, names, peers::Outbox};

pub use caller::serve as serve_caller;
pub use listener::{Respond, listen, serve_internal};
pub use settings::Settings;
pub use state::State;

/// Memory for bodies divided by that for large heads of answers.
const HEADS_DIVISOR: usize = 4;

/// State and settings shared by the tasks of a router.
pub struct Router {
    /// Settings.
    pub settings: Settings,
    /// Header names of the deployment.
    pub names: names::HeaderNames,
    /// Decodes the documents of the deployment.
    pub decoder: Box<dyn documents::Decoder>,
    /// Data centre of the router.
    pub place: PlaceName,
    /// Counters and timings.
    pub metrics: metrics::Metrics,
    /// Rate limit of log lines about single requests.
    pub log_quota: lentil_process::logs::Quota,
    clock: Clock,
    state: cell::RefCell<State>,
    pool: cell::RefCell<pool::Pool>,
    rng: cell::RefCell<rand_pcg::Pcg64Mcg>,
    /// Notified when a waiting request may find a runner.
    pub(crate) availability_changed: event_listener::Event,
    /// Notified when a model has new target weights.
    pub(crate) target_changed: event_listener::Event,
    /// Notified when a router or an agent said where a stream began.
    pub(crate) origin_received: event_listener::Event,
    /// Notified when a segment is refused that was not before.
    refusals_changed: event_listener::Event,
    /// When a request last needed to know all registrations from before then.
    refresh_wanted_at: cell::Cell<Option<Instant>>,
    /// Notified when a request needs newer registrations than are known.
    refresh_wanted: event_listener::Event,
    /// Notified when an answer of the store about registrations is applied.
    registrations_applied: event_listener::Event,
    /// Notified when an agent sent a status report.
    pub(crate) status_received: event_listener::Event,
    /// Notified when a runner or its agent sent anything.
    runner_heard: event_listener::Event,
    /// Notified when another router has answered a question for units of a team's limit.
    units_received: event_listener::Event,
    /// Units lent of all teams with a limit, as of the last tick.
    units_lent: cell::Cell<u64>,
    /// Notified when there may be the first agents to subscribe to.
    pub(crate) agents_listed: event_listener::Event,
    /// Datagrams to be sent.
    pub(crate) outbox: Outbox,
    /// Notified when shutdown starts.
    pub(crate) stopping: event_listener::Event,
    shutdown: cell::Cell<Option<Shutdown>>,
    callers: cell::Cell<usize>,
    /// Since when another router is known to have a newer configuration.
    outdated_since: cell::Cell<Option<Instant>>,
    /// When the learned speeds were last logged.
    speeds_logged: cell::Cell<Option<Instant>>,
    /// Bytes of all body reservations of each kind.
    reserved_bytes: [cell::Cell<usize>; body_memory::BodyKind::COUNT],
    /// What the large heads of runners' answers take together.
    head_budget: sync::Arc<ByteBudget>,
}

impl Router {
    /// Creates a router without configuration and runners.
    pub fn new(
        settings: Settings,
        names: names::HeaderNames,
        decoder: Box<dyn documents::Decoder>,
        place: PlaceName,
        metrics: metrics::Metrics,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            state: cell::RefCell::new(State::new(&settings)),
            pool: cell::RefCell::new(pool::Pool::new(settings.pool)),
            rng: cell::RefCell::new(rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng())),
            log_quota: lentil_process::logs::Quota::new(settings.log_quota),
            head_budget: ByteBudget::new(settings.body_memory / HEADS_DIVISOR),
            settings,
            names,
            decoder,
            place,
            metrics,
            clock: Clock::start(),
            availability_changed: event_listener::Event::new(),
            target_changed: event_listener::Event::new(),
            origin_received: event_listener::Event::new(),
            refusals_changed: event_listener::Event::new(),
            refresh_wanted_at: cell::Cell::new(None),
            refresh_wanted: event_listener::Event::new(),
            registrations_applied: event_listener::Event::new(),
            status_received: event_listener::Event::new(),
            runner_heard: event_listener::Event::new(),
            units_received: event_listener::Event::new(),
            units_lent: cell::Cell::new(0),
            agents_listed: event_listener::Event::new(),
            outbox: Outbox::new(),
            stopping: event_listener::Event::new(),
            shutdown: cell::Cell::new(None),
            callers: cell::Cell::new(0),
            outdated_since: cell::Cell::new(None),
            speeds_logged: cell::Cell::new(None),
            reserved_bytes: Default::default(),
        })
    }

    /// Time since the router was created.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Borrows the mutable state; not to be kept across an `await`.
    pub fn state(&self) -> cell::RefMut<'_, State> {
        self.state.borrow_mut()
    }

    /// Starts shutdown: the router is not ready, and answers close their connections.
    pub fn stop(&self) {
        if !self.is_stopping() {
            let shutdown = Shutdown::new(self.settings.shutdown, self.now());
            self.shutdown.set(Some(shutdown));
            self.stopping.notify(usize::MAX);
        }
    }

    /// Whether shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// The shutdown, once it starts.
    async fn wait_for_shutdown(&self) -> Shutdown {
        loop {
            let stopping = self.stopping.listen();
            if let Some(shutdown) = self.shutdown.get() {
                return shutdown;
            }
            stopping.await;
        }
    }

    /// Returns when idle connections are to be closed during shutdown.
    async fn idle_close(&self) {
        let shutdown = self.wait_for_shutdown().await;
        let age = self.now().since(shutdown.begun_at());
        let remaining = self.settings.shutdown.handover.saturating_sub(age);
        smol::Timer::after(remaining).await;
    }

    /// Returns when a stopping router answers all requests that still have no answer.
    async fn last_answers(&self) {
        let shutdown = self.wait_for_shutdown().await;
        let remaining = shutdown.last_answers_at().since(self.now());
        smol::Timer::after(remaining).await;
    }

    /// Open connections of callers.
    pub fn callers(&self) -> usize {
        self.callers.get()
    }

    /// Whether the router should get new connections.
    ///
    /// # Errors
    /// [`NotReady`] with the reason.
    pub fn ready(&self) -> Result<(), NotReady> {
        if self.is_stopping() {
            return Err(NotReady::Stopping);
        }
        let state = self.state();
        if state.routing().is_none() {
            return Err(NotReady::NoConfiguration);
        }
        if state.runners().is_empty() {
            return Err(NotReady::NoRunners);
        }
        Ok(())
    }

    /// Periodic work: expires runners and connections, asks for units of teams' limits,
    /// updates metrics.
    pub fn tick(&self) {
        let now = self.now();
        let changes = self.state().runners_mut().tick(now);
        self.log_changes(&changes);
        self.log_replacements();
        let state = self.state();
        let is_known =
            |incarnation: &runners::Incarnation| state.runners().get(incarnation).is_some();
        self.pool.borrow_mut().tick(now, is_known);
        self.metrics
            .gauge(metrics::Gauge::InFlight, self.callers.get() as u64);
        let lag = self.outdated_for().unwrap_or_default().as_millis();
        self.metrics.gauge(
            metrics::Gauge::ConfigLag,
            u64::try_from(lag).unwrap_or(u64::MAX),
        );
        drop(state);
        self.ask_in_advance();
        self.grant_turns();
        self.note_proven();
        self.conclude();
        self.log_dropped_lines();
        self.log_speeds();
    }

    fn log_dropped_lines(&self) {
        let known = self.metrics.get(metrics::Counter::LinesDropped);
        let dropped = self.log_quota.dropped().saturating_sub(known);
        if dropped > 0 {
            self.metrics.add(metrics::Counter::LinesDropped, dropped);
            log::warn!(dropped; "log lines about single requests were dropped");
        }
    }

    fn choose(
        &self,
        plan: &plan::Plan,
        exclude: &[RunnerName],
        only_runner: Option<&RunnerName>,
    ) -> Result<placement::Choice, placement::Refusal> {
        self.with_context(plan, only_runner, |context, requirements| {
            placement::choose(context, requirements, exclude, &mut *self.rng.borrow_mut())
        })
    }

    /// Whether a runner other than this one may take the request, perhaps after a wait.
    fn has_other_runner(&self, plan: &plan::Plan, incarnation: &runners::Incarnation) -> bool {
        let exclude = std::slice::from_ref(&incarnation.name);
        let choice = self.choose(plan, exclude, None);
        !matches!(choice, Err(placement::Refusal::NoRunner))
    }

    /// Chooses a runner for a long prompt. Asks the agents of the best candidates for
    /// a status report until the chosen runner's status is recent: periodic reports
    /// are too old for this.
    async fn choose_refreshed(
        &self,
        plan: &plan::Plan,
        exclude: &[RunnerName],
    ) -> Result<placement::Choice, placement::Refusal> {
        let started = self.now();
        let mut excluded = exclude.to_vec();
        for _ in 0..self.settings.ask_rounds {
            let unanswered = self.refresh_statuses(plan, &excluded).await;
            excluded.extend(unanswered);
            let choice = match self.choose(plan, &excluded, None) {
                // A runner whose agent does not answer is better than none.
                Err(placement::Refusal::NoRunner | placement::Refusal::Limited { .. }) => {
                    return self.choose(plan, exclude, None);
                }
                Err(refusal) => return Err(refusal),
                Ok(choice) => choice,
            };
            if choice
                .status_age
                .is_some_and(|age| age <= self.settings.ask_age)
            {
                return Ok(choice);
            }
        }
        let max_age = self.now().since(started) + self.settings.ask_age;
        match self.choose_known(plan, &excluded, max_age) {
            // No agent answers.
            Err(placement::Refusal::NoRunner | placement::Refusal::Limited { .. }) => {
                self.choose(plan, &excluded, None)
            }
            end => end,
        }
    }

    /// Chooses among the runners with a status that is not older than `max_age`.
    fn choose_known(
        &self,
        plan: &plan::Plan,
        exclude: &[RunnerName],
        max_age: time::Duration,
    ) -> Result<placement::Choice, placement::Refusal> {
        self.with_context(plan, None, |context, requirements| {
            let requirements = placement::Requirements {
                max_status_age: Some(max_age),
                ..requirements.clone()
            };
            let rng = &mut *self.rng.borrow_mut();
            placement::choose(context, &requirements, exclude, rng)
        })
    }

    /// Whether agents may be asked again for a request.
    fn may_ask(&self, last_asked: Option<Instant>) -> bool {
        let now = self.now();
        last_asked.is_none_or(|asked_at| now.since(asked_at) >= self.settings.ask_interval)
    }

    /// Asks the agents of the best candidates for a status report, except for those
    /// with a recent one. Returns the runners whose agents do not answer in time.
    async fn refresh_statuses(&self, plan: &plan::Plan, exclude: &[RunnerName]) -> Vec<RunnerName> {
        let Settings {
            asked_agents,
            ask_age,
            ask_timeout,
            ..
        } = self.settings;
        let started = self.now();
        let mut asked: Vec<_> = self.with_context(plan, None, |context, requirements| {
            let list =
                placement::shortlist(context, requirements, exclude, asked_agents).into_iter();
            let stale =
                list.filter(|runner| runner.status_age(started).is_none_or(|age| age > ask_age));
            stale
                .map(|runner| runner.registration.incarnation.clone())
                .collect()
        });
        asked
            .iter()
            .for_each(|incarnation| self.ask_agent(incarnation));
        let all = async {
            loop {
                let received = self.status_received.listen();
                asked.retain(|incarnation| !self.has_status_since(incarnation, started));
                if asked.is_empty() {
                    return;
                }
                received.await;
            }
        };
        let timeout = async {
            smol::Timer::after(ask_timeout).await;
        };
        futures_lite::future::or(all, timeout).await;
        asked
            .into_iter()
            .map(|incarnation| incarnation.name)
            .collect()
    }

    /// Whether a runner's status was received after `since`.
    fn has_status_since(&self, incarnation: &runners::Incarnation, since: Instant) -> bool {
        let now = self.now();
        let state = self.state();
        let age = state
            .runners()
            .get(incarnation)
            .and_then(|runner| runner.status_age(now));
        age.is_some_and(|age| age <= now.since(since))
    }

    fn with_context<T>(
        &self,
        plan: &plan::Plan,
        only_runner: Option<&RunnerName>,
        query: impl FnOnce(placement::Context<'_>, &placement::Requirements<'_>) -> T,
    ) -> T {
        let now = self.now();
        let state = self.state();
        let service = plan.routing.services.get(&*plan.service);
        let model = plan.model.as_ref();
        let stores = state.stores(&plan.routing);
        let software = plan.software.borrow();
        let cache_group = state.cache_group(plan);
        let requirements = placement::Requirements {
            service: &plan.service,
            model,
            targets: model.map_or(&[], |model| state.target_history(model)),
            segments: &plan.segments,
            cache_group: &cache_group,
            body_bytes: plan.body_bytes,
            place: &self.place,
            time_left: plan.start_by.since(now),
            objective_left: (plan.received + plan.route.objective).since(now),
            stores: &stores,
            max_status_age: None,
            runs_once: !plan.route.repeat.is_repeatable(),
            only_runner,
            software: software.as_ref(),
        };
        let context = placement::Context {
            now,
            settings: &self.settings.placement,
            runners: state.runners(),
            engine: service.and_then(|service| service.engine.as_ref()),
        };
        query(context, &requirements)
    }

    /// Store to which the runner saves its prefilled segment, if the budget allows.
    fn save_to(&self, plan: &plan::Plan, choice: &placement::Choice) -> Option<net::SocketAddr> {
        if !choice.prefills {
            return None;
        }
        let store = choice.store?;
        let now = self.now();
        let mut state = self.state();
        let newest = plan
            .model
            .as_ref()
            .and_then(|model| state.newest(now, model));
        let age = newest.map(|(_, age)| age);
        state
            .try_save(now, &plan.routing, choice.save_bytes, age)
            .then_some(store)
    }

    /// Takes a request that is sent to a runner now; `None` if the runner does not allow
    /// it.
    pub(crate) fn admit(&self, incarnation: &runners::Incarnation) -> Option<runners::Permit> {
        let now = self.now();
        self.state().runners_mut().admit(now, incarnation)
    }

    /// Address of a known runner.
    pub(crate) fn runner_address(
        &self,
        incarnation: &runners::Incarnation,
    ) -> Option<net::SocketAddr> {
        let state = self.state();
        let runner = state.runners().get(incarnation);
        runner.map(|runner| runner.registration.address)
    }

    /// Checks of runners that are due; counts them as made. `notice_delay`: for each
    /// router, upper bound of the delay before the others are told.
    pub(crate) fn due_liveness_actions(
        &self,
        notice_delay: time::Duration,
    ) -> Vec<(runners::Incarnation, runners::LivenessAction)> {
        let now = self.now();
        let routers = self.state().routers() as f64;
        let delay = self.jitter(notice_delay.mul_f64(routers));
        self.state().runners_mut().due_actions(now, delay)
    }

    /// Indices of up to `most` of `count` routers, at random.
    pub(crate) fn sample_routers(&self, most: usize, count: usize) -> Vec<usize> {
        watch_doubts::recipients(most, count, &mut *self.rng.borrow_mut())
    }

    /// `routers` in the order in which they are asked for documents.
    pub(crate) fn order_sources(
        &self,
        sources: &document_sources::DocumentSources,
        routers: &[net::SocketAddr],
    ) -> Vec<net::SocketAddr> {
        sources.order(self.now(), routers, &mut *self.rng.borrow_mut())
    }

    /// A random duration of less than `max`.
    pub(crate) fn jitter(&self, max: time::Duration) -> time::Duration {
        use rand::RngExt as _;
        max.mul_f64(self.rng.borrow_mut().random::<f64>())
    }
}

/// Why a router is not ready for new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReady {
    /// Shutdown has started.
    #[error("stopping")]
    Stopping,
    /// No configuration was received yet.
    #[error("no configuration is known")]
    NoConfiguration,
    /// No runner is listed.
    #[error("no runner is known")]
    NoRunners,
}
