//! One runner.

use std::{net, time};

use lentil_types::{
    Instant, ModelName, PlaceName, RunnerName, ServiceName, Tokens, WeightsVersion,
};

use super::{health::Health, segments};

/// One start of a runner. Compared for equality only: what says when it began
/// comes from another machine's clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Its name.
    pub name: RunnerName,
    /// What tells this start from others under the same name.
    pub boot_id: u64,
}

/// A runner as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its name and start.
    pub incarnation: Incarnation,
    /// Where it answers.
    pub address: net::SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Weights that it serves.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Version of the entry in the store; a later one is higher.
    pub revision: u64,
}

/// A runner as its agent tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Weights that it serves.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Whether it takes no new requests because its weights change.
    pub is_changing: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// What has changed of the shared parts that it holds.
    pub segments: segments::SegmentUpdate,
    /// Shared parts that it reads now.
    pub prefilling: Vec<segments::SegmentKey>,
    /// Prompt tokens that are left to compute, of the long prompts of all
    /// routers.
    pub backlog: Tokens,
    /// Memory, in tokens, that requests have and that long prompts will take.
    pub committed: Tokens,
    /// All of its memory, in tokens; 0 where the agent does not know.
    pub capacity: Tokens,
}

/// What a request costs the runner that it is sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Prompt tokens that the runner must compute, as expected.
    pub uncached: Tokens,
    /// Memory that it takes, in tokens.
    pub memory: Tokens,
    /// When it was sent.
    pub sent_at: Instant,
}

/// One runner and what this router knows of it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// As it registered itself.
    pub registration: Registration,
    /// Since when its entry is missing.
    pub(super) lapsed: Option<Instant>,
    /// Whether another runner has its address by now.
    pub(super) replaced: bool,
    /// What its agent told last, and when.
    pub(super) status: Option<(Instant, Status)>,
    pub(super) health: Health,
    /// Shared parts that it holds.
    pub segments: segments::Segments,
    /// This router's requests there.
    pub in_flight: u32,
    /// This router's requests there when its status came.
    pub(super) reported_in_flight: u32,
    /// Work of this router's requests there that have no answer yet.
    pub(super) pending: Vec<RequestCost>,
    /// When any byte of it came last.
    pub last_byte: Instant,
    /// Since when this router has requests there without a break.
    pub(super) busy_since: Instant,
    /// Observed over expected time to the first byte, smoothed.
    pub slowness: f64,
}

/// Prompts with as many tokens to compute are told to the runner's agent.
pub const LONG_PROMPT: Tokens = Tokens(1_024);
/// Weight of the newest observation in a runner's slowness.
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Bounds of one observation of slowness. A request behind a long prompt says
/// little about its runner.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

impl Runner {
    pub(super) fn new(now: Instant, registration: Registration) -> Self {
        Self {
            registration,
            lapsed: None,
            replaced: false,
            status: None,
            health: Health::default(),
            segments: segments::Segments::default(),
            in_flight: 0,
            reported_in_flight: 0,
            pending: Vec::new(),
            last_byte: now,
            busy_since: now,
            slowness: 1.0,
        }
    }

    pub(super) fn on_registration(&mut self, registration: Registration) {
        if self.registration.weights != registration.weights {
            self.segments.clear();
        }
        self.registration = registration;
    }

    pub(super) fn on_status(&mut self, now: Instant, status: Status) {
        if self.registration.weights != status.weights {
            self.segments.clear();
            self.registration.weights.clone_from(&status.weights);
        }
        self.segments.on_update(now, &status.segments);
        self.reported_in_flight = self.in_flight;
        self.status = Some((now, status));
    }

    /// Whether another runner has its address by now.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// An answer said how many requests run and wait there.
    pub fn on_load(&mut self, now: Instant, running: u32, waiting: u32) {
        self.reported_in_flight = self.in_flight;
        match &mut self.status {
            // The rest of what the agent told keeps its age.
            Some((_, status)) => {
                status.running = running;
                status.waiting = waiting;
            }
            None => {
                let status = Status {
                    weights: self.registration.weights.clone(),
                    running,
                    waiting,
                    ..Status::default()
                };
                self.status = Some((now, status));
            }
        }
    }

