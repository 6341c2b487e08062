//! Starts, drains and stops a sidecar.

use std::{
    io, net,
    sync::{Arc, Mutex, atomic::AtomicU64},
};

use lentil_policy::sidecar;
use lentil_process::{
    Clock,
    admin::{self, NotReady},
    metrics::Metrics,
    panics,
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

/// Capacity of the driver's input queue; senders wait while it is full.
const MAX_WAITING_INPUTS: usize = 1_024;

/// Crash notices that may wait to be recorded; more are dropped.
const MAX_WAITING_CRASHES: usize = 1_024;

/// Settings of a [`Sidecar`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Listen address for entries; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Address of its backend server.
    pub backend: net::SocketAddr,
    /// Protocol of the backend server.
    pub kind: BackendKind,
    /// Its node name and the fleet key.
    pub identity: Identity,
    /// Metrics that it updates.
    pub metrics: Metrics,
}

/// A running sidecar. It stops when dropped.
pub struct Sidecar {
    address: net::SocketAddr,
    state: Arc<State>,
    events: Sender<Input>,
    orders: Arc<Orders>,
    metrics: Metrics,
    /// Closed to stop accepting connections.
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
        let resources = driver::Resources {
            backend: backend.clone(),
            events: events.clone(),
            state: state.clone(),
            metrics: settings.metrics.clone(),
            crashes: crash_sender,
        };
        let mut tasks = vec![
            smol::spawn(driver::run(resources, inbox)),
            supervised(&settings.metrics, &backend, &events, backend::watch),
        ];
        if settings.kind == BackendKind::Engine {
            let follow = backend::follow_cache;
            tasks.push(supervised(&settings.metrics, &backend, &events, follow));
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

    /// Bound address for entries, with the actual port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Notices of the fingerprints that ran when its engine crashed.
    pub fn crashes(&self) -> Receiver<PoisonNotice> {
        self.crashes.clone()
    }

    /// A handle to configure the sidecar.
    pub fn control(&self) -> Control {
        Control {
            state: self.state.clone(),
            events: self.events.clone(),
            orders: self.orders.clone(),
        }
    }

    /// A handle for the admin server.
    pub fn admin_handle(&self) -> AdminHandle {
        AdminHandle {
            state: self.state.clone(),
            events: self.events.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Waits until every request in flight has ended, then closes the connections.
    /// New requests are refused as not run.
    pub async fn drain(&self) {
        self.admin_handle().begin_drain().await;
        let (sender, closed) = channel::bounded(1);
        // Fails only when the driver is gone; nothing is in flight then.
        let _ = self.events.send(Input::Close(sender)).await;
        let _ = closed.recv().await;
        self.closing.close();
        if let Some(service) = self.service.lock().await.take() {
            service.await;
        }
    }
}

/// Lets the admin server inspect and drain a sidecar.
#[derive(Clone)]
pub struct AdminHandle {
    state: Arc<State>,
    events: Sender<Input>,
    metrics: Metrics,
}

impl AdminHandle {
    async fn begin_drain(&self) {
        if self.state.begin_drain() {
            log::info!(in_flight = self.state.snapshot().in_flight; "draining");
            let leave = Input::Event(sidecar::Event::Leave);
            // Fails only when the sidecar is gone.
            let _ = self.events.send(leave).await;
        }
    }
}

impl admin::ManagedProcess for AdminHandle {
    fn ready(&self) -> Result<(), NotReady> {
        let snapshot = self.state.snapshot();
        let in_flight = snapshot.in_flight;
        match snapshot.load.state {
            _ if self.state.is_draining() => Err(NotReady::Draining { in_flight }),
            RunnerState::Live => Ok(()),
            RunnerState::Joining => Err(NotReady::NoBackend),
            RunnerState::Leaving | RunnerState::Gone => Err(NotReady::Draining { in_flight }),
        }
    }

    fn dump(&self) -> serde_json::Value {
        let snapshot = self.state.snapshot();
        let load = snapshot.load;
        serde_json::json!({
            "boot": load.boot,
            "weights": load.weights,
            "state": load.state,
            "queued": load.queued,
            "running": load.running,
            "backlog": load.backlog,
            "config": load.config,
            "in_flight": snapshot.in_flight,
            "exchanges": snapshot.links,
            "suspects": snapshot.notices,
            "draining": self.state.is_draining(),
            "counters": self.metrics.dump(),
        })
    }

    fn drain(&self) {
        let handle = self.clone();
        smol::spawn(async move { handle.begin_drain().await }).detach();
    }
}

/// Spawns a task that reads from the backend server, and starts it again after a panic.
fn supervised<F: Future<Output = ()> + Send + 'static>(
    metrics: &Metrics,
    backend: &Arc<backend::Backend>,
    events: &Sender<Input>,
    run: fn(Arc<backend::Backend>, Sender<Input>) -> F,
) -> smol::Task<()> {
    let (metrics, backend, events) = (metrics.clone(), backend.clone(), events.clone());
    smol::spawn(async move {
        panics::supervise(&metrics, || run(backend.clone(), events.clone())).await;
    })
}
