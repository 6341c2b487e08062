//! The agent's I/O: runner reports, cache events, orders and datagrams.

use std::{cell, io, net, rc, time};

use lentil_policy::forward::{
    backlog, rollout_schedule, runners, silence_watch, status_schedule, stream_origins,
    weights_update,
};
use lentil_process::{Clock, metrics};
use lentil_types::{FencingNumber, Instant, Table};

use super::{OrderReply, Runner, Settings};
use crate::{
    cache,
    datagram::{Datagram, Loaded, StatusReport, StreamOrigin, StreamRun, Subscribe, Turn},
    datagram_socket::DatagramSocket,
};

/// A router that subscribed to the runner's status.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// Source of its datagrams; statuses are sent there.
    address: net::SocketAddr,
    renewed: Instant,
}

/// Updates the weights of the runner beside it and reports its status to routers.
pub struct Agent {
    settings: Settings,
    runner: Box<dyn Runner>,
    socket: DatagramSocket,
    metrics: metrics::Metrics,
    clock: Clock,
    state: cell::RefCell<State>,
    /// Notified when a router announces new target weights or another incarnation.
    subscription_changed: event_listener::Event,
}

struct State {
    updater: weights_update::WeightsUpdater,
    /// `None`: no orders are given.
    fence: Option<FencingNumber>,
    /// The runner as routers know it; another boot is not reported and gets no
    /// orders.
    incarnation: Option<runners::Incarnation>,
    /// Keyed by the address at which the router serves documents.
    subscribers: Table<net::SocketAddr, Subscriber>,
    /// Routers that pace the rollout, and when each last granted a turn.
    pacing_routers: Table<net::SocketAddr, Instant>,
    schedule: status_schedule::StatusSchedule,
    /// When routers were last sent each other's addresses.
    routers_sent: Option<Instant>,
    /// Index of the first address to send next, counted without end.
    next_router: usize,
    cache: cache::SegmentIndex,
    backlog: backlog::Backlog,
    silence: silence_watch::SilenceWatch,
    /// Requests that the runner has run and that made events.
    streams: stream_origins::RecentStreams<runners::Incarnation>,
    /// Where streams began, as routers told: also those of other runners.
    origins: stream_origins::RecentStreams<stream_origins::Origin>,
}

impl State {
    fn note_stream(
        &mut self,
        now: Instant,
        stream: backlog::RequestHash,
        incarnation: runners::Incarnation,
        retention: time::Duration,
    ) {
        if self.streams.get(now, stream) != Some(&incarnation) {
            self.streams.note(now, stream, incarnation, retention);
        }
    }

    /// The status without segments. `None`: there is no current report, or it is
    /// from another boot than routers expect.
    fn status(&self) -> Option<runners::Status> {
        let report = self.updater.report()?;
        if report.boot_id != self.incarnation.as_ref()?.boot_id || self.silence.is_silent() {
            return None;
        }
        Some(runners::Status {
            weights: report.weights.clone(),
            is_changing: self.updater.is_changing(),
            running: report.running,
            waiting: report.waiting,
            backlog: self.backlog.tokens(),
            prefilling: self.backlog.prefilling(),
            committed: report.used_memory + self.backlog.memory(),
            capacity: report.capacity,
            segments: runners::SegmentUpdate::Unchanged,
        })
    }
}

impl Agent {
    /// Opens the agent's socket.
    ///
    /// # Errors
    /// An I/O error when `address` cannot be bound.
    pub async fn open(
        settings: Settings,
        runner: Box<dyn Runner>,
        address: net::SocketAddr,
        metrics: metrics::Metrics,
    ) -> io::Result<rc::Rc<Self>> {
        let socket =
            DatagramSocket::open(address, metrics.clone(), settings.report_interval).await?;
        let state = State {
            updater: weights_update::WeightsUpdater::new(settings.weights_update),
            fence: None,
            incarnation: None,
            subscribers: Table::new(),
            pacing_routers: Table::new(),
            schedule: status_schedule::StatusSchedule::new(settings.status_schedule),
            routers_sent: None,
            // Agents start at different addresses, so that together they send all.
            next_router: rand::random_range(0..usize::from(u16::MAX)),
            cache: cache::SegmentIndex::default(),
            backlog: backlog::Backlog::default(),
            silence: silence_watch::SilenceWatch::new(settings.silence),
            streams: stream_origins::RecentStreams::default(),
            origins: stream_origins::RecentStreams::default(),
        };
        Ok(rc::Rc::new(Self {
            settings,
            runner,
            socket,
            metrics,
            clock: Clock::start(),
            state: cell::RefCell::new(state),
            subscription_changed: event_listener::Event::new(),
        }))
    }

