//! The rollout controller's state machine.

use std::time;

use lentil_types::{
    FencingNumber, Instant, RunnerName, RunnerState, ServiceName, Table, WeightsVersion,
};
use rand::RngExt as _;

use super::{Command, Event, Order, OrderFault, Progress, RunnerStatus, StopReason, Target};

/// Settings of a [`Rollout`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two orders, which read the weight store, over all services.
    pub order_interval: time::Duration,
    /// Most concurrent loads, over all services.
    pub max_loading: usize,
    /// Time after which a load counts as failed.
    pub load_timeout: time::Duration,
    /// How long the first runner must stay up before others are updated.
    pub settle_time: time::Duration,
    /// Delay before another order after one was lost or refused.
    pub retry_delay: time::Duration,
    /// Maximum backoff while the weight store is overloaded.
    pub max_backoff: time::Duration,
    /// Failed runners at which a rollout stops.
    pub max_failures: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            order_interval: time::Duration::from_secs(5),
            max_loading: 4,
            load_timeout: time::Duration::from_secs(600),
            settle_time: time::Duration::from_secs(60),
            retry_delay: time::Duration::from_secs(10),
            max_backoff: time::Duration::from_secs(300),
            max_failures: 2,
        }
    }
}

/// A runner's last reported state and ordered load.
#[derive(Clone, Debug)]
struct RunnerRow {
    status: RunnerStatus,
    load: Option<WeightsLoad>,
    /// Earliest time of the next order.
    retry_at: Instant,
    /// When it came up with the target weights.
    updated_at: Option<Instant>,
}

/// A load in flight.
#[derive(Clone, Copy, Debug)]
struct WeightsLoad {
    weights: WeightsVersion,
    started_at: Instant,
    /// Earliest time to repeat an order whose answer was lost.
    repeat_at: Instant,
}

/// Decides which runner loads new weights next.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: Settings,
    targets: Table<ServiceName, Target>,
    progress: Table<ServiceName, Progress>,
    rows: Table<RunnerName, RunnerRow>,
    next_order_at: Instant,
    /// Consecutive throttled orders.
    throttle_count: u32,
    commands: Vec<Command>,
}

