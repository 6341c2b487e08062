//! Settings of a router and their defaults.

use std::time;

use lentil_policy::forward::{
    crash_blame, placement, retries, rollout_pacer, runners, save_budget, scheduler, shutdown,
    team_limits,
};
use lentil_process::logs;

use super::pool;

/// Settings of a router.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Choice of runners.
    pub placement: placement::Settings,
    /// Membership and health of runners.
    pub runners: runners::Settings,
    /// Which segments are refused because they crash runners.
    pub blame: crash_blame::Settings,
    /// Saves of segments to the cache store.
    pub saves: save_budget::Settings,
    /// Pace of the change to new weights.
    pub pacing: rollout_pacer::Settings,
    /// Retry budget of the fleet.
    pub retries: retries::Settings,
    /// Limits of teams.
    pub limits: team_limits::Settings,
    /// Order and bounds of the requests that wait for a runner.
    pub scheduler: scheduler::Settings,
    /// Whether work that has lost its purpose is refused, and how much this router sends
    /// to a runner is limited by what runners reject.
    pub sheds_load: bool,
    /// Pool of connections to runners.
    pub pool: pool::Settings,
    /// Rate limit of log lines about single requests.
    pub log_quota: logs::QuotaSettings,
    /// One in this many requests that were answered on time at the first runner is
    /// logged. All others are.
    pub log_sample: u64,
    /// Fraction of a route's objective that a request may wait while no runner can
    /// take it. After more, an answer on time is unlikely.
    pub wait_ratio: f64,
    /// Upper bound of that wait.
    pub max_wait: time::Duration,
    /// Fraction of a request's total time that it may spend in the wait queue for a
    /// runner that can take a long prompt. The rest is left for the answer.
    pub queue_ratio: f64,
    /// Agents asked for a status report before a long prompt is sent, besides those
    /// of the homes of its segment.
    pub asked_agents: usize,
    /// Most rounds of asking agents for one choice.
    pub ask_rounds: usize,
    /// Shortest time between two choices of one request for which agents are asked.
    /// At the design size a process may send 3 KB/s.
    pub ask_interval: time::Duration,
    /// An agent is asked only if its last status is older than this.
    pub ask_age: time::Duration,
    /// Longest wait for their reports. The round trip takes a millisecond or two.
    pub ask_timeout: time::Duration,
    /// Upper bound of the random pause before the first queued request takes a
    /// runner: other routers see the same runner at the same moment, and are notified
    /// of the first prompt sent to it.
    pub queue_jitter: time::Duration,
    /// A runner that sends nothing for this multiple of the route's objective after a
    /// request counts as silent.
    pub silence_factor: f64,
    /// Lower and upper bound of that time.
    pub silence_range: (time::Duration, time::Duration),
    /// Wait for the agent's answer before its runner counts as silent: a few
    /// milliseconds, plus delay on a busy instance.
    pub probe_timeout: time::Duration,
    /// Longest wait for an answer to the question where a stream began that is taken up.
    /// Then the request is refused.
    pub origin_wait: time::Duration,
    /// Interval at which the question is repeated.
    pub origin_interval: time::Duration,
    /// A stream without bytes for this multiple of the route's `max_gap` is resumed at
    /// another runner, if the route allows it.
    pub stall_factor: f64,
    /// Largest answer that is buffered until it is complete, in bytes.
    pub answer_bytes: usize,
    /// A request without an answer times out this long before the caller's deadline,
    /// for the network and delay on a busy instance. The attempt is cancelled at the
    /// same moment and not after the caller has left.
    pub answer_margin: time::Duration,
    /// Retry delay sent to a rejected caller when no runner can take requests.
    pub retry_after: time::Duration,
    /// Times of a shutdown. Idle connections are closed and no new ones accepted from the
    /// handover on: the balancer checks readiness once a second and sends no connections
    /// after two failed checks.
    pub shutdown: shutdown::Settings,
    /// How long a closing connection is still read, so that no reset destroys the last
    /// answer.
    pub linger: time::Duration,
    /// Most open connections of callers.
    pub max_callers: usize,
    /// Most bytes of request bodies buffered at once. A request whose body does not fit is
    /// rejected before the body is read. Answers that are not complete have half as much
    /// for themselves; one that does not fit is given up.
    pub body_memory: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            placement: placement::Settings::default(),
            runners: runners::Settings::default(),
            blame: crash_blame::Settings::default(),
            saves: save_budget::Settings::default(),
            pacing: rollout_pacer::Settings::default(),
            retries: retries::Settings::default(),
            limits: team_limits::Settings::default(),
            scheduler: scheduler::Settings::default(),
            sheds_load: false,
            pool: pool::Settings::default(),
            log_quota: logs::QuotaSettings::default(),
            log_sample: 64,
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
            origin_wait: time::Duration::from_millis(300),
            origin_interval: time::Duration::from_millis(40),
            stall_factor: 4.0,
            answer_bytes: 4 << 20,
            answer_margin: time::Duration::from_millis(40),
            retry_after: time::Duration::from_millis(500),
            shutdown: shutdown::Settings::default(),
            linger: time::Duration::from_millis(300),
            max_callers: 2_048,
            body_memory: 64 << 20,
        }
    }
}