    /// An answer named the weights that made it.
    pub fn on_weights(&mut self, model: &ModelName, version: WeightsVersion) {
        let known = self
            .registration
            .weights
            .iter_mut()
            .find(|(m, _)| m == model);
        match known {
            Some((_, old)) if *old == version => {}
            Some((_, old)) => {
                *old = version;
                self.segments.clear();
            }
            None => self.registration.weights.push((model.clone(), version)),
        }
    }

    /// Version of a model's weights that it serves.
    pub fn version(&self, model: &ModelName) -> Option<WeightsVersion> {
        let found = self.registration.weights.iter().find(|(m, _)| m == model);
        found.map(|(_, version)| *version)
    }

    /// A request was sent to it.
    pub fn on_sent(&mut self, cost: RequestCost) {
        if self.in_flight == 0 {
            self.busy_since = cost.sent_at;
        }
        self.in_flight += 1;
        self.pending.push(cost);
    }

    /// A request's answer began, or its attempt ended without one.
    pub fn on_settled(&mut self, cost: RequestCost) {
        if let Some(at) = self.pending.iter().position(|other| *other == cost) {
            self.pending.swap_remove(at);
        }
    }

    /// A request's attempt is over.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// The first byte of an answer took `observed` where `expected` was
    /// predicted, both in milliseconds.
    pub fn on_first_byte(&mut self, observed: f64, expected: f64) {
        let ratio = observed / expected.max(1.0);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Prompt tokens that are left to compute: what the agent told, less what
    /// was computed since, and what this router sent after that.
    pub fn backlog(&self, now: Instant, rate: f64) -> Tokens {
        let Some((at, status)) = &self.status else {
            return self.pending.iter().map(|cost| cost.uncached).sum();
        };
        let done = now.since(*at).as_secs_f64() * 1e3 * rate;
        let told = status.backlog.saturating_sub(Tokens(done as u64));
        // Short prompts are not told to agents, so all of this router's count.
        let sent = |cost: &&RequestCost| cost.sent_at >= *at || cost.uncached < LONG_PROMPT;
        let own: Tokens = self
            .pending
            .iter()
            .filter(sent)
            .map(|cost| cost.uncached)
            .sum();
        told + own
    }

    /// Tokens of memory that `more` would not find free.
    pub fn overcommitment(&self, more: Tokens) -> Tokens {
        let Some((at, status)) = &self.status else {
            return Tokens(0);
        };
        if status.capacity == Tokens(0) {
            return Tokens(0);
        }
        let new = self.pending.iter().filter(|cost| cost.sent_at >= *at);
        let own: Tokens = new.map(|cost| cost.memory).sum();
        (status.committed + own + more).saturating_sub(status.capacity)
    }

    /// Whether it reads a part now, as its agent told.
    pub fn is_prefilling(&self, key: segments::SegmentKey) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|(_, status)| status.prefilling.contains(&key))
    }

    /// Age of what its agent, or an answer of its own, told last.
    pub fn status_age(&self, now: Instant) -> Option<time::Duration> {
        self.status.as_ref().map(|(at, _)| now.since(*at))
    }

    /// When it or its agent was heard last.
    pub fn last_heard(&self) -> Instant {
        let told = self.status.as_ref().map_or(Instant::ZERO, |(at, _)| *at);
        self.last_byte.max(told)
    }

    /// How long nothing was heard of it although this router has requests there.
    pub fn silence(&self, now: Instant) -> time::Duration {
        match self.in_flight {
            0 => time::Duration::ZERO,
            _ => now.since(self.last_heard().max(self.busy_since)),
        }
    }

    /// Requests of other routers there, as its agent told last.
    pub fn other_requests(&self) -> Option<u32> {
        let (_, status) = self.status.as_ref()?;
        Some((status.running + status.waiting).saturating_sub(self.reported_in_flight))
    }
}
