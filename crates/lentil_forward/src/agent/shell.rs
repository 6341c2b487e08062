//! The agent's I/O.

use std::{cell, io, net, rc, time};

use lentil_policy::forward::{backlog, rollout_schedule, runners, status_schedule, weights_update};
use lentil_process::{Clock, metrics};
use lentil_types::{FencingNumber, Instant, Table};

use super::{OrderReply, Runner, Settings};
use crate::{
    cache,
    datagram::{Datagram, StatusReport, Subscribe},
    datagram_socket::DatagramSocket,
};

/// A router that asked to be told.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    /// Where its datagrams come from.
    address: net::SocketAddr,
    asked: Instant,
}

/// The agent beside a runner.
pub struct Agent {
    settings: Settings,
    runner: Box<dyn Runner>,
    socket: DatagramSocket,
    metrics: metrics::Metrics,
    clock: Clock,
    state: cell::RefCell<State>,
    /// Told when a router brought news.
    news: event_listener::Event,
}

struct State {
    updater: weights_update::WeightsUpdater,
    fence: Option<FencingNumber>,
    /// The runner's name and start, as routers know them.
    incarnation: Option<runners::Incarnation>,
    /// Routers by the address of their documents.
    subscribers: Table<net::SocketAddr, Subscriber>,
    schedule: status_schedule::StatusSchedule,
    /// When the routers' addresses were told.
    introduced: Option<Instant>,
    cache: cache::SegmentIndex,
    backlog: backlog::Backlog,
    is_reporting: bool,
}

impl State {
    /// How the runner is, without its parts. `None`: it is not known, or not the
    /// one that the routers expect.
    fn status(&self) -> Option<runners::Status> {
        let report = self.updater.report()?;
        if report.boot_id != self.incarnation.as_ref()?.boot_id || !self.is_reporting {
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
    /// An I/O error when the address cannot be bound.
    pub async fn open(
        settings: Settings,
        runner: Box<dyn Runner>,
        address: net::SocketAddr,
        metrics: metrics::Metrics,
    ) -> io::Result<rc::Rc<Self>> {
        let socket = DatagramSocket::open(address, metrics.clone(), settings.report).await?;
        let state = State {
            updater: weights_update::WeightsUpdater::new(settings.weights_update),
            fence: None,
            incarnation: None,
            subscribers: Table::new(),
            schedule: status_schedule::StatusSchedule::new(settings.status_schedule),
            introduced: None,
            cache: cache::SegmentIndex::default(),
            backlog: backlog::Backlog::default(),
            is_reporting: true,
        };
        Ok(rc::Rc::new(Self {
            settings,
            runner,
            socket,
            metrics,
            clock: Clock::start(),
            state: cell::RefCell::new(state),
            news: event_listener::Event::new(),
        }))
    }

    /// Sets the number that its orders carry.
    pub fn set_fence(&self, fence: FencingNumber) {
        log::info!(fence = fence.0; "orders carry this fencing number");
        self.state.borrow_mut().fence = Some(fence);
    }

    /// Takes datagrams for ever.
    pub async fn receive(&self) {
        loop {
            match self.socket.receive().await {
                (from, Datagram::Subscribe(subscribe)) => self.on_subscribe(from, subscribe),
                (_, Datagram::LongPrompt(sent)) => self.on_sent(sent).await,
                (from, Datagram::StatusRequest(incarnation)) => {
                    self.on_ask(from, &incarnation).await
                }
                (from, Datagram::StatusReport(_) | Datagram::Crash(_)) => {
                    log::debug!(from:%; "a datagram that is not for an agent");
                }
            }
        }
    }

    /// Looks after the runner for ever.
    pub async fn run(&self) {
        loop {
            let news = self.news.listen();
            self.look().await;
            if let Some(order) = self.due() {
                self.tell().await;
                self.give(order).await;
            }
            self.tell().await;
            let pause = self.pause();
            let pause = async {
                smol::Timer::after(pause).await;
            };
            futures_lite::future::or(news, pause).await;
        }
    }

    fn pause(&self) -> time::Duration {
        let state = self.state.borrow();
        if state.updater.is_changing() {
            self.settings.changing_report
        } else if state.backlog.is_empty() {
            self.settings.report
        } else {
            self.settings.busy_report
        }
    }

    /// Follows the runner's memory for ever.
    pub async fn follow_cache(&self) {
        loop {
            let since = self.state.borrow().cache.next();
            match self
                .runner
                .cache_events(since, self.settings.cache_wait)
                .await
            {
                Ok(news) => {
                    let least = self.settings.min_segment;
                    let has_changed = self.state.borrow_mut().cache.apply(&news, least);
                    if has_changed {
                        self.tell().await;
                    }
                }
                Err(error) => {
                    log::debug!(error:%; "the runner tells nothing of its memory");
                    smol::Timer::after(self.settings.cache_wait).await;
                }
            }
        }
    }

    /// A long prompt is on its way: the other routers hear of it at once.
    async fn on_sent(&self, sent: backlog::LongPrompt) {
        let now = self.clock.now();
        self.state.borrow_mut().backlog.on_sent(now, sent);
        self.tell().await;
    }

    /// A router asks before it sends a long prompt.
    async fn on_ask(&self, from: net::SocketAddr, incarnation: &runners::Incarnation) {
        let told = {
            let state = self.state.borrow();
            let Some(status) = state.status() else {
                return;
            };
            let keys = state.cache.segments(self.settings.max_segments);
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
                .send(&[from], Datagram::StatusReport(told))
                .await;
        }
    }

    fn on_subscribe(&self, from: net::SocketAddr, subscribe: Subscribe) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let subscriber = Subscriber {
            address: from,
            asked: now,
        };
        if state
            .subscribers
            .insert(subscribe.documents_address, subscriber)
            .is_none()
        {
            state.schedule.on_new_router();
            state.introduced = None;
        }
        let age = self.settings.router_age;
        state
            .subscribers
            .retain(|_, subscriber| now.since(subscriber.asked) <= age);
        state
            .updater
            .on_position(rollout_schedule::RolloutPosition {
                rank: subscribe.rank,
                count: subscribe.count,
            });
        let mut is_news = state.incarnation.as_ref() != Some(&subscribe.incarnation);
        state.incarnation = Some(subscribe.incarnation);
        for (target, age_ms) in subscribe.targets {
            let age = std::time::Duration::from_millis(age_ms.into());
            if state
                .updater
                .on_target(now, &target.model, target.version, age)
            {
                log::info!(model:% = target.model, weights = target.version.0, age_ms, router:% = from; "a router named new weights");
                is_news = true;
            }
        }
        drop(state);
        if is_news {
            self.news.notify(usize::MAX);
        }
    }

    /// Asks the runner how it is.
    async fn look(&self) {
        let report = self.runner.report().await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match report {
            Ok(report) => {
                if !std::mem::replace(&mut state.is_reporting, true) {
                    log::info!("the runner answers again");
                }
                state
                    .backlog
                    .on_report(now, &report.runs, report.waiting > 0);
                state.updater.on_report(now, report);
            }
            Err(error) => {
                if std::mem::replace(&mut state.is_reporting, false) {
                    log::warn!(error:%; "the runner does not answer");
                }
            }
        }
    }

    /// The order that is due, where the agent may give one.
    fn due(&self) -> Option<(runners::Incarnation, weights_update::Order, FencingNumber)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state.incarnation.clone()?;
        let fence = state.fence?;
        let is_same = state
            .updater
            .report()
            .is_some_and(|report| report.boot_id == incarnation.boot_id);
        if !is_same {
            return None;
        }
        let order = state.updater.tick(now)?;
        Some((incarnation, order, fence))
    }

