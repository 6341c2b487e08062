//! How an agent brings the runner beside it to new weights.
//!
//! The agent is the only process that gives its runner orders, so there is one
//! holder by construction. Every order names the sequence that the last report
//! showed: one that is carried out late finds another sequence and does nothing.

use std::time;

use lentil_types::{Instant, ModelName, Tokens, WeightsVersion};

use crate::forward::{backlog, rollout_schedule, target_weights};

/// What becomes of the requests that still run when an order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum InFlightMode {
    /// They finish before the weights change.
    Finish,
    /// They go on under the new weights. What they make from then on is worth
    /// little to their callers.
    #[strum(serialize = "go-on")]
    Continue,
}

/// Settings of a [`WeightsUpdater`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Turns of the runners of a service.
    pub rollout: rollout_schedule::Settings,
    /// Time from telling the routers to the order. Requests that are under way
    /// to the runner arrive by then.
    pub announce_delay: time::Duration,
    /// Longest wait for the runner's requests to end before the order.
    pub drain_timeout: time::Duration,
    /// What becomes of those that have not ended by then.
    pub mode: InFlightMode,
    /// An order that shows no effect is given again after this long.
    pub retry_interval: time::Duration,
    /// A report that is older is no ground for an order.
    pub report_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rollout: rollout_schedule::Settings::default(),
            announce_delay: time::Duration::from_millis(15),
            drain_timeout: time::Duration::from_millis(450),
            mode: InFlightMode::Continue,
            retry_interval: time::Duration::from_millis(700),
            report_age: time::Duration::from_millis(500),
        }
    }
}

/// What a runner reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// What tells this start of the runner from others.
    pub boot_id: u64,
    /// Weights that it serves.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Whether an order is being carried out.
    pub is_updating: bool,
    /// Orders that it accepted.
    pub sequence: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that cannot yield, in tokens.
    pub used_memory: Tokens,
    /// All of its memory, in tokens.
    pub capacity: Tokens,
    /// What runs.
    pub runs: Vec<backlog::Run>,
}

/// An order to change weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The model.
    pub model: ModelName,
    /// The version to change to.
    pub version: WeightsVersion,
    /// The sequence that the runner must show.
    pub sequence: u64,
    /// What becomes of the requests that still run.
    pub mode: InFlightMode,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    /// The weights are the newest, or its turn has not come.
    Serving,
    /// The routers were told; its requests end.
    Draining(Instant),
    /// An order was given then.
    Ordered(Instant, Order),
}

/// Brings one runner to new weights.
#[derive(Clone, Debug)]
pub struct WeightsUpdater {
    settings: Settings,
    rollout: rollout_schedule::RolloutSchedule,
    position: rollout_schedule::RolloutPosition,
    targets: target_weights::TargetWeights,
    report: Option<(Instant, Report)>,
    phase: Phase,
    /// When the first order of the change under way was given.
    began: Option<Instant>,
}

impl WeightsUpdater {
    /// One that knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            rollout: rollout_schedule::RolloutSchedule::new(settings.rollout),
            settings,
            position: rollout_schedule::RolloutPosition::default(),
            targets: target_weights::TargetWeights::default(),
            report: None,
            phase: Phase::Serving,
            began: None,
        }
    }

    /// Weights were named `age` ago. `true`: they are news.
    pub fn on_target(
        &mut self,
        now: Instant,
        model: &ModelName,
        version: WeightsVersion,
        age: time::Duration,
    ) -> bool {
        let at = Instant(
            now.0
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(0)),
        );
        self.targets.on_target(at, model, version)
    }

    /// The runner's place in the order of a rollout.
    pub fn on_position(&mut self, position: rollout_schedule::RolloutPosition) {
        self.position = position;
    }

    /// The runner reported.
    pub fn on_report(&mut self, now: Instant, report: Report) {
        let has_restarted = self
            .report
            .as_ref()
            .is_some_and(|(_, old)| old.boot_id != report.boot_id);
        self.report = Some((now, report));
        if has_restarted {
            self.phase = Phase::Serving;
            self.began = None;
        }
    }

    /// Whether the runner takes no new requests.
    pub fn is_changing(&self) -> bool {
        self.phase != Phase::Serving || self.report().is_some_and(|report| report.is_updating)
    }

    /// The last report.
    pub fn report(&self) -> Option<&Report> {
        self.report.as_ref().map(|(_, report)| report)
    }

    /// Looks at what has changed; an order that is due now is returned, and
    /// counts as given.
    pub fn tick(&mut self, now: Instant) -> Option<Order> {
        let (at, report) = self.report.as_ref()?;
        if now.since(*at) > self.settings.report_age {
            return None;
        }
        let Some((model, version, since)) = self.lagging(report) else {
            self.finish(now);
            return None;
        };
        match &self.phase {
            Phase::Serving if report.is_updating => None,
            Phase::Serving => {
                if now.since(since) >= self.rollout.delay(self.position) {
                    self.phase = Phase::Draining(now);
                }
                None
            }
            Phase::Draining(since) => {
                let age = now.since(*since);
                let is_drained = report.running + report.waiting == 0 && *at > *since;
                let is_due = age >= self.settings.drain_timeout
                    || (is_drained && age >= self.settings.announce_delay);
                if !is_due || report.is_updating {
                    return None;
                }
                Some(self.order(now, model, version))
            }
            Phase::Ordered(ordered_at, order) => {
                let is_old = now.since(*ordered_at) >= self.settings.retry_interval;
                let has_moved = report.sequence != order.sequence && *at > *ordered_at;
                if report.is_updating || !(is_old || has_moved) {
                    return None;
                }
                Some(self.order(now, model, version))
            }
        }
    }

    fn order(&mut self, now: Instant, model: ModelName, version: WeightsVersion) -> Order {
        let sequence = self.report().map_or(0, |report| report.sequence);
        let order = Order {
            model,
            version,
            sequence,
            mode: self.settings.mode,
        };
        self.began.get_or_insert(now);
        self.phase = Phase::Ordered(now, order.clone());
        order
    }

    fn finish(&mut self, now: Instant) {
        if let Some(began) = self.began.take() {
            self.rollout.on_loaded(now.since(began));
        }
        self.phase = Phase::Serving;
    }

    /// A model whose weights are older than the named ones.
    fn lagging(&self, report: &Report) -> Option<(ModelName, WeightsVersion, Instant)> {
        let mut old = report.weights.iter().filter_map(|(model, own)| {
            let (newest, at) = self.targets.newest(model)?;
            (*own < newest).then(|| (model.clone(), newest, at))
        });
        old.next()
    }
}
