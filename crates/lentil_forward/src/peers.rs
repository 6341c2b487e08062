//! A router's datagrams with agents and other routers.

use std::{cell, io, net, rc, time};

use lentil_policy::forward::{backlog, rollout_schedule, runners};
use lentil_process::panics;
use lentil_types::{Instant, ServiceName, Table, WeightsVersion};

use crate::{
    datagram::{Datagram, StreamOrigin, Subscribe},
    datagram_socket::DatagramSocket,
    documents::WeightsTarget,
    follow::Follower,
    router::Router,
};

/// Settings of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Shortest interval between renewals of subscriptions.
    pub min_interval: time::Duration,
    /// Longest such interval.
    pub max_interval: time::Duration,
    /// Bytes a second that renewals may take; with many agents the interval grows.
    pub byte_rate: f64,
    /// Routers that no agent reports for this long are dropped.
    pub router_ttl: time::Duration,
    /// Shortest interval between two updates because of routers that were not known. A
    /// router that starts in a large fleet learns of the others by many reports, and owners
    /// of all teams' limits are computed for each update.
    pub routers_interval: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_interval: time::Duration::from_millis(700),
            max_interval: time::Duration::from_secs(5),
            byte_rate: 1_000.0,
            router_ttl: time::Duration::from_secs(12),
            routers_interval: time::Duration::from_millis(100),
        }
    }
}

/// Recipient of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// The agent on the instance with this address.
    Agent(net::IpAddr),
    /// Every other known router.
    Routers,
    /// This many of the other routers, at random.
    SomeRouters(usize),
    /// The router on the instance with this address.
    Router(net::IpAddr),
    /// The agents beside all runners of a service.
    AgentsOf(ServiceName),
}

/// Further datagrams are dropped, as the network may drop them.
const MAX_QUEUED: usize = 1_024;

/// Queue of datagrams to send.
#[derive(Debug)]
pub struct Outbox {
    sender: async_channel::Sender<(Recipient, Datagram)>,
    receiver: async_channel::Receiver<(Recipient, Datagram)>,
}

impl Outbox {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED);
        Self { sender, receiver }
    }

    /// Queues a datagram; drops it if the queue is full.
    pub(crate) fn put(&self, to: Recipient, datagram: Datagram) {
        if self.sender.try_send((to, datagram)).is_err() {
            log::debug!("dropped a datagram: the send queue is full");
        }
    }
}

/// Exchanges datagrams with agents and other routers.
pub struct Peers {
    router: rc::Rc<Router>,
    follower: rc::Rc<Follower>,
    settings: Settings,
    socket: DatagramSocket,
    documents_address: net::SocketAddr,
    /// Port on which agents and routers receive datagrams.
    port: u16,
    /// When an agent last reported routers, this one among them.
    reported_at: cell::Cell<Option<Instant>>,
    /// When each other router was last reported, by document address.
    routers: cell::RefCell<Table<net::SocketAddr, Instant>>,
    /// When the state last got the known routers, and whether others were reported since.
    applied_at: cell::Cell<Instant>,
    has_new_routers: cell::Cell<bool>,
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    /// An I/O error when the port cannot be bound.
    pub async fn open(
        router: rc::Rc<Router>,
        follower: rc::Rc<Follower>,
        settings: Settings,
        documents_address: net::SocketAddr,
        port: u16,
    ) -> io::Result<rc::Rc<Self>> {
        let address = net::SocketAddr::new(documents_address.ip(), port);
        let metrics = router.metrics.clone();
        let socket = DatagramSocket::open(address, metrics, settings.min_interval).await?;
        Ok(rc::Rc::new(Self {
            router,
            follower,
            settings,
            socket,
            documents_address,
            port,
            reported_at: cell::Cell::new(None),
            routers: cell::RefCell::default(),
            applied_at: cell::Cell::new(Instant::ZERO),
            has_new_routers: cell::Cell::new(false),
        }))
    }

    /// Handles received datagrams; never returns.
    pub async fn receive(&self) {
        loop {
            let (from, datagram) = self.socket.receive().await;
            let handle = || self.on_datagram(from, datagram);
            if let Err(error) = panics::contain_call(&self.router.metrics, handle) {
                log::error!(from:%, error:%; "cannot handle a datagram; dropping it");
            }
        }
    }

