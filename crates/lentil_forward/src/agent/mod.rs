//! The agent beside a runner.

mod event_loop;

use std::{future, pin, time};

use lentil_policy::forward::{runners, silence_watch, status_schedule, weights_update};
use lentil_types::{FencingNumber, RequestRate, Tokens};

use crate::cache;

pub use event_loop::Agent;

/// Longest pause between two reads of cache events.
const MAX_CACHE_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Result of a call to a [`Runner`].
pub type RunnerFuture<'a, T> =
    pin::Pin<Box<dyn future::Future<Output = Result<T, RunnerError>> + 'a>>;

/// A call to the runner failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct RunnerError(pub String);

/// A runner's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderReply {
    /// The runner carries it out.
    Accepted,
    /// The runner is already in the ordered state.
    #[strum(serialize = "holds")]
    AlreadyApplied,
    /// Another order is being carried out, or the sequence differs.
    Conflict,
    /// The runner has seen a higher fencing number.
    Fenced,
    /// Another runner has the address.
    OtherRunner,
    /// The order is not valid.
    Invalid,
}

/// Calls to the runner beside the agent.
pub trait Runner {
    /// Reads prefix cache events from number `since` on. Long poll: returns when
    /// there are events, or after `wait`.
    fn cache_events(&self, since: u64, wait: time::Duration)
    -> RunnerFuture<'_, cache::EventBatch>;

    /// Reads the runner's report.
    fn report(&self) -> RunnerFuture<'_, weights_update::Report>;

    /// Orders this incarnation to change its weights.
    fn order<'a>(
        &'a self,
        incarnation: &'a runners::Incarnation,
        order: &'a weights_update::Order,
        fence: FencingNumber,
    ) -> RunnerFuture<'a, OrderReply>;
}

/// Settings of an [`Agent`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// When and how weights change.
    pub weights_update: weights_update::Settings,
    /// Interval between reads of the runner's report.
    pub report_interval: time::Duration,
    /// The same while the runner computes long prompts.
    pub busy_interval: time::Duration,
    /// The same while the runner's weights change.
    pub changing_interval: time::Duration,
    /// When routers are told that the runner does not answer.
    pub silence: silence_watch::Settings,
    /// When statuses are sent to routers.
    pub status_schedule: status_schedule::Settings,
    /// Longest wait for cache events. Shorter calls cost the runner more than they
    /// bring.
    pub cache_wait: time::Duration,
    /// Fraction of a limit that the runner names which reads of its cache events may
    /// take.
    pub cache_share: f64,
    /// Segments with fewer tokens are not reported: prefilling them again is
    /// cheap.
    pub min_segment: Tokens,
    /// Most segments reported; the newest are kept.
    pub max_segments: usize,
    /// Interval at which routers are sent each other's addresses.
    pub routers_interval: time::Duration,
    /// Time after which a subscription expires unless renewed.
    pub subscription_ttl: time::Duration,
    /// How long a stream that the runner has begun is remembered: longer than its caller
    /// waits for it.
    pub stream_retention: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            weights_update: weights_update::Settings::default(),
            report_interval: time::Duration::from_millis(100),
            busy_interval: time::Duration::from_millis(40),
            changing_interval: time::Duration::from_millis(20),
            silence: silence_watch::Settings::default(),
            status_schedule: status_schedule::Settings::default(),
            cache_wait: time::Duration::from_millis(900),
            cache_share: 0.05,
            min_segment: Tokens(1_024),
            max_segments: 64,
            routers_interval: time::Duration::from_secs(3),
            subscription_ttl: time::Duration::from_secs(15),
            stream_retention: time::Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Pause between two reads of cache events of a runner that names a limit.
    pub(crate) fn cache_interval(&self, limit: RequestRate) -> time::Duration {
        let seconds = 1.0 / (limit.0 * self.cache_share);
        time::Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_CACHE_INTERVAL)
            .min(MAX_CACHE_INTERVAL)
    }
}
