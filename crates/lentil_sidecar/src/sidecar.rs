//! A running sidecar.

use std::{
    io, net,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use lentil_policy::sidecar;
use lentil_process::{
    Clock,
    admin::{self, NotReady},
    metrics::Metrics,
};
use lentil_types::RunnerState;
use lentil_wire::{Identity, PoisonNotice, RefusalLog};
use smol::channel::{self, Receiver, Sender};

use crate::{
    BackendKind, Control, backend,
    driver::{self, Input},
    orders::Orders,
    service,
    state::State,
};

/// Inputs that may wait for the driver.
const MAX_WAITING_INPUTS: usize = 1_024;

/// Crashes that may wait to be recorded.
const MAX_WAITING_CRASHES: usize = 1_024;

/// Settings of a [`Sidecar`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens for entries; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Where its backend server listens.
    pub backend: net::SocketAddr,
    /// What the backend server speaks.
    pub kind: BackendKind,
    /// Who this process is.
    pub identity: Identity,
    /// Counters and timings.
    pub metrics: Metrics,
}

/// A running sidecar. It stops when dropped.
pub struct Sidecar {
    address: net::SocketAddr,
    state: Arc<State>,
    events: Sender<Input>,
    orders: Arc<Orders>,
    metrics: Metrics,
    /// Closing it tells the service to stop.
    closing: Sender<()>,
    crashes: Receiver<PoisonNotice>,
    service: smol::lock::Mutex<Option<smol::Task<()>>>,
    _tasks: Vec<smol::Task<()>>,
}

impl Sidecar {
    /// Starts a sidecar.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = smol::net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let (events, inbox) = channel::bounded(MAX_WAITING_INPUTS);
        let (closing, closed) = channel::bounded(1);
        let (crash_sender, crashes) = channel::bounded(MAX_WAITING_CRASHES);
        let backend = Arc::new(backend::Backend::new(settings.backend, settings.kind));
        let state = Arc::new(State::default());
        let orders = Arc::new(Orders::new(backend.clone()));
        let service = service::Service {
            identity: settings.identity,
            events: events.clone(),
            metrics: settings.metrics.clone(),
            clock: Clock::start(),
            refusals: Mutex::new(RefusalLog::default()),
            next_link: AtomicU64::new(1),
            closing: closed,
            orders: orders.clone(),
        };
        let parts = driver::Parts {
            backend: backend.clone(),
            events: events.clone(),
            state: state.clone(),
            metrics: settings.metrics.clone(),
            crashes: crash_sender,
        };
        let mut tasks = vec![
            smol::spawn(driver::run(parts, inbox)),
            smol::spawn(backend::watch(backend.clone(), events.clone())),
        ];
        if settings.kind == BackendKind::Engine {
            tasks.push(smol::spawn(backend::follow_cache(backend, events.clone())));
        }
        let service = smol::spawn(service::run(Arc::new(service), listener));
        Ok(Self {
            address,
            state,
            events,
            orders,
            metrics: settings.metrics,
            closing,
            crashes,
            service: smol::lock::Mutex::new(Some(service)),
            _tasks: tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Crashes of its engine, with the fingerprints that ran in them.
    pub fn crashes(&self) -> Receiver<PoisonNotice> {
        self.crashes.clone()
    }

    /// A handle that changes what the sidecar works with.
    pub fn control(&self) -> Control {
        Control {
            state: self.state.clone(),
            events: self.events.clone(),
            orders: self.orders.clone(),
        }
    }

    /// What the admin server shows of this sidecar.
    pub fn admin_handle(&self) -> AdminHandle {
        AdminHandle {
            state: self.state.clone(),
            events: self.events.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Takes nothing new, waits until everything in flight has its answer and
    /// closes the connections. Until then further requests are refused as not
    /// run.
    pub async fn drain(&self) {
        self.admin_handle().begin_drain().await;
        let (sender, closed) = channel::bounded(1);
        // It fails only when the driver is gone, and with it all that runs.
        let _ = self.events.send(Input::Close(sender)).await;
        let _ = closed.recv().await;
        self.closing.close();
        if let Some(service) = self.service.lock().await.take() {
            service.await;
        }
    }
}

/// What the admin server shows of a sidecar.
#[derive(Clone)]
pub struct AdminHandle {
    state: Arc<State>,
    events: Sender<Input>,
    metrics: Metrics,
}

impl AdminHandle {
    async fn begin_drain(&self) {
        if self.state.begin_drain() {
            log::info!(in_flight = self.state.shown().in_flight; "draining");
            let leave = Input::Event(sidecar::Event::Leave);
            // It fails only when the sidecar is gone.
            let _ = self.events.send(leave).await;
        }
    }
}

impl admin::ManagedProcess for AdminHandle {
    fn ready(&self) -> Result<(), NotReady> {
        let shown = self.state.shown();
        let in_flight = shown.in_flight;
        match shown.load.state {
            _ if self.state.is_draining() => Err(NotReady::Draining { in_flight }),
            RunnerState::Live => Ok(()),
            RunnerState::Joining => Err(NotReady::NoBackend),
            RunnerState::Leaving | RunnerState::Gone => Err(NotReady::Draining { in_flight }),
        }
    }

    fn dump(&self) -> serde_json::Value {
        let shown = self.state.shown();
        let load = shown.load;
        serde_json::json!({
            "boot": load.boot,
            "weights": load.weights,
            "state": load.state,
            "queued": load.queued,
            "running": load.running,
            "backlog": load.backlog,
            "config": load.config,
            "in_flight": shown.in_flight,
            "exchanges": shown.links,
            "suspects": shown.notices,
            "draining": self.state.is_draining(),
            "counters": self.metrics.dump(),
        })
    }

    fn drain(&self) {
        let subject = self.clone();
        smol::spawn(async move { subject.begin_drain().await }).detach();
    }
}