impl Rollout {
    /// A controller without targets or runners.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: Table::new(),
            progress: Table::new(),
            rows: Table::new(),
            next_order_at: Instant::ZERO,
            throttle_count: 0,
            commands: Vec::new(),
        }
    }

    /// Handles an event. Call [`Rollout::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: Event, rng: &mut dyn rand::Rng) {
        match event {
            Event::Targets(targets) => self.on_targets(targets),
            Event::RunnerStatus(runner, status) => self.on_runner_status(now, runner, status),
            Event::Removed(runner) => drop(self.rows.remove(&runner)),
            Event::OrderAccepted(_) => self.throttle_count = 0,
            Event::OrderFailed(runner, fault) => self.on_fault(now, &runner, fault, rng),
            Event::Recorded(service, progress) => self.on_recorded(service, progress),
        }
    }

    /// Gives the due orders. `fencing` is the fencing number while the lease is
    /// held; `None` gives no order.
    pub fn tick(&mut self, now: Instant, fencing: Option<FencingNumber>) -> Vec<Command> {
        self.expire_loads(now);
        if let Some(number) = fencing {
            self.give_orders(now, number);
        }
        std::mem::take(&mut self.commands)
    }

    /// Progress of a service's rollout.
    pub fn progress(&self, service: &ServiceName) -> Option<&Progress> {
        self.progress.get(service)
    }

    /// Whether every known runner has its target weights, or its rollout has
    /// stopped.
    pub fn is_done(&self) -> bool {
        let is_done = |row: &RunnerRow| {
            let target = self.targets.get(&row.status.service);
            let progress = self.progress.get(&row.status.service);
            let is_stopped = progress.is_some_and(|progress| progress.stopped.is_some());
            is_stopped || target.is_none_or(|target| target.weights == row.status.weights)
        };
        !self.rows.is_empty() && self.rows.values().all(is_done)
    }

    /// Runners of a service that accept requests.
    pub fn ready(&self, service: &ServiceName) -> usize {
        let is_ready = |row: &&RunnerRow| row.status.service == *service && row.is_ready();
        self.rows.values().filter(is_ready).count()
    }

    // -----------------------------------------------------------------------
    // Events

    fn on_targets(&mut self, targets: Vec<Target>) {
        self.targets = Table::new();
        for target in targets {
            let fresh = Progress::new(target.weights);
            let current = self
                .progress
                .get_or_insert_with(target.service.clone(), || fresh);
            if current.weights != target.weights {
                *current = fresh;
            }
            self.targets.insert(target.service.clone(), target);
        }
    }

    fn on_recorded(&mut self, service: ServiceName, recorded: Progress) {
        let known = self.progress.get(&service);
        // A record with other weights is from an earlier configuration.
        if known.is_none_or(|known| known.weights == recorded.weights) {
            self.progress.insert(service, recorded);
        }
    }

    fn on_runner_status(&mut self, now: Instant, runner: RunnerName, status: RunnerStatus) {
        let service = status.service.clone();
        let target = self.targets.get(&service).map(|target| target.weights);
        let row = self
            .rows
            .get_or_insert_with(runner, || RunnerRow::new(status.clone()));
        let had_other = Some(row.status.weights) != target;
        let was_up = row.is_ready() && !had_other;
        row.status = status;
        let is_live = row.status.state == RunnerState::Live;
        let is_up = is_live && Some(row.status.weights) == target;
        if is_up {
            row.load = None;
            if had_other {
                row.updated_at = Some(now);
            }
            self.on_updated(now, &service);
            return;
        }
        let updated_at = row.updated_at.take();
        let is_early =
            updated_at.is_some_and(|updated_at| now.since(updated_at) < self.settings.settle_time);
        let is_down =
            was_up && matches!(row.status.state, RunnerState::Joining | RunnerState::Gone);
        if is_down && is_early {
            self.record_failure(&service, StopReason::WentDown);
        }
    }

    fn on_updated(&mut self, now: Instant, service: &ServiceName) {
        if let Some(progress) = self.progress.get_mut(service) {
            progress.first_up = progress.first_up.or(Some(now));
        }
    }

    fn on_fault(
        &mut self,
        now: Instant,
        runner: &RunnerName,
        fault: OrderFault,
        rng: &mut dyn rand::Rng,
    ) {
        let Some(row) = self.rows.get_mut(runner) else {
            return;
        };
        let retry = now + self.settings.retry_delay;
        row.retry_at = retry;
        match fault {
            OrderFault::Lost => {
                // It may be loading, so the order is repeated later.
                if let Some(load) = &mut row.load {
                    load.repeat_at = retry;
                }
            }
            OrderFault::Fenced => row.load = None,
            OrderFault::Throttled => {
                row.load = None;
                self.back_off(now, rng);
            }
            OrderFault::BadWeights => {
                row.load = None;
                let service = row.status.service.clone();
                self.record_failure(&service, StopReason::LoadFailed);
            }
        }
    }

    /// Delays the next order with exponential backoff and jitter.
    fn back_off(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let doubled = self
            .settings
            .order_interval
            .saturating_mul(1 << self.throttle_count.min(16));
        let max_delay = doubled.min(self.settings.max_backoff);
        self.throttle_count = self.throttle_count.saturating_add(1);
        self.next_order_at = now + max_delay.mul_f64(rng.random_range(0.5..1.0));
    }

    fn record_failure(&mut self, service: &ServiceName, reason: StopReason) {
        let limit = self.settings.max_failures;
        let Some(progress) = self.progress.get_mut(service) else {
            return;
        };
        progress.record_failure(reason, limit);
        let record = Command::Record(service.clone(), *progress);
        self.commands.push(record);
    }

    // -----------------------------------------------------------------------
    // Scheduling

    /// Fails loads that exceed the load timeout.
    fn expire_loads(&mut self, now: Instant) {
        let limit = self.settings.load_timeout;
        let mut late = Vec::new();
        for (_, row) in self.rows.iter_mut() {
            if row
                .load
                .is_some_and(|load| now.since(load.started_at) > limit)
            {
                row.load = None;
                row.retry_at = now + self.settings.retry_delay;
                late.push(row.status.service.clone());
            }
        }
        for service in late {
            self.record_failure(&service, StopReason::TooSlow);
        }
    }

    fn give_orders(&mut self, now: Instant, number: FencingNumber) {
        let targets: Vec<_> = self.targets.values().cloned().collect();
        for target in targets {
            if now < self.next_order_at {
                return;
            }
            self.give_order(now, number, &target);
        }
    }

    /// Gives at most one order for a service.
    fn give_order(&mut self, now: Instant, number: FencingNumber, target: &Target) {
        let progress = self
            .progress
            .get(&target.service)
            .copied()
            .unwrap_or_default();
        if progress.stopped.is_some() {
            return;
        }
        let Some(runner) = self.next_runner(now, target, &progress) else {
            return;
        };
        let Some(row) = self.rows.get_mut(&runner) else {
            return;
        };
        let started_at = row.load.map_or(now, |load| load.started_at);
        row.load = Some(WeightsLoad {
            weights: target.weights,
            started_at,
            repeat_at: Instant::NEVER,
        });
        self.next_order_at = now + self.settings.order_interval;
        let order = Order {
            number,
            model: target.model.clone(),
            weights: target.weights,
        };
        self.commands.push(Command::Order(runner, order));
    }

    fn next_runner(
        &self,
        now: Instant,
        target: &Target,
        progress: &Progress,
    ) -> Option<RunnerName> {
        let is_of_service =
            |(_, row): &(&RunnerName, &RunnerRow)| row.status.service == target.service;
        let is_due = |(_, row): &(&RunnerName, &RunnerRow)| row.is_due(now, target.weights);
        let mut due: Vec<_> = self
            .rows
            .iter()
            .filter(is_of_service)
            .filter(is_due)
            .collect();
        // Lost orders first, then runners that accept no requests anyway.
        due.sort_by_key(|(_, row)| (row.load.is_none(), row.is_ready()));
        let (runner, row) = due.first()?;
        let is_repeat = row.load.is_some();
        let is_allowed = is_repeat || self.may_start_load(now, target, progress, row);
        is_allowed.then(|| (*runner).clone())
    }

    /// Whether the limits and the service's floor permit another load.
    fn may_start_load(
        &self,
        now: Instant,
        target: &Target,
        progress: &Progress,
        row: &RunnerRow,
    ) -> bool {
        let loading = self.rows.values().filter(|row| row.load.is_some()).count();
        if loading >= self.settings.max_loading {
            return false;
        }
        let is_of_service = |row: &&RunnerRow| row.status.service == target.service;
        let loading_here = self
            .rows
            .values()
            .filter(is_of_service)
            .filter(|row| row.load.is_some());
        let is_proven = progress
            .first_up
            .is_some_and(|first_up| now.since(first_up) >= self.settings.settle_time);
        if !is_proven && (loading_here.count() > 0 || progress.first_up.is_some()) {
            return false;
        }
        // A ready runner stops being ready while it loads.
        !row.is_ready() || self.ready(&target.service) > target.floor as usize
    }
}

impl RunnerRow {
    fn new(status: RunnerStatus) -> Self {
        Self {
            status,
            load: None,
            retry_at: Instant::ZERO,
            updated_at: None,
        }
    }

    /// Whether it accepts requests and has no load pending.
    fn is_ready(&self) -> bool {
        self.status.state == RunnerState::Live && self.load.is_none()
    }

    /// Whether it may be ordered now to load these weights.
    fn is_due(&self, now: Instant, weights: WeightsVersion) -> bool {
        let is_wanted = matches!(self.status.state, RunnerState::Live | RunnerState::Joining);
        let is_idle = self
            .load
            .is_none_or(|load| now >= load.repeat_at || load.weights != weights);
        is_wanted && is_idle && self.status.weights != weights && now >= self.retry_at
    }
}