    /// Renews all subscriptions periodically, and at once on new target weights and when
    /// the first agents are listed; never returns.
    pub async fn renew_subscriptions(&self) {
        loop {
            let new_targets = self.router.target_changed.listen();
            let listed = self.router.agents_listed.listen();
            let bytes = self.send_subscriptions().await;
            let interval = self.interval(bytes);
            let first_agents = async {
                match bytes {
                    0 => listed.await,
                    _ => std::future::pending().await,
                }
            };
            let timer = async {
                smol::Timer::after(interval).await;
            };
            let news = futures_lite::future::or(new_targets, first_agents);
            futures_lite::future::or(news, timer).await;
            self.expire_routers();
        }
    }

    fn on_datagram(&self, from: net::SocketAddr, datagram: Datagram) {
        match datagram {
            Datagram::StatusReport(report) => {
                self.on_routers(&report.routers);
                self.router.on_status_report(report);
            }
            Datagram::Crash(crash) => self.router.on_crash(&crash),
            Datagram::CrashEvidence(evidence) => self.router.on_crash_evidence(&evidence),
            Datagram::SurvivalQuery(query) => {
                self.router
                    .on_survival_query(Recipient::Router(from.ip()), query);
            }
            Datagram::SegmentSurvived(survived) => self.router.on_survival_notice(survived),
            Datagram::SegmentRefused(refusal) => {
                self.router
                    .on_refusal_notice(Recipient::Router(from.ip()), &refusal);
            }
            Datagram::Loaded(loaded) => self.router.on_loaded(&loaded),
            Datagram::Silent(incarnation) => self.on_silent(from, &incarnation),
            Datagram::Announcement(notice) => self.router.on_announcement_notice(&notice),
            Datagram::DocumentChanged(notice) => {
                // Routers serve documents on the same port everywhere.
                let sender = net::SocketAddr::new(from.ip(), self.documents_address.port());
                self.follower.on_notice(sender, notice.kind, notice.version);
            }
            Datagram::StreamQuery(stream) => self.on_stream_query(from, stream),
            Datagram::StreamOrigin(origin) => self.router.on_stream_origin(origin),
            Datagram::StreamSeen(run) => self.router.on_stream_seen(&run),
            Datagram::Pong(incarnation) => self.router.on_pong(&incarnation),
            Datagram::LimitAsk(asks) => self.router.on_limit_ask(from.ip(), &asks),
            Datagram::LimitGrant(grants) => self.router.on_limit_grant(from.ip(), &grants),
            Datagram::Subscribe(_)
            | Datagram::LongPrompt(_)
            | Datagram::StatusRequest(_)
            | Datagram::StreamNoted(_)
            | Datagram::StreamKept(_)
            | Datagram::Ping(_)
            | Datagram::Turn(_) => {
                log::debug!("ignored a datagram that is not meant for a router");
            }
        }
    }

    /// An agent knows that its runner does not answer; another router may just be cut
    /// off from it.
    fn on_silent(&self, from: net::SocketAddr, incarnation: &runners::Incarnation) {
        match self.router.runner_address(incarnation) {
            Some(address) if address.ip() == from.ip() => self.router.on_silent(incarnation),
            Some(_) => self.router.on_suspected(incarnation),
            None => {}
        }
    }

    fn on_stream_query(&self, from: net::SocketAddr, stream: backlog::RequestHash) {
        if let Some(origin) = self.router.stream_origin(stream) {
            let origin = Datagram::StreamOrigin(StreamOrigin { stream, origin });
            let recipient = Recipient::Router(from.ip());
            self.router.outbox.put(recipient, origin);
        }
    }

    /// An agent reports routers, this one among them; often none.
    fn on_routers(&self, addresses: &[net::SocketAddr]) {
        let now = self.router.now();
        if !addresses.is_empty() && self.reported_at.replace(Some(now)).is_none() {
            self.has_new_routers.set(true);
        }
        for address in addresses {
            if *address == self.documents_address {
                continue;
            }
            self.follower.on_router(*address);
            let old = self.routers.borrow_mut().insert(*address, now);
            if old.is_none() {
                self.has_new_routers.set(true);
            }
        }
        let is_due = now.since(self.applied_at.get()) >= self.settings.routers_interval;
        if self.has_new_routers.get() && is_due {
            self.expire_routers();
        }
    }

    /// Drops routers not reported in time; updates the router count, this one's rank and
    /// the owners of teams' limits.
    fn expire_routers(&self) {
        let now = self.router.now();
        self.applied_at.set(now);
        self.has_new_routers.set(false);
        let mut routers = self.routers.borrow_mut();
        routers.retain(|_, reported| now.since(*reported) <= self.settings.router_ttl);
        let rank = routers
            .keys()
            .filter(|other| **other < self.documents_address)
            .count();
        let is_recent = |at: Instant| now.since(at) <= self.settings.router_ttl;
        let is_reported = self.reported_at.get().is_some_and(is_recent);
        let count = routers.len() + 1;
        let own = self.documents_address.ip();
        // Without reports the other routers are not known, and neither is their number.
        let known: Vec<_> = match is_reported {
            true => routers
                .keys()
                .map(net::SocketAddr::ip)
                .chain([own])
                .collect(),
            false => Vec::new(),
        };
        let mut state = self.router.state();
        state.set_routers(count, rank, is_reported);
        let runners = state.runners().len();
        state.limits.set_routers(now, own, &known, runners);
    }

