//! Orders the runner beside an agent to change to new weights.
//!
//! Only the agent orders its runner, so there is a single writer by construction.
//! Each order names the sequence of the last report: an order that arrives late finds
//! another sequence and has no effect.

use std::time;

use lentil_types::{Instant, ModelName, Tokens, WeightsVersion};

use crate::forward::{backlog, rollout_pacer, rollout_schedule, target_weights};

/// What happens to requests that still run when an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InFlightMode {
    /// They finish before the weights change.
    Finish,
    /// They continue under the new weights. What they generate from then on is worth
    /// little to their callers.
    #[strum(serialize = "go-on")]
    Continue,
}

/// Settings of a [`WeightsUpdater`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// When the runner changes without a turn granted by a router.
    pub rollout: rollout_schedule::Settings,
    /// How long a granted turn can be used.
    pub turn_ttl: time::Duration,
    /// Time from reporting the change to the routers until the order. Requests on
    /// their way to the runner arrive by then.
    pub announce_delay: time::Duration,
    /// Longest wait for running requests before the order.
    pub drain_timeout: time::Duration,
    /// What happens to requests that still run then.
    pub mode: InFlightMode,
    /// Time until an order without effect is repeated.
    pub retry_interval: time::Duration,
    /// Oldest report that an order may be based on.
    pub report_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rollout: rollout_schedule::Settings::default(),
            turn_ttl: time::Duration::from_secs(1),
            announce_delay: time::Duration::from_millis(15),
            drain_timeout: time::Duration::from_millis(450),
            mode: InFlightMode::Continue,
            retry_interval: time::Duration::from_millis(700),
            report_age: time::Duration::from_millis(500),
        }
    }
}

/// State of a runner, as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Identifies this start of the runner.
    pub boot_id: u64,
    /// Weights that it serves.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Whether an order is being carried out.
    pub is_updating: bool,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that cannot be evicted, in tokens.
    pub used_memory: Tokens,
    /// Total memory, in tokens.
    pub capacity: Tokens,
    /// The requests that run.
    pub runs: Vec<backlog::Run>,
}

/// An order to change weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Model whose weights change.
    pub model: ModelName,
    /// Version to change to.
    pub version: WeightsVersion,
    /// Sequence that the runner must have.
    pub sequence: u64,
    /// What happens to requests that still run.
    pub mode: InFlightMode,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// It has the target weights, or its turn in the rollout has not come.
    Serving,
    /// Reported as changing since then; its requests finish.
    Draining(Instant),
    /// When the order was given, and the order.
    Ordered(Instant, Order),
}

/// When the current change started.
#[derive(Clone, Copy, Debug)]
struct Started {
    drained_at: Instant,
    ordered_at: Instant,
}

/// Brings one runner to the target weights.
#[derive(Clone, Debug)]
pub struct WeightsUpdater {
    settings: Settings,
    position: rollout_schedule::RolloutPosition,
    targets: target_weights::TargetWeights,
    report: Option<(Instant, Report)>,
    phase: Phase,
    /// When a router last granted a turn.
    turn: Option<Instant>,
    /// The start of the current change, once the first order was given.
    started: Option<Started>,
    /// The last completed change, until it is taken.
    completed: Option<rollout_pacer::ChangeTimes>,
}

