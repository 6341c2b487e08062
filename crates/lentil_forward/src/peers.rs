//! What a router exchanges with the agents beside runners and with other
//! routers.

use std::{cell, io, net, rc, time};

use lentil_policy::forward::{rollout_schedule, runners};
use lentil_types::{Instant, ServiceName, Table, WeightsVersion};

use crate::{
    datagram::{Datagram, Subscribe},
    datagram_socket::DatagramSocket,
    documents::WeightsTarget,
    follow::Follower,
    router::Router,
};

/// Settings of [`Peers`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How often agents are asked to go on telling, where there are few.
    pub period: time::Duration,
    /// Longest such time.
    pub max_period: time::Duration,
    /// Bytes a second that asking may take.
    pub rate: f64,
    /// A router that no agent spoke of for longer counts as gone.
    pub router_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: time::Duration::from_millis(700),
            max_period: time::Duration::from_secs(5),
            rate: 1_000.0,
            router_age: time::Duration::from_secs(12),
        }
    }
}

/// Who gets a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// The agent on the instance with this address.
    Agent(net::IpAddr),
    /// Every other router.
    Routers,
}

/// Most datagrams that wait to be sent; further ones are dropped, as a network
/// may drop them.
const MAX_WAITING: usize = 1_024;

/// Datagrams that wait to be sent.
#[derive(Debug)]
pub struct Outbox {
    input: async_channel::Sender<(Recipient, Datagram)>,
    output: async_channel::Receiver<(Recipient, Datagram)>,
}

impl Outbox {
    pub(crate) fn new() -> Self {
        let (input, output) = async_channel::bounded(MAX_WAITING);
        Self { input, output }
    }

    /// Sends a datagram soon.
    pub(crate) fn put(&self, to: Recipient, datagram: Datagram) {
        if self.input.try_send((to, datagram)).is_err() {
            log::debug!("too many datagrams wait; one is dropped");
        }
    }
}

/// Speaks to agents and routers by datagrams.
pub struct Peers {
    router: rc::Rc<Router>,
    follower: rc::Rc<Follower>,
    settings: Settings,
    socket: DatagramSocket,
    /// Where this router serves documents.
    documents: net::SocketAddr,
    /// Port on which agents and routers take datagrams.
    port: u16,
    others: cell::RefCell<Table<net::SocketAddr, Instant>>,
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
        documents: net::SocketAddr,
        port: u16,
    ) -> io::Result<rc::Rc<Self>> {
        let address = net::SocketAddr::new(documents.ip(), port);
        let metrics = router.metrics.clone();
        let socket = DatagramSocket::open(address, metrics, settings.period).await?;
        Ok(rc::Rc::new(Self {
            router,
            follower,
            settings,
            socket,
            documents,
            port,
            others: cell::RefCell::default(),
        }))
    }

    /// Takes datagrams for ever.
    pub async fn receive(&self) {
        loop {
            let (_, datagram) = self.socket.receive().await;
            self.on_datagram(datagram);
        }
    }

    /// Asks the agents again and again, and at once when weights are named.
    pub async fn renew_subscriptions(&self) {
        loop {
            let named = self.router.named.listen();
            let bytes = self.ask_all().await;
            let period = self.period(bytes);
            let period = async {
                smol::Timer::after(period).await;
            };
            futures_lite::future::or(named, period).await;
            self.forget();
        }
    }

    fn on_datagram(&self, datagram: Datagram) {
        match datagram {
            Datagram::StatusReport(told) => {
                for address in &told.routers {
                    self.on_router(*address);
                }
                self.router.on_told(told);
            }
            Datagram::Crash(crash) => self.router.on_crash(&crash),
            Datagram::Subscribe(_) | Datagram::LongPrompt(_) | Datagram::StatusRequest(_) => {
                log::debug!("a datagram that is not for a router");
            }
        }
    }

    fn on_router(&self, address: net::SocketAddr) {
        if address != self.documents {
            self.follower.on_router(address);
            let now = self.router.now();
            self.others.borrow_mut().insert(address, now);
        }
    }

    fn forget(&self) {
        let now = self.router.now();
        let mut others = self.others.borrow_mut();
        others.retain(|_, at| now.since(*at) <= self.settings.router_age);
        let rank = others
            .keys()
            .filter(|other| **other < self.documents)
            .count();
        self.router.state().set_routers(others.len() + 1, rank);
    }

    /// Asks every agent. Returns the bytes that this took.
    async fn ask_all(&self) -> usize {
        let mut bytes = 0;
        for (address, subscribe) in self.subscriptions() {
            let datagram = Datagram::Subscribe(subscribe);
            bytes += self.socket.send(&[address], datagram).await;
        }
        bytes
    }

    /// Time until the agents are asked again, after that took `bytes`.
    fn period(&self, bytes: usize) -> time::Duration {
        let Settings {
            period,
            max_period,
            rate,
            ..
        } = self.settings;
        time::Duration::from_secs_f64(bytes as f64 / rate).clamp(period, max_period)
    }

    /// Sends what waits to be sent, for ever.
    pub async fn send_queued(&self) {
        while let Ok((to, datagram)) = self.router.outbox.output.recv().await {
            self.socket.send(&self.addresses(to), datagram).await;
        }
    }

    fn addresses(&self, to: Recipient) -> Vec<net::SocketAddr> {
        let address = |ip| net::SocketAddr::new(ip, self.port);
        match to {
            Recipient::Agent(ip) => vec![address(ip)],
            Recipient::Routers => {
                let others = self.others.borrow();
                others.keys().map(|other| address(other.ip())).collect()
            }
        }
    }

    /// What every agent is asked.
    fn subscriptions(&self) -> Vec<(net::SocketAddr, Subscribe)> {
        let now = self.router.now();
        let state = self.router.state();
        let Some(routing) = state.routing() else {
            return Vec::new();
        };
        let targets = state.targets().map(|(model, (version, at))| {
            let age = u32::try_from(now.since(*at).as_millis()).unwrap_or(u32::MAX);
            let (model, version) = (model.clone(), *version);
            (WeightsTarget { model, version }, age)
        });
        let targets: Vec<_> = targets.collect();
        let newest = targets.iter().map(|(target, _)| target.version).max();
        let mut asked = Vec::new();
        for (service, own) in routing.services.iter() {
            if own.engine.is_none() {
                continue;
            }
            let incarnations = rollout_order(state.runners(), service, newest.unwrap_or_default());
            let count = u32::try_from(incarnations.len()).unwrap_or(u32::MAX);
            for (rank, (incarnation, address)) in (0..).zip(incarnations) {
                let subscribe = Subscribe {
                    documents_address: self.documents,
                    incarnation,
                    targets: targets.clone(),
                    rank,
                    count,
                };
                asked.push((net::SocketAddr::new(address.ip(), self.port), subscribe));
            }
        }
        asked
    }
}

/// Runners of a service in the order in which they change to `version`.
fn rollout_order(
    runners: &runners::Runners,
    service: &ServiceName,
    version: WeightsVersion,
) -> Vec<(runners::Incarnation, net::SocketAddr)> {
    let own = runners
        .iter()
        .filter(|runner| runner.registration.service == *service && !runner.is_replaced());
    let mut incarnations: Vec<_> = own
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
