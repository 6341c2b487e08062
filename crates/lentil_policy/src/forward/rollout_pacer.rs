//! Paces the change of a service's runners to new weights.
//!
//! Loads share the bandwidth of the weight store: above some number at once, which
//! no one states, each takes longer and none finishes sooner. While runners load they
//! serve nothing. So the number of loads at once is controlled like a congestion
//! window: from a small fraction of the runners it doubles until loads slow down, then
//! grows by one per round and shrinks whenever they slow down again.
//!
//! Several routers pace the same rollout without coordination. They see the same
//! status reports and grant turns in the same order, so they grant the same ones. A
//! runner that no router reaches starts by itself ([`super::rollout_schedule`]).
//!
//! The load it answers: versions that follow each other faster than the fleet can
//! change, where every overlapping load takes a runner out of service for longer.

use std::{collections::VecDeque, time};

use lentil_types::{Instant, RunnerName, Table, WeightsVersion};

use crate::forward::{rollout_schedule, runners::Incarnation};

/// Settings of a [`RolloutPacer`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Routers that pace: those with the lowest addresses. More than one, so that a
    /// rollout continues while one is down.
    pub routers: usize,
    /// Fraction of the runners that must have reported a status. A router that has just
    /// started does not know how many change.
    pub min_reported: f64,
    /// Time after which outdated weights must not be used.
    pub deadline: time::Duration,
    /// Fraction of a service's runners that load at once in the beginning.
    pub first_share: f64,
    /// Largest fraction of a service's runners that change at once while the deadline
    /// allows it.
    pub max_share: f64,
    /// A load that takes more than this multiple of the shortest recent one was slowed
    /// down by others.
    pub slow_ratio: f64,
    /// Loads that the shortest one is taken from.
    pub window: usize,
    /// Time from granting a turn until the runner's status shows the change. Without
    /// it the turn is granted again, later each time.
    pub turn_timeout: time::Duration,
    /// A change that takes longer than this multiple of a normal one no longer counts:
    /// the agent may be gone.
    pub stuck_factor: f64,
    /// Shortest such time.
    pub min_stuck: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            routers: 3,
            min_reported: 0.5,
            deadline: time::Duration::from_secs(6),
            first_share: 0.12,
            max_share: 0.34,
            slow_ratio: 1.25,
            window: 32,
            turn_timeout: time::Duration::from_millis(300),
            stuck_factor: 4.0,
            min_stuck: time::Duration::from_secs(3),
        }
    }
}

/// How long a runner's change of weights took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeTimes {
    /// Time from reporting the change until the order.
    pub drain_time: time::Duration,
    /// Time from the order until the runner served the new weights.
    pub load_time: time::Duration,
}

/// A runner of the service, as its last status shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The runner.
    pub incarnation: Incarnation,
    /// Whether its agent has reported a status.
    pub is_reported: bool,
    /// Weights that it serves.
    pub version: WeightsVersion,
    /// Since when these are outdated; `None` if they are not.
    pub outdated_since: Option<Instant>,
    /// Since when it has been changing its weights; `None` if it is not.
    pub changing_since: Option<Instant>,
}

/// A turn that was granted.
#[derive(Clone, Copy, Debug)]
struct Turn {
    granted_at: Instant,
    version: WeightsVersion,
    /// How often it was granted for this version.
    count: u32,
}

/// Grants turns to the runners of one service.
#[derive(Clone, Debug)]
pub struct RolloutPacer {
    settings: Settings,
    /// Loads at once; 0 until the number of runners is known.
    limit: f64,
    /// Whether no load was slowed down yet.
    is_starting: bool,
    /// Whether runners waited because of `limit`.
    is_limited: bool,
    /// Until when slow loads are a consequence of the last decrease's cause.
    decreased_until: Instant,
    loads: VecDeque<time::Duration>,
    drain_time: time::Duration,
    turns: Table<RunnerName, Turn>,
}

