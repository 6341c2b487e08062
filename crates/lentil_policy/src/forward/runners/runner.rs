//! One runner and what this router knows of it.

use std::{net, time};

use lentil_types::{
    Instant, ModelName, PlaceName, RunnerName, ServiceName, SoftwareVersion, Tokens, WeightsVersion,
};

use crate::forward::{backlog::RequestHash, concurrency_limit, pace};

use super::{
    announcements::Announcements, health::Health, liveness::Liveness, occupancy::Occupancy,
    segments,
};

/// One start of a runner. Compared only for equality: the boot id derives from
/// another machine's clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Name of the runner.
    pub name: RunnerName,
    /// Identifies this start under the name.
    pub boot_id: u64,
}

/// A runner's registration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Name and boot id.
    pub incarnation: Incarnation,
    /// Address that it accepts requests at.
    pub address: net::SocketAddr,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub place: PlaceName,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// Weights that it serves.
    pub weights: Vec<(ModelName, WeightsVersion)>,
    /// Revision of the registration in the store; it only grows.
    pub revision: u64,
}

/// A runner's state, as its agent reports it.
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
    /// Change of the shared segments that it holds.
    pub segments: segments::SegmentUpdate,
    /// Shared segments that it is prefilling.
    pub prefilling: Vec<segments::SegmentKey>,
    /// Uncomputed prompt tokens, in the long prompts of all routers.
    pub backlog: Tokens,
    /// Memory that requests have and long prompts will take, in tokens.
    pub committed: Tokens,
    /// Its total memory, in tokens; 0 where the agent does not know it.
    pub capacity: Tokens,
}

/// What a runner says in the answer to a probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbeReport {
    /// Requests that run.
    pub runs: Vec<RequestHash>,
    /// Other requests, which wait.
    pub waiting: u32,
}

impl ProbeReport {
    /// Whether a request runs, or may be one of those that wait.
    pub fn has(&self, request: RequestHash) -> bool {
        self.waiting > 0 || self.runs.contains(&request)
    }
}

/// What a request costs the runner that it is sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Prompt tokens that the runner is expected to compute.
    pub uncached: Tokens,
    /// Memory that it takes, in tokens.
    pub memory: Tokens,
    /// When it was sent.
    pub sent_at: Instant,
}

/// A runner and what this router knows of it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its last registration; the weights are updated from statuses and answers.
    pub registration: Registration,
    /// When its registration lapsed in an outage of the store.
    pub(super) lapsed: Option<Instant>,
    /// What is known of it at its address.
    pub(super) occupancy: Occupancy,
    /// Whether others are registered at its address, or answer there.
    pub(super) contested: bool,
    /// Whether another runner has its address; derived whenever what it follows from
    /// changes.
    pub(super) replaced: bool,
    /// Last status, and when it was received.
    pub(super) status: Option<(Instant, Status)>,
    /// Since when its statuses have reported a change of weights.
    pub(super) changing_since: Option<Instant>,
    /// When its agent last reported that it does not answer; `None` after a status.
    pub(super) silent_at: Option<Instant>,
    pub(super) health: Health,
    /// Shared segments that it is expected to hold.
    pub segments: segments::Segments,
    /// This router's requests in flight there.
    pub in_flight: u32,
    /// `in_flight` when the status was received.
    pub(super) reported_in_flight: u32,
    /// Cost of this router's requests there that have no answer yet.
    pub(super) pending: Vec<RequestCost>,
    pub(super) liveness: Liveness,
    /// What it said in the last answer to a probe.
    pub(super) probe_report: ProbeReport,
    pub(super) announcements: Announcements,
    /// This router's limit on its own requests there.
    pub concurrency: concurrency_limit::ConcurrencyLimit,
    /// Smoothed ratio of observed to expected time to the first byte.
    pub slowness: f64,
    /// Its speed, where that is learned.
    pub pace: pace::RunnerPace,
}