impl WeightsUpdater {
    /// Without target weights and reports.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            position: rollout_schedule::RolloutPosition::default(),
            targets: target_weights::TargetWeights::default(),
            report: None,
            phase: Phase::Serving,
            turn: None,
            started: None,
            completed: None,
        }
    }

    /// A version became the target of a model `age` ago. `false` if it is not newer
    /// than the known one.
    pub fn on_target(
        &mut self,
        now: Instant,
        model: &ModelName,
        version: WeightsVersion,
        age: time::Duration,
    ) -> bool {
        let since = Instant(
            now.0
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(0)),
        );
        self.targets.on_target(since, model, version)
    }

    /// Sets the runner's position in the rollout.
    pub fn on_position(&mut self, position: rollout_schedule::RolloutPosition) {
        self.position = position;
    }

    /// A router granted the runner its turn to change.
    pub fn on_turn(&mut self, now: Instant) {
        self.turn = Some(now);
    }

    /// The last completed change, once.
    pub fn take_completed(&mut self) -> Option<rollout_pacer::ChangeTimes> {
        self.completed.take()
    }

    /// Takes a report. A restart abandons the current change.
    pub fn on_report(&mut self, now: Instant, report: Report) {
        let has_restarted = self
            .report
            .as_ref()
            .is_some_and(|(_, old)| old.boot_id != report.boot_id);
        self.report = Some((now, report));
        if has_restarted {
            self.phase = Phase::Serving;
            self.started = None;
        }
    }

    /// Whether the runner takes no new requests.
    pub fn is_changing(&self) -> bool {
        self.phase != Phase::Serving || self.report().is_some_and(|report| report.is_updating)
    }

    /// Last report of the runner.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Advances the change. A returned order counts as sent.
    pub fn tick(&mut self, now: Instant) -> Option<Order> {
        let (reported_at, report) = self.report.as_ref()?;
        if now.since(*reported_at) > self.settings.report_age {
            return None;
        }
        let Some((model, version, target_since)) = self.lagging(report) else {
            self.finish(now);
            return None;
        };
        if self.has_loaded(report) {
            // A newer target waits for a turn of its own.
            self.finish(now);
            return None;
        }
        match &self.phase {
            Phase::Serving if report.is_updating => None,
            Phase::Serving => {
                let latest_start = self.settings.rollout.latest_start(self.position);
                if self.has_turn(now) || now.since(target_since) >= latest_start {
                    self.phase = Phase::Draining(now);
                }
                None
            }
            Phase::Draining(drain_start) => {
                let age = now.since(*drain_start);
                let is_drained =
                    report.running + report.waiting == 0 && *reported_at > *drain_start;
                let is_due = age >= self.settings.drain_timeout
                    || (is_drained && age >= self.settings.announce_delay);
                if !is_due || report.is_updating {
                    return None;
                }
                Some(self.order(now, model, version))
            }
            Phase::Ordered(ordered_at, order) => {
                let is_overdue = now.since(*ordered_at) >= self.settings.retry_interval;
                let has_new_sequence =
                    report.sequence != order.sequence && *reported_at > *ordered_at;
                if report.is_updating || !(is_overdue || has_new_sequence) {
                    return None;
                }
                Some(self.order(now, model, version))
            }
        }
    }

    fn has_turn(&self, now: Instant) -> bool {
        self.turn
            .is_some_and(|granted_at| now.since(granted_at) <= self.settings.turn_ttl)
    }

    /// Whether the ordered weights are in place, although newer ones are the target.
    fn has_loaded(&self, report: &Report) -> bool {
        let Phase::Ordered(_, order) = &self.phase else {
            return false;
        };
        let mut weights = report.weights.iter();
        let own = weights.find(|(model, _)| *model == order.model);
        !report.is_updating && own.is_some_and(|(_, version)| *version >= order.version)
    }

    fn order(&mut self, now: Instant, model: ModelName, version: WeightsVersion) -> Order {
        let sequence = self.report().map_or(0, |report| report.sequence);
        let order = Order {
            model,
            version,
            sequence,
            mode: self.settings.mode,
        };
        // The time of a load whose order had to be repeated says nothing.
        self.started = match self.phase {
            Phase::Draining(drained_at) => Some(Started {
                drained_at,
                ordered_at: now,
            }),
            _ => None,
        };
        self.phase = Phase::Ordered(now, order.clone());
        order
    }

    fn finish(&mut self, now: Instant) {
        if let Some(started) = self.started.take() {
            self.completed = Some(rollout_pacer::ChangeTimes {
                drain_time: started.ordered_at.since(started.drained_at),
                load_time: now.since(started.ordered_at),
            });
        }
        self.phase = Phase::Serving;
        self.turn = None;
    }

    /// A model with weights older than its target, the target, and since when they are
    /// outdated.
    fn lagging(&self, report: &Report) -> Option<(ModelName, WeightsVersion, Instant)> {
        let mut lagging = report.weights.iter().filter_map(|(model, own)| {
            let (newest, _) = self.targets.newest(model)?;
            let since = self.targets.outdated_since(model, *own)?;
            Some((model.clone(), newest, since))
        });
        lagging.next()
    }
}
