//! Brings runners to the weights that the configuration specifies.
//!
//! The entries of a region contend for one lease, and its holder runs [`Rollout`].

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time,
};

use lentil_platform::{ObjectStore, execute_call};
use lentil_policy::{
    lease::{self, Lease},
    rollout::{self, Rollout},
    store::ObjectKey,
};
use lentil_process::Clock;
use lentil_types::{
    ConfigVersion, FencingNumber, Instant, NodeName, RegionName, RunnerName, ServiceName,
};
use lentil_wire::{Message, WireError};
use rand::{RngExt as _, SeedableRng as _};
use smol::channel::{Receiver, Sender};

use crate::{Control, links::Links};

/// Interval of the control loop.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval of polling a lease that another entry holds, before jitter.
const LEASE_POLL_INTERVAL: time::Duration = time::Duration::from_secs(15);
/// Timeout of a sidecar's status reply.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Timeout of a sidecar's reply to an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Settings of a controller.
#[derive(Clone)]
pub struct ControllerSettings {
    /// Name of this process, as holder of the lease.
    pub node: NodeName,
    /// The region whose lease and runners it controls.
    pub region: RegionName,
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// Settings of rollouts.
    pub rollout: rollout::Settings,
    /// Interval of status requests to every runner during a rollout.
    pub busy_poll: time::Duration,
    /// The same interval while no rollout is in progress.
    pub idle_poll: time::Duration,
}

impl ControllerSettings {
    /// Settings that poll every 5 s during a rollout and every 60 s otherwise.
    pub fn new(node: NodeName, region: RegionName, store: Arc<dyn ObjectStore>) -> Self {
        Self {
            node,
            region,
            store,
            rollout: rollout::Settings::default(),
            busy_poll: time::Duration::from_secs(5),
            idle_poll: time::Duration::from_secs(60),
        }
    }
}

struct Controller {
    settings: ControllerSettings,
    control: Control,
    clock: Clock,
    lease: Arc<Mutex<Lease>>,
    rollout: Rollout,
    version: ConfigVersion,
    services: HashMap<RunnerName, ServiceName>,
    /// Fencing number of the tenure whose rollout records were read.
    tenure: Option<FencingNumber>,
    next_poll: Instant,
    events: Sender<rollout::Event>,
    rng: rand_pcg::Pcg64Mcg,
}

/// Contends for the lease and runs rollouts while it holds it. Runs until dropped.
pub async fn control_runners(control: Control, settings: ControllerSettings) {
    let (events, inbox) = smol::channel::unbounded();
    let key = lease::key(&settings.region);
    let lease = lease::Settings {
        poll_interval: LEASE_POLL_INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25)),
        ..lease::Settings::new(settings.node.clone(), rand::random(), key)
    };
    let mut controller = Controller {
        rollout: Rollout::new(settings.rollout),
        settings,
        control,
        clock: Clock::start(),
        lease: Arc::new(Mutex::new(Lease::new(lease))),
        version: ConfigVersion(0),
        services: HashMap::new(),
        tenure: None,
        next_poll: Instant::ZERO,
        events,
        rng: rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng()),
    };
    loop {
        controller.round(&inbox).await;
        smol::Timer::after(ROUND_INTERVAL).await;
    }
}

impl Controller {
    async fn round(&mut self, inbox: &Receiver<rollout::Event>) {
        self.renew_lease().await;
        let Some(number) = self.permit() else {
            self.tenure = None;
            return;
        };
        self.apply_config();
        if self.tenure != Some(number) {
            self.read_records().await;
            self.tenure = Some(number);
        }
        while let Ok(event) = inbox.try_recv() {
            self.rollout
                .on_event(self.clock.now(), event, &mut self.rng);
        }
        self.poll_runners();
        for command in self.rollout.tick(self.clock.now(), self.permit()) {
            match command {
                rollout::Command::Order(runner, order) => self.order(runner, order),
                rollout::Command::Record(service, progress) => {
                    self.write_record(&service, &progress).await;
                }
            }
        }
    }

    fn permit(&self) -> Option<FencingNumber> {
        lock(&self.lease).permit(self.clock.now())
    }

    async fn renew_lease(&self) {
        loop {
            let call = lock(&self.lease).tick(self.clock.now());
            let Some(call) = call else {
                return;
            };
            let reply = execute_call(&*self.settings.store, call).await;
            lock(&self.lease).on_reply(self.clock.now(), &reply);
        }
    }

    // -----------------------------------------------------------------------
    // Desired state

    /// Passes the runners and target weights of a new configuration to the rollout.
    fn apply_config(&mut self) {
        let version = self.control.version();
        if version == self.version {
            return;
        }
        self.version = version;
        let config = self.control.config();
        let target = |model: &lentil_config::Model| {
            let service = config.service(&model.service)?;
            Some(rollout::Target {
                service: service.name.clone(),
                model: model.name.clone(),
                weights: model.weights,
                floor: service.floor,
            })
        };
        let targets: Vec<_> = config.models.iter().filter_map(target).collect();
        let mut services = HashMap::new();
        for target in &targets {
            let service = config.service(&target.service);
            for runner in service.iter().flat_map(|service| &service.runners) {
                services.insert(runner.name.clone(), target.service.clone());
            }
        }
        let now = self.clock.now();
        let previous = std::mem::replace(&mut self.services, services);
        for (runner, _) in previous {
            if !self.services.contains_key(&runner) {
                let removed = rollout::Event::Removed(runner);
                self.rollout.on_event(now, removed, &mut self.rng);
            }
        }
        let targets = rollout::Event::Targets(targets);
        self.rollout.on_event(now, targets, &mut self.rng);
        self.next_poll = now;
    }