    /// Sets the fencing number, without which no orders are given.
    pub fn set_fence(&self, fence: FencingNumber) {
        log::info!(fence = fence.0; "fencing number set");
        self.state.borrow_mut().fence = Some(fence);
    }

    /// Handles received datagrams; never returns.
    pub async fn receive(&self) {
        loop {
            match self.socket.receive().await {
                (from, Datagram::Subscribe(subscribe)) => self.on_subscribe(from, subscribe),
                (_, Datagram::LongPrompt(prompt)) => self.on_long_prompt(prompt).await,
                (from, Datagram::StatusRequest(incarnation)) => {
                    self.on_status_request(from, &incarnation).await;
                }
                (from, Datagram::Ping(incarnation)) => self.on_ping(from, incarnation).await,
                (from, Datagram::Turn(turn)) => self.on_turn(from, turn),
                (from, Datagram::StreamQuery(stream)) => {
                    self.on_stream_query(from, stream).await;
                }
                (_, Datagram::StreamNoted(run)) => self.on_stream_noted(run),
                (_, Datagram::StreamKept(origin)) => self.on_stream_kept(origin),
                (
                    from,
                    Datagram::StatusReport(_)
                    | Datagram::Crash(_)
                    | Datagram::CrashEvidence(_)
                    | Datagram::SurvivalQuery(_)
                    | Datagram::SegmentSurvived(_)
                    | Datagram::SegmentRefused(_)
                    | Datagram::LimitAsk(_)
                    | Datagram::LimitGrant(_)
                    | Datagram::Loaded(_)
                    | Datagram::Silent(_)
                    | Datagram::Announcement(_)
                    | Datagram::DocumentChanged(_)
                    | Datagram::StreamOrigin(_)
                    | Datagram::StreamSeen(_)
                    | Datagram::Pong(_),
                ) => {
                    log::debug!(from:%; "ignored a datagram that is not meant for an agent");
                }
            }
        }
    }

    /// Polls the runner, gives it due orders and reports its status; never returns.
    pub async fn run(&self) {
        loop {
            let subscription_changed = self.subscription_changed.listen();
            self.read_report().await;
            if let Some(order) = self.due_order() {
                self.send_status().await;
                self.give_order(order).await;
            }
            self.send_status().await;
            self.send_change_times().await;
            let interval = self.poll_interval();
            let timer = async {
                smol::Timer::after(interval).await;
            };
            futures_lite::future::or(subscription_changed, timer).await;
        }
    }

    fn poll_interval(&self) -> time::Duration {
        let state = self.state.borrow();
        if state.updater.is_changing() {
            self.settings.changing_interval
        } else if state.backlog.is_empty() {
            self.settings.report_interval
        } else {
            self.settings.busy_interval
        }
    }

    /// Tells the routers when the runner does not answer: they would learn it only
    /// from requests, each for itself. Never returns.
    pub async fn watch_runner(&self) {
        loop {
            smol::Timer::after(self.settings.report_interval).await;
            if let Some((incarnation, addresses)) = self.due_notice() {
                self.socket
                    .send(&addresses, Datagram::Silent(incarnation))
                    .await;
            }
        }
    }

