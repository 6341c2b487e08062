//! Settings of a router.

use std::time;

use lentil_policy::forward::{placement, retries, runners, save_budget};
use lentil_process::logs;

use super::pool;

/// Settings of a router.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Choice of runners.
    pub placement: placement::Settings,
    /// Membership and health of runners.
    pub runners: runners::Settings,
    /// Saves of shared parts.
    pub saves: save_budget::Settings,
    /// Retries.
    pub retries: retries::Settings,
    /// Connections to runners.
    pub pool: pool::Settings,
    /// Log lines about single requests.
    pub log_quota: logs::QuotaSettings,
    /// Part of a route's objective that a request may wait here for a runner.
    /// What waits longer has little chance to be on time.
    pub wait_ratio: f64,
    /// Longest such wait.
    pub max_wait: time::Duration,
    /// Part of the time that a request has in which it may wait here for a runner
    /// that can take a long prompt. The rest is left for the answer.
    pub queue_ratio: f64,
    /// Agents that are asked how their runners are before a long prompt is sent,
    /// besides those of its part's homes.
    pub asked_agents: usize,
    /// Most times that agents are asked for one choice.
    pub ask_rounds: usize,
    /// Least time between two looks for a runner for which agents are asked, of one
    /// request. The size to design for allows a process 3 KB a second.
    pub ask_interval: time::Duration,
    /// An agent that told something more recently is not asked.
    pub ask_age: time::Duration,
    /// Longest wait for their answers. They are a millisecond or two away.
    pub ask_timeout: time::Duration,
    /// Most random pause before the first in line takes a runner: other routers
    /// see the same runner at the same moment, and hear of the first that does.
    pub queue_jitter: time::Duration,
    /// A runner from which nothing was heard for this part of a route's
    /// objective since a request was sent to it counts as silent.
    pub silence_factor: f64,
    /// Bounds of that time.
    pub silence_range: (time::Duration, time::Duration),
    /// Wait for the answer of an agent that is asked because nothing is heard of
    /// its runner: a few milliseconds, and what a busy instance adds.
    pub probe_timeout: time::Duration,
    /// A stream whose next event is missing for this many of the route's longest
    /// pauses goes on elsewhere, where that is allowed.
    pub stall_factor: f64,
    /// Largest answer that is held until it is whole, in bytes.
    pub answer_bytes: usize,
    /// A caller without an answer is told so this long before it would leave: the
    /// way to it, and what a busy instance adds. Its runner is left at the same
    /// moment and not after the caller.
    pub answer_margin: time::Duration,
    /// Advice to a refused caller when no runner may take requests.
    pub retry_after: time::Duration,
    /// Idle connections of callers are closed, and no new ones taken, this long
    /// after the process began to stop. The balancer asks for readiness once a
    /// second and sends no connections after two misses.
    pub idle_close: time::Duration,
    /// How long a stop may take in all.
    pub grace: time::Duration,
    /// How long a closing connection is read on, so that a reset does not
    /// destroy the last answer on its way.
    pub linger: time::Duration,
    /// Most connections of callers.
    pub max_callers: usize,
    /// Most bytes of requests' bodies that are held at once. A request whose body
    /// does not fit is refused before it is read.
    pub body_memory: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: placement::Settings::default(),
            runners: runners::Settings::default(),
            saves: save_budget::Settings::default(),
            retries: retries::Settings::default(),
            pool: pool::Settings::default(),
            log_quota: logs::QuotaSettings::default(),
            wait_ratio: 0.7,
            max_wait: time::Duration::from_millis(500),
            queue_ratio: 0.5,
            asked_agents: 3,
            ask_rounds: 3,
            ask_interval: time::Duration::from_millis(100),
            ask_age: time::Duration::from_millis(60),
            ask_timeout: time::Duration::from_millis(12),
            queue_jitter: time::Duration::from_millis(8),
            silence_factor: 1.5,
            silence_range: (
                time::Duration::from_millis(250),
                time::Duration::from_millis(1_000),
            ),
            probe_timeout: time::Duration::from_millis(100),
            stall_factor: 4.0,
            answer_bytes: 4 << 20,
            answer_margin: time::Duration::from_millis(40),
            retry_after: time::Duration::from_millis(500),
            idle_close: time::Duration::from_millis(2_400),
            grace: time::Duration::from_secs(8),
            linger: time::Duration::from_millis(300),
            max_callers: 2_048,
            body_memory: 64 << 20,
        }
    }
}