/// Uncached tokens from which a prompt is long and reported to the runner's agent.
pub const LONG_PROMPT: Tokens = Tokens(1_024);
/// Weight of the newest observation in `slowness`.
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Bounds of one observation: a request behind a long prompt says little about its
/// runner.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

impl Runner {
    pub(super) fn new(now: Instant, registration: Registration) -> Self {
        let occupancy = Occupancy::new(now, registration.revision);
        Self {
            registration,
            lapsed: None,
            occupancy,
            contested: false,
            replaced: false,
            status: None,
            changing_since: None,
            silent_at: None,
            health: Health::default(),
            segments: segments::Segments::default(),
            in_flight: 0,
            reported_in_flight: 0,
            pending: Vec::new(),
            liveness: Liveness::new(now),
            probe_report: ProbeReport::default(),
            announcements: Announcements::default(),
            concurrency: concurrency_limit::ConcurrencyLimit::default(),
            slowness: 1.0,
            pace: pace::RunnerPace::default(),
        }
    }

    pub(super) fn on_registration(&mut self, now: Instant, registration: Registration) {
        if self.registration.address == registration.address {
            self.occupancy.on_registration(registration.revision);
        } else {
            self.occupancy = Occupancy::new(now, registration.revision);
        }
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
        self.on_heard(now);
        self.segments.on_update(now, &status.segments);
        self.reported_in_flight = self.in_flight;
        self.silent_at = None;
        self.changing_since = match status.is_changing {
            true => self.changing_since.or(Some(now)),
            false => None,
        };
        self.status = Some((now, status));
    }

    /// Whether its agent reported within `ttl` that it does not answer.
    pub fn is_silent(&self, now: Instant, ttl: time::Duration) -> bool {
        self.silent_at
            .is_some_and(|reported_at| now.since(reported_at) <= ttl)
    }

    /// Since when its statuses have reported a change of weights; `None` if the last
    /// one did not.
    pub fn changing_since(&self) -> Option<Instant> {
        self.changing_since
    }

    /// Whether it belongs to a service and stays there.
    pub fn is_member(&self, service: &ServiceName) -> bool {
        self.registration.service == *service && !self.is_leaving() && !self.replaced
    }