    // -----------------------------------------------------------------------
    // Observed state

    /// Requests the status of every runner if the poll is due.
    fn poll_runners(&mut self) {
        let now = self.clock.now();
        if now < self.next_poll {
            return;
        }
        let settings = &self.settings;
        let is_done = self.rollout.is_done();
        let period = if is_done {
            settings.idle_poll
        } else {
            settings.busy_poll
        };
        self.next_poll = now + period;
        for (runner, service) in &self.services {
            let report = report_status(
                self.control.links.clone(),
                runner.clone(),
                service.clone(),
                self.events.clone(),
            );
            smol::spawn(report).detach();
        }
    }

    // -----------------------------------------------------------------------
    // Orders

    fn order(&self, runner: RunnerName, order: rollout::Order) {
        let (links, events) = (self.control.links.clone(), self.events.clone());
        let (lease, clock) = (self.lease.clone(), self.clock);
        let send = async move {
            // Called right before the order is sent: the lease may have expired since
            // the order was made.
            let is_permitted = || lock(&lease).permit(clock.now()) == Some(order.number);
            let result = with_timeout(
                ORDER_TIMEOUT,
                send_order(&links, &runner, &order, is_permitted),
            )
            .await;
            let event = match result {
                Ok(Ok(())) => rollout::Event::OrderAccepted(runner),
                Ok(Err(fault)) => rollout::Event::OrderFailed(runner, fault),
                Err(error) => {
                    log::warn!(runner:% = runner; "no reply to an order: {error}");
                    rollout::Event::OrderFailed(runner, rollout::OrderFault::Lost)
                }
            };
            let _ = events.send(event).await;
        };
        smol::spawn(send).detach();
    }

    // -----------------------------------------------------------------------
    // Records of rollouts

    fn record_key(&self, service: &ServiceName) -> ObjectKey {
        ObjectKey {
            kind: "rollouts".into(),
            name: format!("{}/{service}", self.settings.region).into(),
        }
    }

    async fn read_records(&mut self) {
        let mut services: Vec<_> = self.services.values().cloned().collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let object = self.settings.store.read(&self.record_key(&service)).await;
            let value = object.map(|object| object.value).unwrap_or_default();
            let text = String::from_utf8(value).unwrap_or_default();
            if let Ok(progress) = text.parse() {
                let recorded = rollout::Event::Recorded(service, progress);
                self.rollout
                    .on_event(self.clock.now(), recorded, &mut self.rng);
            }
        }
    }

    async fn write_record(&self, service: &ServiceName, progress: &rollout::Progress) {
        let key = self.record_key(service);
        let store = &self.settings.store;
        let written = async {
            let version = store.read(&key).await?.version;
            store
                .update(&key, version, progress.to_string().into_bytes())
                .await
        };
        match written.await {
            Ok(_) => log::warn!(service:% = service; "a rollout failed on a runner: {progress}"),
            Err(error) => log::error!(service:% = service; "cannot record a rollout: {error}"),
        }
    }
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Requests a runner's status from its sidecar and reports it to the rollout.
async fn report_status(
    links: Arc<Links>,
    runner: RunnerName,
    service: ServiceName,
    events: Sender<rollout::Event>,
) {
    match with_timeout(STATUS_TIMEOUT, request_status(&links, &runner)).await {
        Ok(load) => {
            let status = rollout::RunnerStatus {
                service,
                boot: load.boot,
                weights: load.weights,
                state: load.state,
            };
            let _ = events
                .send(rollout::Event::RunnerStatus(runner, status))
                .await;
        }
        // No reply does not mean that the runner is gone: its last known status stays.
        Err(error) => log::debug!(runner:% = runner; "no status: {error}"),
    }
}

async fn request_status(
    links: &Links,
    runner: &RunnerName,
) -> Result<lentil_policy::protocol::Load, WireError> {
    let mut exchange = links.open(runner).await?;
    let config = ConfigVersion(u64::MAX);
    exchange
        .sender
        .send(Message::Ask {
            config,
            want_text: false,
        })
        .await?;
    // The sidecar may have replied and closed the stream already.
    exchange.sender.finish();
    match exchange.receiver.recv().await? {
        Some(Message::Load(load)) => Ok(load),
        other => Err(unexpected("load", other.as_ref())),
    }
}

async fn send_order(
    links: &Links,
    runner: &RunnerName,
    order: &rollout::Order,
    is_permitted: impl Fn() -> bool,
) -> Result<Result<(), rollout::OrderFault>, WireError> {
    let mut exchange = links.open(runner).await?;
    if !is_permitted() {
        return Ok(Err(rollout::OrderFault::Fenced));
    }
    exchange.sender.send(Message::Order(order.clone())).await?;
    // The sidecar may have replied and closed the stream already.
    exchange.sender.finish();
    match exchange.receiver.recv().await? {
        Some(Message::Ordered(outcome)) => Ok(outcome),
        other => Err(unexpected("ordered", other.as_ref())),
    }
}

fn unexpected(expected: &'static str, got: Option<&Message>) -> WireError {
    match got {
        Some(got) => WireError::Unexpected {
            expected,
            got: got.name(),
        },
        None => WireError::StreamEnded(expected),
    }
}

async fn with_timeout<T>(
    limit: time::Duration,
    work: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    let timer = async {
        smol::Timer::after(limit).await;
        Err(WireError::StreamEnded("an answer within the time limit"))
    };
    smol::future::or(work, timer).await
}