    async fn give(
        &self,
        (incarnation, order, fence): (runners::Incarnation, weights_update::Order, FencingNumber),
    ) {
        self.metrics.count(metrics::Counter::Orders);
        let ordered = self.runner.order(&incarnation, &order, fence).await;
        let outcome = match &ordered {
            Ok(ordered) => ordered.to_string(),
            Err(error) => error.to_string(),
        };
        log::info!(
            runner:% = incarnation.name, born = incarnation.boot_id, model:% = order.model,
            weights = order.version.0, sequence = order.sequence, fence = fence.0, outcome;
            "ordered new weights"
        );
        if ordered == Ok(OrderReply::Fenced) {
            // Another agent took over. This one gives no more orders.
            log::warn!(fence = fence.0; "another agent gave orders with a higher fencing number");
            self.state.borrow_mut().fence = None;
        }
    }

    /// Tells the routers how the runner is, where that is news or due.
    async fn tell(&self) {
        let Some((told, addresses)) = self.news_for_routers() else {
            return;
        };
        let bytes = self
            .socket
            .send(&addresses, Datagram::StatusReport(told))
            .await;
        self.state.borrow_mut().schedule.on_sent(bytes);
    }

    /// Addresses of the routers, which are told now and then.
    fn introductions(&self, state: &mut State, now: Instant) -> Vec<net::SocketAddr> {
        let is_due = state
            .introduced
            .is_none_or(|at| now.since(at) >= self.settings.introduce);
        if !is_due {
            return Vec::new();
        }
        state.introduced = Some(now);
        state.subscribers.keys().copied().collect()
    }

    fn news_for_routers(&self) -> Option<(StatusReport, Vec<net::SocketAddr>)> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let incarnation = state.incarnation.clone()?;
        let status = state.status()?;
        let segments = state.cache.segments(self.settings.max_segments);
        let status = state.schedule.next_status(now, status, &segments)?;
        let routers = self.introductions(&mut state, now);
        let addresses = state
            .subscribers
            .values()
            .map(|subscriber| subscriber.address)
            .collect();
        let told = StatusReport {
            incarnation,
            status,
            routers,
        };
        Some((told, addresses))
    }
}
