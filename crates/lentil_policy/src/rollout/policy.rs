//! Decides which runner loads new weights next.

use std::time;

use lentil_types::{
    FencingNumber, Instant, RunnerName, RunnerState, ServiceName, Table, WeightsVersion,
};
use rand::RngExt as _;

use super::{Command, Event, Order, OrderFault, Progress, RunnerStatus, StopReason, Target};

/// Settings of a [`Rollout`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two orders that read the weight store, over all services.
    pub order_interval: time::Duration,
    /// Runners that load at once, over all services.
    pub max_loading: usize,
    /// How long a load may take.
    pub load_timeout: time::Duration,
    /// How long the first runner must stay up before others follow.
    pub settle_time: time::Duration,
    /// Pause after an order whose answer was lost, or that was refused.
    pub retry_delay: time::Duration,
    /// Longest pause while the weight store has too much to do.
    pub max_backoff: time::Duration,
    /// Runners that fail before the rollout stops by itself.
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

/// A runner and the load that it was ordered, if any.
#[derive(Clone, Debug)]
struct Row {
    view: RunnerStatus,
    load: Option<Load>,
    /// Not to be ordered again before this.
    retry: Instant,
    /// When it came up with the weights in force.
    arrived: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Load {
    weights: WeightsVersion,
    since: Instant,
    /// Not to be repeated before this.
    repeat: Instant,
}

/// Decides which runner loads new weights next.
#[derive(Clone, Debug)]
pub struct Rollout {
    settings: Settings,
    targets: Table<ServiceName, Target>,
    progress: Table<ServiceName, Progress>,
    rows: Table<RunnerName, Row>,
    next_turn: Instant,
    throttled: u32,
    commands: Vec<Command>,
}

impl Rollout {
    /// A controller that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: Table::new(),
            progress: Table::new(),
            rows: Table::new(),
            next_turn: Instant::ZERO,
            throttled: 0,
            commands: Vec::new(),
        }
    }

    /// Takes in what happened. Call [`Rollout::tick`] afterwards.
    pub fn on_event(&mut self, now: Instant, event: Event, rng: &mut dyn rand::Rng) {
        match event {
            Event::Targets(targets) => self.on_targets(targets),
            Event::RunnerStatus(runner, view) => self.on_runner(now, runner, view),
            Event::Removed(runner) => drop(self.rows.remove(&runner)),
            Event::OrderAccepted(_) => self.throttled = 0,
            Event::OrderFailed(runner, fault) => self.on_fault(now, &runner, fault, rng),
            Event::Recorded(service, progress) => self.on_recorded(service, progress),
        }
    }

    /// Gives the orders that are due. `permit` is the fencing number while this
    /// process holds the lease; without it nothing is ordered.
    pub fn tick(&mut self, now: Instant, permit: Option<FencingNumber>) -> Vec<Command> {
        self.expire(now);
        if let Some(number) = permit {
            self.order(now, number);
        }
        std::mem::take(&mut self.commands)
    }

    /// How a service's rollout goes.
    pub fn progress(&self, service: &ServiceName) -> Option<&Progress> {
        self.progress.get(service)
    }

    /// Whether every runner that was seen has the weights wanted, or its rollout
    /// has stopped.
    pub fn is_done(&self) -> bool {
        let is_done = |row: &Row| {
            let target = self.targets.get(&row.view.service);
            let progress = self.progress.get(&row.view.service);
            let is_stopped = progress.is_some_and(|progress| progress.stopped.is_some());
            is_stopped || target.is_none_or(|target| target.weights == row.view.weights)
        };
        !self.rows.is_empty() && self.rows.values().all(is_done)
    }

    /// Runners of a service that take work.
    pub fn ready(&self, service: &ServiceName) -> usize {
        let is_ready = |row: &&Row| row.view.service == *service && row.is_ready();
        self.rows.values().filter(is_ready).count()
    }

    // -----------------------------------------------------------------------
    // Events

    fn on_targets(&mut self, targets: Vec<Target>) {
        self.targets = Table::new();
        for target in targets {
            let fresh = Progress::new(target.weights);
            let known = self
                .progress
                .get_or_insert_with(target.service.clone(), || fresh);
            if known.weights != target.weights {
                *known = fresh;
            }
            self.targets.insert(target.service.clone(), target);
        }
    }

    fn on_recorded(&mut self, service: ServiceName, recorded: Progress) {
        let known = self.progress.get(&service);
        // A record about other weights is from an earlier text.
        if known.is_none_or(|known| known.weights == recorded.weights) {
            self.progress.insert(service, recorded);
        }
    }

    fn on_runner(&mut self, now: Instant, runner: RunnerName, view: RunnerStatus) {
        let service = view.service.clone();
        let wanted = self.targets.get(&service).map(|target| target.weights);
        let row = self
            .rows
            .get_or_insert_with(runner, || Row::new(view.clone()));
        let had_other = Some(row.view.weights) != wanted;
        let was_up = row.is_ready() && !had_other;
        row.view = view;
        let is_live = row.view.state == RunnerState::Live;
        let is_up = is_live && Some(row.view.weights) == wanted;
        if is_up {
            row.load = None;
            if had_other {
                row.arrived = Some(now);
            }
            self.on_arrived(now, &service);
            return;
        }
        let arrived = row.arrived.take();
        let is_early = arrived.is_some_and(|at| now.since(at) < self.settings.settle_time);
        let is_down = was_up && matches!(row.view.state, RunnerState::Joining | RunnerState::Gone);
        if is_down && is_early {
            self.fail(&service, StopReason::WentDown);
        }
    }

    fn on_arrived(&mut self, now: Instant, service: &ServiceName) {
        if let Some(progress) = self.progress.get_mut(service) {
            progress.first = progress.first.or(Some(now));
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
        row.retry = retry;
        match fault {
            OrderFault::Lost => {
                // It may be loading: the same order is repeated later.
                if let Some(load) = &mut row.load {
                    load.repeat = retry;
                }
            }
            OrderFault::Fenced => row.load = None,
            OrderFault::Throttled => {
                row.load = None;
                self.pause(now, rng);
            }
            OrderFault::BadWeights => {
                row.load = None;
                let service = row.view.service.clone();
                self.fail(&service, StopReason::LoadFailed);
            }
        }
    }

    /// Leaves the weight store alone for a while that doubles each time.
    fn pause(&mut self, now: Instant, rng: &mut dyn rand::Rng) {
        let doubled = self
            .settings
            .order_interval
            .saturating_mul(1 << self.throttled.min(16));
        let longest = doubled.min(self.settings.max_backoff);
        self.throttled = self.throttled.saturating_add(1);
        self.next_turn = now + longest.mul_f64(rng.random_range(0.5..1.0));
    }

    fn fail(&mut self, service: &ServiceName, reason: StopReason) {
        let limit = self.settings.max_failures;
        let Some(progress) = self.progress.get_mut(service) else {
            return;
        };
        progress.fail(reason, limit);
        let record = Command::Record(service.clone(), *progress);
        self.commands.push(record);
    }

    // -----------------------------------------------------------------------
    // Systems

    /// Gives up loads that take too long.
    fn expire(&mut self, now: Instant) {
        let limit = self.settings.load_timeout;
        let mut late = Vec::new();
        for (_, row) in self.rows.iter_mut() {
            if row.load.is_some_and(|load| now.since(load.since) > limit) {
                row.load = None;
                row.retry = now + self.settings.retry_delay;
                late.push(row.view.service.clone());
            }
        }
        for service in late {
            self.fail(&service, StopReason::TooSlow);
        }
    }

    fn order(&mut self, now: Instant, number: FencingNumber) {
        let targets: Vec<_> = self.targets.values().cloned().collect();
        for target in targets {
            if now < self.next_turn {
                return;
            }
            self.order_for(now, number, &target);
        }
    }

    /// Gives at most one order for a service.
    fn order_for(&mut self, now: Instant, number: FencingNumber, target: &Target) {
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
        let since = row.load.map_or(now, |load| load.since);
        row.load = Some(Load {
            weights: target.weights,
            since,
            repeat: Instant::NEVER,
        });
        self.next_turn = now + self.settings.order_interval;
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
        let mine = |(_, row): &(&RunnerName, &Row)| row.view.service == target.service;
        let due = |(_, row): &(&RunnerName, &Row)| row.is_due(now, target.weights);
        let mut due: Vec<_> = self.rows.iter().filter(mine).filter(due).collect();
        // A lost order first, then runners that take no work anyway.
        due.sort_by_key(|(_, row)| (row.load.is_none(), row.is_ready()));
        let (runner, row) = due.first()?;
        let is_repeat = row.load.is_some();
        let is_allowed = is_repeat || self.may_begin(now, target, progress, row);
        is_allowed.then(|| (*runner).clone())
    }

    fn may_begin(&self, now: Instant, target: &Target, progress: &Progress, row: &Row) -> bool {
        let loading = self.rows.values().filter(|row| row.load.is_some()).count();
        if loading >= self.settings.max_loading {
            return false;
        }
        let of_service = |row: &&Row| row.view.service == target.service;
        let here = self
            .rows
            .values()
            .filter(of_service)
            .filter(|row| row.load.is_some());
        let is_proven = progress
            .first
            .is_some_and(|at| now.since(at) >= self.settings.settle_time);
        if !is_proven && (here.count() > 0 || progress.first.is_some()) {
            return false;
        }
        // A ready runner that loads is ready no longer.
        !row.is_ready() || self.ready(&target.service) > target.floor as usize
    }
}

impl Row {
    fn new(view: RunnerStatus) -> Self {
        Self {
            view,
            load: None,
            retry: Instant::ZERO,
            arrived: None,
        }
    }

    /// Whether it takes work and was not ordered to stop for a load.
    fn is_ready(&self) -> bool {
        self.view.state == RunnerState::Live && self.load.is_none()
    }

    /// Whether an order for these weights may be given to it now.
    fn is_due(&self, now: Instant, weights: WeightsVersion) -> bool {
        let is_wanted = matches!(self.view.state, RunnerState::Live | RunnerState::Joining);
        let is_idle = self
            .load
            .is_none_or(|load| now >= load.repeat || load.weights != weights);
        is_wanted && is_idle && self.view.weights != weights && now >= self.retry
    }
}