    /// Returns the bytes sent.
    async fn send_subscriptions(&self) -> usize {
        let mut bytes = 0;
        for (address, subscribe) in self.subscriptions() {
            let datagram = Datagram::Subscribe(subscribe);
            bytes += self.socket.send(&[address], datagram).await;
        }
        bytes
    }

    /// Time until the next renewal, after one of `bytes`.
    fn interval(&self, bytes: usize) -> time::Duration {
        let Settings {
            min_interval,
            max_interval,
            byte_rate,
            ..
        } = self.settings;
        time::Duration::from_secs_f64(bytes as f64 / byte_rate).clamp(min_interval, max_interval)
    }

    /// Sends queued datagrams; returns only when the queue is closed.
    pub async fn send_queued(&self) {
        while let Ok((to, datagram)) = self.router.outbox.receiver.recv().await {
            self.socket.send(&self.addresses(to), datagram).await;
        }
    }

    fn addresses(&self, to: Recipient) -> Vec<net::SocketAddr> {
        let address = |ip| net::SocketAddr::new(ip, self.port);
        match to {
            Recipient::Agent(ip) | Recipient::Router(ip) => vec![address(ip)],
            Recipient::Routers => {
                let routers = self.known_routers().into_iter();
                routers.map(|other| address(other.ip())).collect()
            }
            Recipient::AgentsOf(service) => {
                let state = self.router.state();
                let runners = state.runners().iter();
                let has_agent = |runner: &&runners::Runner| {
                    runner.registration.service == service && runner.has_agent()
                };
                let ips = runners
                    .filter(has_agent)
                    .map(|runner| runner.registration.address.ip());
                ips.map(address).collect()
            }
            Recipient::SomeRouters(most) => {
                let routers = self.known_routers();
                let sample = self.router.sample_routers(most, routers.len()).into_iter();
                sample.map(|index| address(routers[index].ip())).collect()
            }
        }
    }

    /// Document addresses of the routers that agents report, or else of the seeds.
    fn known_routers(&self) -> Vec<net::SocketAddr> {
        let reported: Vec<_> = self.routers.borrow().keys().copied().collect();
        if reported.is_empty() {
            self.follower.peers()
        } else {
            reported
        }
    }

    /// Each agent's address and subscription.
    fn subscriptions(&self) -> Vec<(net::SocketAddr, Subscribe)> {
        let now = self.router.now();
        let state = self.router.state();
        let Some(routing) = state.routing() else {
            return Vec::new();
        };
        let targets = state.targets().map(|(model, (version, since))| {
            let age = u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
            let model = model.clone();
            (WeightsTarget { model, version }, age)
        });
        let targets: Vec<_> = targets.collect();
        let newest = targets.iter().map(|(target, _)| target.version).max();
        let mut subscriptions = Vec::new();
        for (name, service) in routing.services.iter() {
            if service.engine.is_none() {
                continue;
            }
            let incarnations = rollout_order(state.runners(), name, newest.unwrap_or_default());
            let count = u32::try_from(incarnations.len()).unwrap_or(u32::MAX);
            for (rank, (incarnation, address)) in (0..).zip(incarnations) {
                let subscribe = Subscribe {
                    documents_address: self.documents_address,
                    incarnation,
                    targets: targets.clone(),
                    rank,
                    count,
                };
                subscriptions.push((net::SocketAddr::new(address.ip(), self.port), subscribe));
            }
        }
        subscriptions
    }
}

/// A service's runners in the order of their update to `version`.
fn rollout_order(
    runners: &runners::Runners,
    service: &ServiceName,
    version: WeightsVersion,
) -> Vec<(runners::Incarnation, net::SocketAddr)> {
    let current = runners
        .iter()
        .filter(|runner| runner.registration.service == *service && !runner.is_replaced());
    let mut incarnations: Vec<_> = current
        .map(|runner| {
            (
                runner.registration.incarnation.clone(),
                runner.registration.address,
            )
        })
        .collect();
    incarnations
        .sort_by_key(|(incarnation, _)| rollout_schedule::order_key(&incarnation.name, version));
    incarnations
}
