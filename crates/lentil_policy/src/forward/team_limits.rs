//! Limits of teams, kept by all routers together without coordination.
//!
//! Every router owns an equal part of each team's limit. Its buckets fill with that part,
//! and routers that need more borrow from others. What is in a lost datagram is lost, and
//! no unit is made twice, so the sum stays within the limit whoever is cut off from whom.
//!
//! The load that it answers: one team sends many times its usual, to a few routers or to
//! all, while others need their share.

use std::{net, time};

use lentil_types::{Instant, TeamName, Units};

use crate::forward::routing;

/// Settings of [`TeamLimits`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Window in which use is counted.
    pub window: time::Duration,
    /// Fraction of the allowance of a window that may be used beyond it.
    pub excess: f64,
    /// Units that may be used beyond that.
    pub slack: Units,
    /// Most routers that own a part of one team's limit. More would make the parts smaller
    /// than one request.
    pub max_owners: usize,
    /// How long a router that is no longer known counts as an owner. It may be cut off and
    /// use its part.
    pub member_ttl: time::Duration,
    /// How long a new process assumes as many routers as there are runners.
    pub settle_time: time::Duration,
    /// Demand that a router keeps units for.
    pub reserve_time: time::Duration,
    /// How long borrowed units can be used.
    pub loan_life: time::Duration,
    /// Longest wait for the answers of one round of questions.
    pub ask_timeout: time::Duration,
    /// Most rounds of questions for one request.
    pub max_rounds: u32,
    /// Fraction of the units that patient requests get at least while they ask.
    pub patient_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(8),
            excess: 0.1,
            slack: Units(0),
            max_owners: 32,
            member_ttl: time::Duration::from_secs(120),
            settle_time: time::Duration::from_secs(2),
            reserve_time: time::Duration::from_millis(250),
            loan_life: time::Duration::from_millis(500),
            ask_timeout: time::Duration::from_millis(12),
            max_rounds: 2,
            patient_share: 0.25,
        }
    }
}

/// A hash of a team's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamHash(pub u64);

impl TeamHash {
    /// Hashes the name of a team.
    pub fn of(team: &TeamName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes()))
    }
}

/// A router asks another one for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Identifies the question at the router that asks.
    pub nonce: u64,
    /// The team.
    pub team: TeamHash,
    /// Units wanted.
    pub units: Units,
    /// Whether they are for an urgent request.
    pub is_urgent: bool,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The question's.
    pub nonce: u64,
    /// The team.
    pub team: TeamHash,
    /// Units lent.
    pub units: Units,
    /// Units that the lender could still lend.
    pub left: Units,
}

/// Units taken for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The team.
    pub team: TeamHash,
    /// Units taken.
    pub units: Units,
}

/// A request that waits for units of other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    team: TeamHash,
    cost: Units,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// When the units are expected to be there.
    pub retry_after: time::Duration,
    /// Units of the request.
    pub needed: Units,
    /// Units that all routers are believed to have.
    pub available: Units,
    /// Age of the oldest answer behind that; `None` if nobody was asked.
    pub age: Option<time::Duration>,
}

/// Whether a request is within its team's limit.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is; its units are taken.
    Admitted(Charge),
    /// Other routers are to be asked for units.
    Ask {
        /// The request.
        pending: Pending,
        /// Each router and its question.
        asks: Vec<(net::IpAddr, Ask)>,
    },
    /// It is not.
    Refused(Refusal),
}

/// What a router knows of one team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamView {
    /// The team.
    pub team: TeamName,
    /// Its limit.
    pub limit: routing::TeamLimit,
    /// Fraction of the limit that this router owns.
    pub part: f64,
    /// Units that it has; negative in debt.
    pub balance: f64,
    /// Units used in the window at this router.
    pub used: Units,
    /// Units lent to others since the start.
    pub lent: Units,
    /// Units borrowed from others since the start.
    pub borrowed: Units,
    /// Requests refused since the start.
    pub refused: u64,
}

/// The limits of all teams at one router.
#[derive(Clone, Debug)]
pub struct TeamLimits {
    #[expect(dead_code, reason = "placeholder until the limits are kept")]
    settings: Settings,
}

impl TeamLimits {
    /// Limits of a process that started at `started`.
    pub fn new(settings: Settings, _started: Instant) -> Self {
        Self { settings }
    }

    /// Takes the teams of the configuration in force.
    pub fn set_teams(&mut self, _now: Instant, _teams: &[routing::Team]) {}

    /// Takes the known routers, this one included. `runners`: how many routers there may
    /// be while they are not known.
    pub fn set_routers(
        &mut self,
        _now: Instant,
        _own: net::IpAddr,
        _routers: &[net::IpAddr],
        _runners: usize,
    ) {
    }

    /// Decides on a request.
    pub fn request(
        &mut self,
        _now: Instant,
        team: &TeamName,
        cost: Units,
        _rank: u8,
        _rng: &mut dyn rand::Rng,
    ) -> Verdict {
        Verdict::Admitted(Charge {
            team: TeamHash::of(team),
            units: cost,
        })
    }

    /// Decides on a request again, after the answers or the timeout of a round.
    pub fn resume(&mut self, _now: Instant, pending: Pending, _rng: &mut dyn rand::Rng) -> Verdict {
        Verdict::Admitted(Charge {
            team: pending.team,
            units: pending.cost,
        })
    }

    /// Whether all answers of the round have arrived, or enough units.
    pub fn is_answered(&self, _pending: &Pending) -> bool {
        true
    }

    /// Gives the units of a request back that did not run.
    pub fn refund(&mut self, _now: Instant, _charge: Charge) {}

    /// Another router asks for units.
    pub fn on_ask(&mut self, _now: Instant, _from: net::IpAddr, ask: &Ask) -> Grant {
        Grant {
            nonce: ask.nonce,
            team: ask.team,
            units: Units(0),
            left: Units(0),
        }
    }

    /// Another router lends units. Returns whether they count.
    pub fn on_grant(&mut self, _now: Instant, _from: net::IpAddr, _grant: &Grant) -> bool {
        false
    }

    /// Questions for the demand that is expected.
    pub fn tick(&mut self, _now: Instant, _rng: &mut dyn rand::Rng) -> Vec<(net::IpAddr, Ask)> {
        Vec::new()
    }

    /// What is known of each team with a limit.
    pub fn views(&self, _now: Instant) -> Vec<TeamView> {
        Vec::new()
    }
}