    /// The runner and the routers to tell now that it does not answer.
    fn due_notice(&self) -> Option<(runners::Incarnation, Vec<net::SocketAddr>)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state.incarnation.clone()?;
        let was_silent = state.silence.is_silent();
        let silent_for = state.silence.due_notice(now)?;
        if !was_silent {
            log::warn!(runner:% = incarnation.name, silent_ms = silent_for.as_millis(); "the runner does not answer");
        }
        let subscribers = state.subscribers.values();
        let addresses = subscribers.map(|subscriber| subscriber.address).collect();
        Some((incarnation, addresses))
    }

    /// Follows the runner's prefix cache; never returns.
    pub async fn follow_cache(&self) {
        loop {
            let since = self.state.borrow().cache.next();
            match self
                .runner
                .cache_events(since, self.settings.cache_wait)
                .await
            {
                Ok(batch) => {
                    let min_tokens = self.settings.min_segment;
                    let has_changed = self.state.borrow_mut().cache.apply(&batch, min_tokens);
                    if has_changed {
                        self.send_status().await;
                    }
                    if let Some(limit) = batch.limit {
                        smol::Timer::after(self.settings.cache_interval(limit)).await;
                    }
                }
                Err(error) => {
                    log::debug!(error:%; "cannot read the runner's cache events");
                    smol::Timer::after(self.settings.cache_wait).await;
                }
            }
        }
    }

    /// Reports the new backlog at once: other routers do not see this prompt.
    async fn on_long_prompt(&self, prompt: backlog::LongPrompt) {
        let now = self.clock.now();
        self.state.borrow_mut().backlog.on_sent(now, prompt);
        self.send_status().await;
    }

    /// Answers a router that needs the status now, e.g. before a long prompt.
    async fn on_status_request(&self, from: net::SocketAddr, incarnation: &runners::Incarnation) {
        let report = {
            let state = self.state.borrow();
            let Some(status) = state.status() else {
                return;
            };
            let keys = state.cache.newest(self.settings.max_segments);
            StatusReport {
                incarnation: incarnation.clone(),
                status: runners::Status {
                    segments: state.schedule.full_update(keys),
                    ..status
                },
                routers: Vec::new(),
            }
        };
        if self.state.borrow().incarnation.as_ref() == Some(incarnation) {
            self.socket
                .send(&[from], Datagram::StatusReport(report))
                .await;
        }
    }

    /// Answers a router that is about to send the runner a request. For any incarnation: the
    /// question is whether the instance goes on, and after a start routers know the new one
    /// sooner than the agent, which is told with their subscriptions.
    async fn on_ping(&self, from: net::SocketAddr, incarnation: runners::Incarnation) {
        let is_silent = self.state.borrow().silence.is_silent();
        if !is_silent {
            self.socket.send(&[from], Datagram::Pong(incarnation)).await;
        }
    }

    fn on_stream_noted(&self, run: StreamRun) {
        let now = self.clock.now();
        let retention = self.settings.stream_retention;
        let mut state = self.state.borrow_mut();
        state.note_stream(now, run.stream, run.incarnation, retention);
    }

    fn on_stream_kept(&self, kept: StreamOrigin) {
        let now = self.clock.now();
        let retention = self.settings.stream_retention;
        let mut state = self.state.borrow_mut();
        state.origins.note(now, kept.stream, kept.origin, retention);
    }

    /// Answers a router whose caller takes a stream up again, if the agent knows where it
    /// began.
    async fn on_stream_query(&self, from: net::SocketAddr, stream: backlog::RequestHash) {
        let now = self.clock.now();
        let known = {
            let state = self.state.borrow();
            let told = state.origins.get(now, stream).cloned();
            let told = told.map(|origin| Datagram::StreamOrigin(StreamOrigin { stream, origin }));
            told.or_else(|| {
                let incarnation = state.streams.get(now, stream)?.clone();
                Some(Datagram::StreamSeen(StreamRun {
                    stream,
                    incarnation,
                }))
            })
        };
        if let Some(known) = known {
            self.socket.send(&[from], known).await;
        }
    }

    fn on_subscribe(&self, from: net::SocketAddr, subscribe: Subscribe) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let subscriber = Subscriber {
            address: from,
            renewed: now,
        };
        if state
            .subscribers
            .insert(subscribe.documents_address, subscriber)
            .is_none()
        {
            state.schedule.on_new_router();
            state.routers_sent = None;
        }
        let ttl = self.settings.subscription_ttl;
        state
            .subscribers
            .retain(|_, subscriber| now.since(subscriber.renewed) <= ttl);
        state
            .updater
            .on_position(rollout_schedule::RolloutPosition {
                rank: subscribe.rank,
                count: subscribe.count,
            });
        let mut has_changed = state.incarnation.as_ref() != Some(&subscribe.incarnation);
        state.incarnation = Some(subscribe.incarnation);
        for (target, age_ms) in subscribe.targets {
            let age = std::time::Duration::from_millis(age_ms.into());
            if state
                .updater
                .on_target(now, &target.model, target.version, age)
            {
                log::info!(model:% = target.model, weights = target.version.0, age_ms, router:% = from; "a router announced new target weights");
                has_changed = true;
            }
        }
        drop(state);
        if has_changed {
            self.subscription_changed.notify(usize::MAX);
        }
    }

    fn on_turn(&self, from: net::SocketAddr, turn: Turn) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.incarnation.as_ref() != Some(&turn.incarnation) {
            return;
        }
        let ttl = self.settings.subscription_ttl;
        state
            .pacing_routers
            .retain(|_, heard| now.since(*heard) <= ttl);
        state.pacing_routers.insert(from, now);
        let target = turn.target;
        let age = time::Duration::ZERO;
        state
            .updater
            .on_target(now, &target.model, target.version, age);
        state.updater.on_turn(now);
        drop(state);
        log::info!(model:% = target.model, weights = target.version.0, router:% = from; "a router granted the turn to change weights");
        self.subscription_changed.notify(usize::MAX);
    }

    /// Tells the routers that pace the rollout how long the last change took.
    async fn send_change_times(&self) {
        let (loaded, routers) = {
            let mut state = self.state.borrow_mut();
            let Some(times) = state.updater.take_completed() else {
                return;
            };
            let Some(incarnation) = state.incarnation.clone() else {
                return;
            };
            let routers: Vec<_> = state.pacing_routers.keys().copied().collect();
            (Loaded { incarnation, times }, routers)
        };
        log::info!(
            runner:% = loaded.incarnation.name, drain_ms = loaded.times.drain_time.as_millis(),
            load_ms = loaded.times.load_time.as_millis();
            "changed weights"
        );
        self.socket.send(&routers, Datagram::Loaded(loaded)).await;
    }

    async fn read_report(&self) {
        let report = self.runner.report().await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match report {
            Ok(report) => {
                if state.silence.on_report(now) {
                    log::info!("the runner answers again");
                    state.schedule.on_recovered();
                }
                state.backlog.on_report(now, &report.runs, report.waiting);
                let incarnation = state.incarnation.clone();
                let incarnation = incarnation.filter(|own| own.boot_id == report.boot_id);
                if let Some(incarnation) = incarnation {
                    let begun = report.runs.iter().filter(|run| run.events > 0);
                    for run in begun {
                        let retention = self.settings.stream_retention;
                        state.note_stream(now, run.request, incarnation.clone(), retention);
                    }
                }
                state.updater.on_report(now, report);
            }
            Err(error) => log::debug!(error:%; "cannot read the runner's report"),
        }
    }

    /// The order that is due. `None` also without a fencing number, or when the
    /// runner has another boot than routers expect.
    fn due_order(&self) -> Option<(runners::Incarnation, weights_update::Order, FencingNumber)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state.incarnation.clone()?;
        let fence = state.fence?;
        let is_same_boot = state
            .updater
            .report()
            .is_some_and(|report| report.boot_id == incarnation.boot_id);
        if !is_same_boot {
            return None;
        }
        let order = state.updater.tick(now)?;
        Some((incarnation, order, fence))
    }

    async fn give_order(
        &self,
        (incarnation, order, fence): (runners::Incarnation, weights_update::Order, FencingNumber),
    ) {
        self.metrics.count(metrics::Counter::Orders);
        let reply = self.runner.order(&incarnation, &order, fence).await;
        let outcome = match &reply {
            Ok(reply) => reply.to_string(),
            Err(error) => error.to_string(),
        };
        log::info!(
            runner:% = incarnation.name, born = incarnation.boot_id, model:% = order.model,
            weights = order.version.0, sequence = order.sequence, fence = fence.0, outcome;
            "ordered new weights"
        );
        if reply == Ok(OrderReply::Fenced) {
            // Another agent took over.
            log::warn!(fence = fence.0; "another agent gave orders with a higher fencing number; giving no more orders");
            self.state.borrow_mut().fence = None;
        }
    }

    /// Sends the status to subscribers if it is due.
    async fn send_status(&self) {
        let Some((report, addresses)) = self.due_report() else {
            return;
        };
        let bytes = self
            .socket
            .send(&addresses, Datagram::StatusReport(report))
            .await;
        self.state.borrow_mut().schedule.on_sent(bytes);
    }

    /// Routers' document addresses when they are due, otherwise empty.
    fn due_routers(&self, state: &mut State, now: Instant) -> Vec<net::SocketAddr> {
        let is_due = state
            .routers_sent
            .is_none_or(|sent| now.since(sent) >= self.settings.routers_interval);
        if !is_due {
            return Vec::new();
        }
        state.routers_sent = Some(now);
        let routers: Vec<_> = state.subscribers.keys().copied().collect();
        let first = state.next_router;
        state.next_router = state.next_router.wrapping_add(status_schedule::MAX_ROUTERS);
        status_schedule::routers_part(&routers, first)
    }

    /// The due status report and its recipients.
    fn due_report(&self) -> Option<(StatusReport, Vec<net::SocketAddr>)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state.incarnation.clone()?;
        let status = state.status()?;
        let segments = state.cache.newest(self.settings.max_segments);
        let status = state.schedule.next_status(now, status, &segments)?;
        let routers = self.due_routers(&mut state, now);
        let addresses = state
            .subscribers
            .values()
            .map(|subscriber| subscriber.address)
            .collect();
        let report = StatusReport {
            incarnation,
            status,
            routers,
        };
        Some((report, addresses))
    }
}
