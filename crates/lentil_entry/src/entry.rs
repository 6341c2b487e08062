//! Starts and drains an entry.

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use lentil_config::Config;
use lentil_platform::ObjectStore;
use lentil_policy::entry;
use lentil_process::{
    Clock,
    admin::{self, NotReady},
    metrics::Metrics,
};
use lentil_types::{ConfigVersion, PlaceName};
use lentil_wire::Identity;
use trillium_http::Stopper;

use crate::{
    api, control::Control, driver, limits::Limits, links, recorder::Recorder, runners, server,
    state, trace, wait_group::WaitGroup,
};

/// Longest time that a drain waits until the store has the end of every
/// at-most-once call.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Settings of an [`Entry`].
#[derive(Clone)]
pub struct Settings {
    /// Address to listen on for callers; port 0 picks a free port.
    pub listen: net::SocketAddr,
    /// Name and fleet key that this process presents to sidecars.
    pub identity: Identity,
    /// Data centre of this process. Runners there are preferred to equal ones elsewhere.
    pub place: Option<PlaceName>,
    /// Version of `config`; 0 when no configuration is known yet.
    pub version: ConfigVersion,
    /// The configuration to start with.
    pub config: Arc<Config>,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Limits on callers.
    pub limits: Limits,
    /// Counters and timings.
    pub metrics: Metrics,
}

/// A running entry. It stops when dropped.
pub struct Entry {
    address: net::SocketAddr,
    api: Arc<api::Api>,
    control: Control,
    connections: WaitGroup,
    unsettled: WaitGroup,
    stopper: Stopper,
    _driver: smol::Task<()>,
    _server: smol::Task<()>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = smol::net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::start();
        let (inputs, inbox) = smol::channel::unbounded();
        let links = links::Links::new(settings.identity, &settings.config, inputs.clone());
        let links = Arc::new(links);
        let runners = entry::Event::Runners(runners::of_config(&settings.config));
        let objective = entry::Event::Objective(settings.config.objective);
        // The receiver lives until the driver ends.
        let _ = inputs.send(driver::Input::Event(objective)).await;
        let _ = inputs.send(driver::Input::Event(runners)).await;
        let state = state::State::new(settings.version, settings.config);
        let control = Control {
            state: Arc::new(state),
            links: links.clone(),
            inputs: inputs.clone(),
        };
        let unsettled = WaitGroup::default();
        let resources = driver::Resources {
            links,
            place: settings.place,
            store: settings.store,
            clock,
            metrics: settings.metrics.clone(),
            unsettled: unsettled.clone(),
        };
        let api = Arc::new(api::Api {
            state: control.state.clone(),
            inputs,
            clock,
            limits: settings.limits,
            metrics: settings.metrics,
            requests: WaitGroup::default(),
            draining: AtomicBool::new(false),
            recorder: Recorder::new(clock),
        });
        let server = server::Server {
            api: api.clone(),
            limits: settings.limits,
            stopper: Stopper::new(),
            connections: WaitGroup::default(),
        };
        Ok(Self {
            address,
            api,
            control,
            connections: server.connections.clone(),
            unsettled,
            stopper: server.stopper.clone(),
            _driver: smol::spawn(driver::run(resources, inbox)),
            _server: smol::spawn(server.run(listener)),
        })
    }

    /// Address that it listens on for callers.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// A handle that updates this entry.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Applies a configuration. See [`Control::set_config`].
    pub fn set_config(&self, version: ConfigVersion, config: &Arc<Config>) -> bool {
        self.control.set_config(version, config)
    }

    /// Readiness, dump and drain of this entry, for the admin server.
    pub fn admin_handle(&self) -> AdminHandle {
        AdminHandle {
            api: self.api.clone(),
            control: self.control.clone(),
        }
    }

    /// Handler of `GET /trace?seconds=N`, for the admin server.
    pub fn trace_handler(&self) -> impl trillium::Handler + use<> {
        trace::handler(self.api.recorder.clone())
    }

    /// Refuses new requests as not run, waits until every request in flight has
    /// its answer and closes the connections.
    pub async fn drain(&self) {
        self.admin_handle().begin_drain();
        self.api.requests.wait_below(1).await;
        let settled = self.unsettled.wait_below(1);
        let limit = async {
            smol::Timer::after(SETTLE_TIMEOUT).await;
        };
        smol::future::or(settled, limit).await;
        self.stopper.stop();
        self.connections.wait_below(1).await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stopper.stop();
    }
}

/// Readiness, dump and drain of an entry, for the admin server.
#[derive(Clone)]
pub struct AdminHandle {
    api: Arc<api::Api>,
    control: Control,
}

impl AdminHandle {
    fn begin_drain(&self) {
        if !self.api.draining.swap(true, Ordering::AcqRel) {
            log::info!(in_flight = self.api.requests.count(); "draining");
            // The channel is unbounded, so this fails only when the entry is gone.
            let _ = self
                .control
                .inputs
                .try_send(driver::Input::Event(entry::Event::Drain));
        }
    }
}

impl admin::ManagedProcess for AdminHandle {
    fn ready(&self) -> Result<(), NotReady> {
        if self.api.draining.load(Ordering::Acquire) {
            let in_flight = self.api.requests.count();
            return Err(NotReady::Draining { in_flight });
        }
        if self.control.version() == ConfigVersion(0) {
            return Err(NotReady::NoConfig("no version in force".to_owned()));
        }
        Ok(())
    }

    fn dump(&self) -> serde_json::Value {
        let current = self.control.state.current();
        serde_json::json!({
            "config": current.version,
            "region": current.config.region,
            "draining": self.api.draining.load(Ordering::Acquire),
            "in_flight": self.api.requests.count(),
            "counters": self.api.metrics.dump(),
        })
    }

    fn drain(&self) {
        self.begin_drain();
    }
}