    /// Whether its registration or the runner itself says that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.registration.is_leaving || self.announcements.is_leaving()
    }

    /// Whether another runner has its address.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// An answer gave the number of requests that run and wait there.
    pub fn on_load(&mut self, now: Instant, running: u32, waiting: u32) {
        self.reported_in_flight = self.in_flight;
        match &mut self.status {
            // The other fields of the status keep their age.
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

    /// An answer named the weights that produced it.
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
        self.liveness.on_sent(cost.sent_at);
        self.in_flight += 1;
        self.pending.push(cost);
    }

    /// A request's answer began, or its attempt ended without one.
    pub fn on_settled(&mut self, cost: RequestCost) {
        if let Some(index) = self.pending.iter().position(|other| *other == cost) {
            self.pending.swap_remove(index);
        }
    }

    /// An attempt at it ended. `is_answered`: with a complete answer.
    pub fn on_ended(&mut self, is_answered: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && (is_answered || !self.is_checked()) {
            self.liveness.on_idle();
        }
    }

    /// Whether it is checked when it owes an answer. Only runners of models answer
    /// questions besides requests.
    pub(super) fn is_checked(&self) -> bool {
        self.has_agent()
    }

    /// Whether an agent is beside it: only runners of models have one.
    pub fn has_agent(&self) -> bool {
        !self.registration.weights.is_empty()
    }

    /// Whether it owes an answer and its agent, asked for its state, has not answered
    /// yet.
    pub fn is_being_checked(&self) -> bool {
        self.liveness.is_asked()
    }

    /// It or its agent sent something.
    pub fn on_heard(&mut self, now: Instant) {
        self.liveness.on_heard(now, self.in_flight > 0);
    }

    /// Records the observed and expected time to the first byte of an answer, in
    /// milliseconds.
    pub fn on_first_byte(&mut self, observed: f64, expected: f64) {
        let ratio = observed / expected.max(1.0);
        let ratio = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Uncomputed prompt tokens: the reported backlog, less what was computed since
    /// at `rate` tokens per millisecond, plus what this router sent since.
    pub fn backlog(&self, now: Instant, rate: f64) -> Tokens {
        let Some((received_at, status)) = &self.status else {
            return self.pending.iter().map(|cost| cost.uncached).sum();
        };
        let computed = now.since(*received_at).as_secs_f64() * 1e3 * rate;
        let reported = status.backlog.saturating_sub(Tokens(computed as u64));
        // Short prompts are not reported to agents, so all of this router's count.
        let is_unreported =
            |cost: &&RequestCost| cost.sent_at >= *received_at || cost.uncached < LONG_PROMPT;
        let own: Tokens = self
            .pending
            .iter()
            .filter(is_unreported)
            .map(|cost| cost.uncached)
            .sum();
        reported + own
    }

    /// Whether a long prompt was being computed there, by its last status.
    pub fn had_long_prompt(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|(_, status)| status.backlog > Tokens(0))
    }

    /// Tokens by which `more` would exceed the free memory.
    pub fn overcommitment(&self, more: Tokens) -> Tokens {
        let Some((received_at, status)) = &self.status else {
            return Tokens(0);
        };
        if status.capacity == Tokens(0) {
            return Tokens(0);
        }
        let unreported = self
            .pending
            .iter()
            .filter(|cost| cost.sent_at >= *received_at);
        let own: Tokens = unreported.map(|cost| cost.memory).sum();
        (status.committed + own + more).saturating_sub(status.capacity)
    }

    /// Whether its whole memory is smaller than a prompt of `tokens`.
    pub fn is_too_small(&self, tokens: Tokens) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|(_, status)| status.capacity > Tokens(0) && status.capacity < tokens)
    }

    /// Whether its status, received after `since`, shows no long prompt that it
    /// computes and no request that waits.
    pub fn has_no_prompt(&self, since: Instant) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|(received_at, status)| {
            *received_at >= since && status.backlog == Tokens(0) && status.waiting == 0
        })
    }

    /// Whether it has no requests, by its last status and this router's own.
    pub fn is_idle(&self) -> bool {
        let status = self.status.as_ref();
        let is_free = status.is_none_or(|(_, status)| status.running + status.waiting == 0);
        is_free && self.in_flight == 0
    }

    /// Whether it is prefilling a segment, by its last status.
    pub fn is_prefilling(&self, key: segments::SegmentKey) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|(_, status)| status.prefilling.contains(&key))
    }

    /// Age of its last status, or of an answer before the first one.
    pub fn status_age(&self, now: Instant) -> Option<time::Duration> {
        self.status
            .as_ref()
            .map(|(received_at, _)| now.since(*received_at))
    }

    /// Whether its agent has reported a status.
    pub fn has_status(&self) -> bool {
        self.status.is_some()
    }

    /// When it or its agent last sent anything.
    pub fn last_heard(&self) -> Instant {
        self.liveness.heard_at()
    }

    /// Whether its answers to probes, with `timeout` for each, show that it has a request,
    /// though nothing else is heard: its agent may have stopped, and one that computes a
    /// prompt sends nothing.
    pub fn shows_request(
        &self,
        now: Instant,
        timeout: time::Duration,
        request: RequestHash,
    ) -> bool {
        self.liveness.answers_probes(now, timeout) && self.probe_report.has(request)
    }

    /// Time that it has owed this router an answer and sent nothing.
    pub fn silence(&self, now: Instant) -> time::Duration {
        self.liveness.silence(now)
    }

    /// Other routers' requests there, by its last status.
    pub fn other_requests(&self) -> Option<u32> {
        let (_, status) = self.status.as_ref()?;
        Some((status.running + status.waiting).saturating_sub(self.reported_in_flight))
    }
}