impl RolloutPacer {
    /// A pacer that has seen no load.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            limit: 0.0,
            is_starting: true,
            is_limited: false,
            decreased_until: Instant::ZERO,
            loads: VecDeque::new(),
            drain_time: time::Duration::ZERO,
            turns: Table::new(),
        }
    }

    /// Loads at once that the pacer aims at.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// A runner completed its change.
    pub fn on_changed(&mut self, now: Instant, times: ChangeTimes) {
        if self.loads.len() >= self.settings.window {
            self.loads.pop_front();
        }
        self.loads.push_back(times.load_time);
        self.drain_time = times.drain_time;
        let shortest = self.load_time();
        let ratio = times.load_time.as_secs_f64() / shortest.as_secs_f64().max(1e-3);
        if ratio <= self.settings.slow_ratio {
            if self.is_limited {
                self.limit += if self.is_starting {
                    1.0
                } else {
                    1.0 / self.limit
                };
            }
            return;
        }
        self.is_starting = false;
        if now >= self.decreased_until {
            // Loads share the bandwidth evenly, so the ratio shows how many fit.
            self.limit = (self.limit / ratio.min(2.0)).max(1.0);
            self.decreased_until = now + times.load_time;
        }
    }

    /// Whether a router with `rank` others before it paces rollouts.
    pub fn may_pace(&self, rank: usize) -> bool {
        rank < self.settings.routers
    }

    /// Runners whose turn it is, given the state of all runners of the service, sorted
    /// by name, and the target version. Counts them as granted.
    pub fn grant(
        &mut self,
        now: Instant,
        target: WeightsVersion,
        members: &[Member],
    ) -> Vec<Incarnation> {
        let reported = members.iter().filter(|member| member.is_reported).count();
        if (reported as f64) < members.len() as f64 * self.settings.min_reported {
            return Vec::new();
        }
        let is_lagging = |name: &RunnerName| {
            let index = members.binary_search_by(|member| member.incarnation.name.cmp(name));
            index.is_ok_and(|index| members[index].version < target)
        };
        self.turns
            .retain(|name, turn| turn.version == target && is_lagging(name));
        if self.limit < 1.0 {
            self.limit = (members.len() as f64 * self.settings.first_share).max(1.0);
        }
        let changing = members.iter().filter(|m| self.is_changing(now, m)).count();
        let mut waiting: Vec<_> = members
            .iter()
            .filter(|m| m.version < target && m.changing_since.is_none() && self.may_grant(now, m))
            .collect();
        // The most outdated first; in an order that every router computes alike.
        waiting.sort_by_key(|m| {
            let name = &m.incarnation.name;
            (m.version, rollout_schedule::order_key(name, target))
        });
        let most = self.max_share(now, members);
        let max_changing = self.max_changing().min(most);
        let room = max_changing.saturating_sub(changing);
        self.is_limited = waiting.len() > room && max_changing < most;
        waiting.truncate(room);
        let granted: Vec<_> = waiting.iter().map(|m| m.incarnation.clone()).collect();
        for incarnation in &granted {
            let first = Turn {
                granted_at: now,
                version: target,
                count: 0,
            };
            let turn = self
                .turns
                .get_or_insert_with(incarnation.name.clone(), || first);
            turn.granted_at = now;
            turn.count += 1;
        }
        granted
    }

    /// Runners that change at once so that `limit` of them load. While one loads, the
    /// next one drains, so the weight store does not idle during a drain.
    fn max_changing(&self) -> usize {
        let load_time = self.load_time().as_secs_f64();
        // In the beginning all drain, and then load, at the same time.
        let drains = if load_time > 0.0 && !self.is_starting {
            self.limit * self.drain_time.as_secs_f64() / load_time
        } else {
            0.0
        };
        (self.limit.floor() + drains.ceil()) as usize
    }

    /// Runners that may change at once whatever the weight store could carry: more
    /// than the largest share if the deadline would be missed otherwise.
    fn max_share(&self, now: Instant, members: &[Member]) -> usize {
        let share = members.len() as f64 * self.settings.max_share;
        let outdated: Vec<_> = members.iter().filter_map(|m| m.outdated_since).collect();
        let age = outdated.iter().map(|since| now.since(*since)).max();
        let time_left = self
            .settings
            .deadline
            .saturating_sub(age.unwrap_or_default());
        let change_time = self.load_time() + self.drain_time;
        let needed = outdated.len() as f64 * change_time.as_secs_f64()
            / time_left
                .as_secs_f64()
                .max(change_time.as_secs_f64())
                .max(1e-3);
        (share.max(needed.ceil()) as usize).max(1)
    }

    /// Time of a load that no other slowed down.
    fn load_time(&self) -> time::Duration {
        self.loads.iter().copied().min().unwrap_or_default()
    }

    /// Whether a runner changes its weights, or is about to after a turn.
    fn is_changing(&self, now: Instant, member: &Member) -> bool {
        let normal = self.load_time() + self.drain_time;
        let stuck = normal
            .mul_f64(self.settings.stuck_factor)
            .max(self.settings.min_stuck);
        match member.changing_since {
            Some(since) => now.since(since) <= stuck,
            None => self
                .turns
                .get(&member.incarnation.name)
                .is_some_and(|turn| now.since(turn.granted_at) <= self.settings.turn_timeout),
        }
    }

    /// Whether a turn may be granted to a runner that does not change. One whose
    /// agent does not react gets further turns at growing intervals.
    fn may_grant(&self, now: Instant, member: &Member) -> bool {
        let turn = self.turns.get(&member.incarnation.name);
        turn.is_none_or(|turn| {
            let pause = self.settings.turn_timeout * (1 << turn.count.min(5));
            now.since(turn.granted_at) > pause
        })
    }
}
