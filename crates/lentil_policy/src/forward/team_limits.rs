//! Limits of teams, kept by all routers together without coordination.
//!
//! Every router owns an equal part of each team's limit. Its buckets fill with that part,
//! and routers that need more borrow from others. The units in a lost datagram are lost, and
//! no unit is generated twice, so the sum stays within the limit under any partition.
//!
//! The load that it answers: one team sends many times its usual, to a few routers or to
//! all, while others need their share.
//!
//! A unit is in one place at a time: in the bucket of the owner that generated it, in the
//! datagram of a grant, or in a loan at the router that asked. A loan expires
//! [`Settings::loan_life`] after it was asked for, so that all routers together never hold
//! more than the burst and what is generated in that time.

mod bucket;
mod demand;
mod lenders;
mod owners;

use std::{net, time};

use lentil_types::{Instant, Table, TeamName, Units};

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
    /// Longest wait for the answers of one round of asks.
    pub ask_timeout: time::Duration,
    /// Most rounds of asks for one request.
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
            loan_life: time::Duration::from_millis(250),
            ask_timeout: time::Duration::from_millis(25),
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

/// A router asks another one for units. One that repeats an ask with fewer units than it
/// was lent gives the others back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Identifies the ask at the router that asks.
    pub nonce: u64,
    /// The team.
    pub team: TeamHash,
    /// Units wanted.
    pub units: Units,
    /// Units that the request costs in all; 0 if the router asks in advance.
    pub needed: Units,
    /// Whether they are for an urgent request.
    pub is_urgent: bool,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The ask's.
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
    /// When they were first charged; refunded units may be charged again.
    charged_at: Instant,
}

/// A request that waits for units of other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pending {
    team: TeamHash,
    cost: Units,
    class: bucket::Class,
    /// Identifies the request at this router.
    id: u64,
    rounds: u32,
    asked_at: Instant,
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
        /// Each router and its ask.
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

/// One team at this router.
#[derive(Clone, Debug)]
struct Team {
    name: TeamName,
    limit: routing::TeamLimit,
    /// When the configuration ceased to limit it.
    removed_at: Option<Instant>,
    ownership: owners::Ownership,
    bucket: bucket::Bucket,
    demand: demand::Demand,
    lenders: lenders::Lenders,
    /// Earliest time of the next ask in advance.
    next_reserve: Instant,
    /// Earliest time of the next ask that the owners are not expected to meet.
    next_notice: Instant,
    lent: Units,
    borrowed: Units,
    refused: u64,
}

/// An ask without its answer.
#[derive(Clone, Debug)]
struct OpenAsk {
    lender: net::IpAddr,
    team: TeamHash,
    units: Units,
    class: bucket::Class,
    /// The request that waits for it; `None` if asked in advance.
    request: Option<u64>,
    asked_at: Instant,
}

/// What was lent for one ask. A repeated ask gets the same answer.
#[derive(Clone, Copy, Debug)]
struct Lent {
    units: Units,
    class: bucket::Class,
    lent_at: Instant,
}

/// The limits of all teams at one router.
#[derive(Clone, Debug)]
pub struct TeamLimits {
    settings: Settings,
    started: Instant,
    members: owners::Members,
    teams: Table<TeamHash, Team>,
    /// By nonce.
    open_asks: Table<u64, OpenAsk>,
    lent: Table<(net::IpAddr, u64), Lent>,
}

/// Most answers that are kept for repeated asks. Beyond it asks are refused, so that a
/// faulty router can't fill the memory.
const MAX_LENT: usize = 16_384;
/// Fraction of the burst that suffices for a request of more than that. The buckets of all
/// owners are hardly ever full at the same time.
const FULL_ENOUGH: f64 = 0.9;
/// Fewest units that are lent or given back, as a fraction of a part. Fewer expire without
/// ever completing a request.
const LEAST_LOAN: f64 = 0.02;
/// Fewest units that a lender is asked for in advance, as a fraction of a part. Routers of an
/// overloaded team would otherwise ask all lenders at every tick.
const LEAST_RESERVE: f64 = 0.1;
/// How much more than needed is asked for in the first round, as a fraction: some lenders
/// have less than expected. What is too much is given back at the next tick.
const SURPLUS: f64 = 0.5;
/// The same for further rounds, after lenders had less than expected or have not answered.
const LAST_SURPLUS: f64 = 4.0;
/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(50);
/// Random part of a `Retry-After`, as a fraction of it.
const RETRY_JITTER: f64 = 0.5;
/// What an owner saves for a refused request, in portions of it: more than one, since some
/// owners don't answer, and units come in while the caller waits for its Retry-After.
const SAVED_PORTIONS: f64 = 1.5;
/// Time between asks of one team that are sent although the owners are not expected to have
/// enough. They go to all owners, which save units from then on.
const NOTICE_INTERVAL: time::Duration = time::Duration::from_secs(1);

impl TeamLimits {
    /// Limits of a process that started at `started`.
    pub fn new(settings: Settings, started: Instant) -> Self {
        Self {
            settings,
            started,
            members: owners::Members::default(),
            teams: Table::new(),
            open_asks: Table::new(),
            lent: Table::new(),
        }
    }

    /// Takes the teams of the configuration in force.
    pub fn set_teams(&mut self, now: Instant, teams: &[routing::Team]) {
        let mut limited: Table<TeamHash, &routing::Team> = Table::new();
        for team in teams {
            if team.limit.is_some_and(|limit| limit.rate.0 > 0.0) {
                limited.insert(TeamHash::of(&team.name), team);
            }
        }
        for (hash, team) in self.teams.iter_mut() {
            if limited.contains(hash) {
                team.removed_at = None;
            } else {
                team.removed_at.get_or_insert(now);
            }
        }
        // Buckets start empty in a process that may have replaced one within the window.
        let is_running = now.since(self.started) >= self.settings.window;
        for (&hash, &team) in limited.iter() {
            let Some(limit) = team.limit else { continue };
            let known = self.teams.get(&hash);
            if known.is_some_and(|known| known.limit == limit) {
                continue;
            }
            let ownership = self.members.ownership(&self.settings, hash, &limit);
            let part = bucket::Part::of(&self.settings, &limit, &ownership);
            match self.teams.get_mut(&hash) {
                Some(known) => {
                    known.limit = limit;
                    known.bucket.set_part(now, &self.settings, part);
                    known.lenders.set_owners(now, &limit, &ownership);
                    known.ownership = ownership;
                }
                None => {
                    let mut lenders = lenders::Lenders::default();
                    lenders.set_owners(now, &limit, &ownership);
                    let new = Team {
                        name: team.name.clone(),
                        limit,
                        removed_at: None,
                        ownership,
                        bucket: bucket::Bucket::new(now, part, is_running),
                        demand: demand::Demand::default(),
                        lenders,
                        next_reserve: now,
                        next_notice: now,
                        lent: Units(0),
                        borrowed: Units(0),
                        refused: 0,
                    };
                    self.teams.insert(hash, new);
                }
            }
        }
        self.expire(now);
    }

    /// Takes the known routers, this one included. `runners`: how many routers there may
    /// be while they are not known.
    pub fn set_routers(
        &mut self,
        now: Instant,
        own: net::IpAddr,
        routers: &[net::IpAddr],
        runners: usize,
    ) {
        if self.members.set(now, own, routers, runners) {
            self.update_parts(now);
        }
        self.settle(now);
    }

    /// Follows the passing of time in the list of routers.
    fn settle(&mut self, now: Instant) {
        let is_new = now.since(self.started) < self.settings.settle_time;
        if self.members.settle(now, &self.settings, is_new) {
            self.update_parts(now);
        }
    }

    fn update_parts(&mut self, now: Instant) {
        for (hash, team) in self.teams.iter_mut() {
            let ownership = self.members.ownership(&self.settings, *hash, &team.limit);
            if ownership != team.ownership {
                let part = bucket::Part::of(&self.settings, &team.limit, &ownership);
                team.bucket.set_part(now, &self.settings, part);
                team.lenders.set_owners(now, &team.limit, &ownership);
                team.ownership = ownership;
            }
        }
    }

    /// Decides on a request.
    pub fn request(
        &mut self,
        now: Instant,
        team: &TeamName,
        cost: Units,
        rank: u8,
        rng: &mut dyn rand::Rng,
    ) -> Verdict {
        let hash = TeamHash::of(team);
        let Some(state) = self.teams.get_mut(&hash) else {
            return Verdict::Admitted(Charge::free(hash));
        };
        if state.removed_at.is_some() {
            return Verdict::Admitted(Charge::free(hash));
        }
        state.bucket.fill(now, &self.settings);
        let is_urgent = state.demand.on_rank(now, rank, self.settings.window);
        let class = bucket::Class {
            is_urgent,
            is_large: state.is_large(cost),
        };
        if !class.is_large {
            let limit = state.limit.rate.0;
            state
                .demand
                .on_request(now, cost, is_urgent, &self.settings, limit);
        }
        if let Some(charge) = state.admit(now, &self.settings, hash, cost, class, None) {
            return Verdict::Admitted(charge);
        }
        let pending = Pending {
            team: hash,
            cost,
            class,
            id: rng.next_u64(),
            rounds: 0,
            asked_at: now,
        };
        self.ask_or_refuse(now, pending, rng)
    }

    /// Decides on a request again, after the answers or the timeout of a round.
    pub fn resume(&mut self, now: Instant, pending: Pending, rng: &mut dyn rand::Rng) -> Verdict {
        let hash = pending.team;
        let Some(state) = self.teams.get_mut(&hash) else {
            return Verdict::Admitted(Charge::free(hash));
        };
        if state.removed_at.is_some() {
            return Verdict::Admitted(Charge::free(hash));
        }
        state.bucket.fill(now, &self.settings);
        let Pending {
            cost, class, id, ..
        } = pending;
        if let Some(charge) = state.admit(now, &self.settings, hash, cost, class, Some(id)) {
            state.bucket.release(id);
            return Verdict::Admitted(charge);
        }
        self.expire_asks(now);
        self.ask_or_refuse(now, pending, rng)
    }

    /// Asks the owners that are expected to have the missing units, or refuses.
    fn ask_or_refuse(
        &mut self,
        now: Instant,
        mut pending: Pending,
        rng: &mut dyn rand::Rng,
    ) -> Verdict {
        let hash = pending.team;
        let Some(state) = self.teams.get_mut(&hash) else {
            return Verdict::Admitted(Charge::free(hash));
        };
        let Pending { class, id, .. } = pending;
        let need = state.need(pending.cost);
        let usable = state.bucket.usable(
            now,
            class,
            state.expected(now, &self.settings, true),
            Some(id),
        );
        let lack = need - usable;
        let mut wanted = lack;
        if class.is_large || pending.rounds > 0 {
            let surplus = if pending.rounds > 0 {
                LAST_SURPLUS
            } else {
                SURPLUS
            };
            wanted += lack * surplus;
        } else {
            // A small request brings along what the next ones need.
            wanted += state.shortfall(now, &self.settings);
        }
        let plan = state
            .lenders
            .plan(now, class, wanted, wanted.min(lack.max(1.0)), 0.0);
        let mut asks = Vec::new();
        if pending.rounds < self.settings.max_rounds {
            if plan.most >= lack {
                let is_waiting = |ask: &OpenAsk| {
                    ask.team == hash
                        && !ask.class.is_large
                        && now.since(ask.asked_at) < self.settings.ask_timeout
                };
                let shares = !class.is_large
                    && pending.rounds == 0
                    && self.open_asks.values().any(is_waiting);
                if !shares {
                    asks = plan.lenders;
                }
                pending.rounds += 1;
                pending.asked_at = now;
                let asks = self.open(now, hash, class, pending.cost, Some(id), asks, rng);
                return Verdict::Ask { pending, asks };
            }
            if class.is_large && pending.rounds == 0 && state.next_notice <= now {
                state.next_notice = now + NOTICE_INTERVAL;
                let lenders = state.lenders.all().count().max(1);
                let portion = Units((lack / lenders as f64).ceil() as u64);
                asks.extend(state.lenders.all().map(|lender| (lender, portion)));
            }
            if !asks.is_empty() {
                pending.rounds += 1;
                pending.asked_at = now;
                let asks = self.open(now, hash, class, pending.cost, Some(id), asks, rng);
                return Verdict::Ask { pending, asks };
            }
        }
        state.bucket.release(id);
        let target = state.target(pending.cost);
        state.bucket.on_shortage(now, &self.settings, class, target);
        state.refused += 1;
        let available = (usable + plan.expected).max(0.0);
        let missing = Units((need - available).max(0.0).ceil() as u64);
        let wait = state.limit.rate.time_for(missing).max(MIN_RETRY_AFTER);
        let jitter = 1.0 + RETRY_JITTER * fraction(rng);
        let retry_after = time::Duration::try_from_secs_f64(wait.as_secs_f64() * jitter);
        Verdict::Refused(Refusal {
            retry_after: retry_after.unwrap_or(time::Duration::MAX),
            needed: pending.cost,
            available: Units(available as u64),
            age: state.lenders.age(now),
        })
    }

    /// Gives the asks of one round their nonces and notes them.
    #[expect(
        clippy::too_many_arguments,
        reason = "one private caller per kind of ask"
    )]
    fn open(
        &mut self,
        now: Instant,
        team: TeamHash,
        class: bucket::Class,
        needed: Units,
        request: Option<u64>,
        asks: Vec<(net::IpAddr, Units)>,
        rng: &mut dyn rand::Rng,
    ) -> Vec<(net::IpAddr, Ask)> {
        let mut opened = Vec::with_capacity(asks.len());
        for (lender, units) in asks {
            let nonce = rng.next_u64();
            if let Some(state) = self.teams.get_mut(&team) {
                state.lenders.on_asked(now, lender, class, units);
            }
            let open = OpenAsk {
                lender,
                team,
                units,
                class,
                request,
                asked_at: now,
            };
            self.open_asks.insert(nonce, open);
            let ask = Ask {
                nonce,
                team,
                units,
                needed,
                is_urgent: class.is_urgent,
            };
            opened.push((lender, ask));
        }
        opened
    }

    /// Whether all answers of the round have arrived, or enough units.
    pub fn is_answered(&self, pending: &Pending) -> bool {
        let Some(state) = self.teams.get(&pending.team) else {
            return true;
        };
        let now = state.bucket.filled_at();
        let reserve = state.expected(now, &self.settings, true);
        let usable = state
            .bucket
            .usable(now, pending.class, reserve, Some(pending.id));
        let is_waited_for = |ask: &OpenAsk| {
            ask.team == pending.team
                && now.since(ask.asked_at) < self.settings.ask_timeout
                && (ask.request == Some(pending.id)
                    || (!pending.class.is_large && !ask.class.is_large))
        };
        usable >= state.need(pending.cost) || !self.open_asks.values().any(is_waited_for)
    }

    /// Gives the units of a request back that did not run.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a charge is given back only once"
    )]
    pub fn refund(&mut self, now: Instant, charge: Charge) {
        let Charge {
            team,
            units,
            charged_at,
        } = charge;
        if let Some(state) = self.teams.get_mut(&team) {
            state.bucket.fill(now, &self.settings);
            state
                .bucket
                .refund(now, &self.settings, units.0 as f64, charged_at);
            state.demand.on_refund(now, units, self.settings.window);
        }
    }

    /// Another router asks for units.
    pub fn on_ask(&mut self, now: Instant, from: net::IpAddr, ask: &Ask) -> Grant {
        let grant = |units, left| Grant {
            nonce: ask.nonce,
            team: ask.team,
            units,
            left,
        };
        let Some(state) = self.teams.get_mut(&ask.team) else {
            return grant(Units(0), Units(0));
        };
        if let Some(lent) = self.lent.get_mut(&(from, ask.nonce)) {
            let returned = lent.units.saturating_sub(ask.units);
            lent.units = lent.units.min(ask.units);
            state.bucket.fill(now, &self.settings);
            state.bucket.on_given_back(lent.class, returned.0 as f64);
            state.lent = state.lent.saturating_sub(returned);
            return grant(lent.units, Units(0));
        }
        if self.lent.len() >= MAX_LENT {
            return grant(Units(0), Units(0));
        }
        state.bucket.fill(now, &self.settings);
        let class = bucket::Class {
            is_urgent: ask.is_urgent,
            is_large: state.is_large(ask.needed),
        };
        let need = state.expected(now, &self.settings, ask.is_urgent);
        let lendable = state.bucket.lendable(class, need);
        let mut units = Units(ask.units.0.min(lendable as u64));
        // A large request that gets less from each owner is refused all the same: its units
        // are saved until they suffice.
        let least = if class.is_large {
            state.portion(ask.needed).floor()
        } else {
            state.least_loan()
        };
        if units < ask.units && (units.0 as f64) < least {
            units = Units(0);
        }
        state.bucket.lend(class, units.0 as f64);
        state.lent += units;
        if units < ask.units && ask.needed > Units(0) {
            let target = state.target(ask.needed);
            state.bucket.on_shortage(now, &self.settings, class, target);
        }
        let left = Units((lendable - units.0 as f64) as u64);
        let lent = Lent {
            units,
            class,
            lent_at: now,
        };
        self.lent.insert((from, ask.nonce), lent);
        grant(units, left)
    }

    /// Another router lends units. Returns whether they count.
    pub fn on_grant(&mut self, now: Instant, from: net::IpAddr, grant: &Grant) -> bool {
        let open = self.open_asks.get(&grant.nonce);
        if !open.is_some_and(|open| open.lender == from && open.team == grant.team) {
            return false;
        }
        let Some(open) = self.open_asks.remove(&grant.nonce) else {
            return false;
        };
        let expires_at = open.asked_at + self.settings.loan_life;
        let Some(state) = self.teams.get_mut(&grant.team) else {
            return false;
        };
        let units = Units(grant.units.0.min(open.units.0));
        state
            .lenders
            .on_answer(now, from, open.class, open.units, (units, grant.left));
        if expires_at <= now {
            return false;
        }
        state.bucket.fill(now, &self.settings);
        // The request has been decided once its round is over.
        let round_ends = open.asked_at + self.settings.ask_timeout;
        let holder = open.request.filter(|_| now <= round_ends);
        let held_until = round_ends + self.settings.ask_timeout;
        let source = bucket::Source {
            lender: from,
            nonce: grant.nonce,
            kept: units,
        };
        state.bucket.borrow(
            source,
            expires_at,
            holder.map(|request| (request, held_until)),
        );
        state.borrowed += units;
        true
    }

    /// Asks for the demand that is expected, and what is given back.
    pub fn tick(&mut self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<(net::IpAddr, Ask)> {
        self.settle(now);
        self.expire(now);
        let mut plans = Vec::new();
        let mut asks = Vec::new();
        for (&hash, state) in self.teams.iter_mut() {
            state.bucket.fill(now, &self.settings);
            for source in state.give_back(now, &self.settings) {
                let ask = Ask {
                    nonce: source.nonce,
                    team: hash,
                    units: source.kept,
                    needed: Units(0),
                    is_urgent: false,
                };
                asks.push((source.lender, ask));
            }
            if state.removed_at.is_some() || state.next_reserve > now {
                continue;
            }
            let lack = state.shortfall(now, &self.settings);
            if lack < 1.0 {
                continue;
            }
            state.next_reserve = now + self.settings.reserve_time / 4;
            let urgent = state.expected(now, &self.settings, true);
            let class = bucket::Class {
                is_urgent: state.bucket.available(now, None) < urgent,
                is_large: false,
            };
            let least = state.nominal_burst() * LEAST_RESERVE;
            let plan = state
                .lenders
                .plan(now, class, lack, lack, least.min(lack).max(1.0));
            plans.push((hash, class, plan.lenders));
        }
        for (hash, class, plan) in plans {
            asks.extend(self.open(now, hash, class, Units(0), None, plan, rng));
        }
        asks
    }

    /// Forgets what no longer counts.
    fn expire(&mut self, now: Instant) {
        let Settings {
            window, loan_life, ..
        } = self.settings;
        self.teams
            .retain(|_, team| team.removed_at.is_none_or(|at| now.since(at) < window));
        // Twice as long as the loan, for datagrams that are late.
        self.lent
            .retain(|_, lent| now.since(lent.lent_at) < loan_life * 2);
        self.expire_asks(now);
        let teams = &self.teams;
        self.open_asks
            .retain(|_, ask| now.since(ask.asked_at) < loan_life && teams.contains(&ask.team));
    }

    /// Notes which lenders have not answered within a round.
    fn expire_asks(&mut self, now: Instant) {
        for ask in self.open_asks.values() {
            if now.since(ask.asked_at) >= self.settings.ask_timeout
                && let Some(state) = self.teams.get_mut(&ask.team)
            {
                state.lenders.on_silence(now, ask.lender, ask.asked_at);
            }
        }
    }

    /// What is known of each team with a limit.
    pub fn views(&self, now: Instant) -> Vec<TeamView> {
        let in_force = self.teams.values().filter(|team| team.removed_at.is_none());
        let views = in_force.map(|team| TeamView {
            team: team.name.clone(),
            limit: team.limit,
            part: team.ownership.part,
            balance: team.bucket.available(now, None),
            used: team.demand.used(now, self.settings.window),
            lent: team.lent,
            borrowed: team.borrowed,
            refused: team.refused,
        });
        views.collect()
    }
}

impl Charge {
    /// Of a team without a limit.
    fn free(team: TeamHash) -> Self {
        Self {
            team,
            units: Units(0),
            charged_at: Instant::ZERO,
        }
    }
}

impl Team {
    /// Whether one router's part is too small for requests of this cost, so that they are
    /// served with borrowed units.
    fn is_large(&self, cost: Units) -> bool {
        cost.0 as f64 * 2.0 > self.nominal_burst().max(2.0)
    }

    /// What each owner saves for a request of this cost that was refused.
    fn target(&self, cost: Units) -> f64 {
        self.portion(cost) * SAVED_PORTIONS
    }

    /// What each owner must have for a request of this cost.
    fn portion(&self, cost: Units) -> f64 {
        self.need(cost) / self.ownership.owners.len().max(1) as f64
    }

    /// Units that must be there for a request of this cost.
    fn need(&self, cost: Units) -> f64 {
        (cost.0 as f64).min((FULL_ENOUGH * self.limit.burst.0 as f64).max(1.0))
    }

    /// Units that this router's own requests are expected to need in `reserve_time` beyond
    /// what its part generates meanwhile.
    fn expected(&self, now: Instant, settings: &Settings, only_urgent: bool) -> f64 {
        let generated = self.bucket.part().rate * settings.reserve_time.as_secs_f64();
        let needed = self.demand.expected(now, settings, only_urgent);
        (needed - generated).max(0.0)
    }

    /// Units that are missing for the expected demand; 0 while half of it is covered, so
    /// that several small loans become one.
    fn shortfall(&self, now: Instant, settings: &Settings) -> f64 {
        let expected = self.expected(now, settings, false);
        let available = self.bucket.available(now, None);
        let is_due = available < expected / 2.0 || available < -self.bucket.part().debt;
        if is_due { expected - available } else { 0.0 }
    }

    /// Fewest units that are lent or given back if more are asked for.
    fn least_loan(&self) -> f64 {
        (self.nominal_burst() * LEAST_LOAN).max(1.0)
    }

    /// Burst of one owner's part.
    fn nominal_burst(&self) -> f64 {
        self.limit.burst.0 as f64 / self.ownership.owners.len().max(1) as f64
    }

    /// Gives up borrowed units that the expected demand doesn't need.
    fn give_back(&mut self, now: Instant, settings: &Settings) -> Vec<bucket::Source> {
        if !self.bucket.has_loans() {
            return Vec::new();
        }
        let need = self.demand.expected(now, settings, false);
        self.bucket.give_back(now, need, self.least_loan())
    }

    /// Takes the units of a request if they are there.
    fn admit(
        &mut self,
        now: Instant,
        settings: &Settings,
        team: TeamHash,
        cost: Units,
        class: bucket::Class,
        request: Option<u64>,
    ) -> Option<Charge> {
        let reserve = self.expected(now, settings, true);
        let usable = self.bucket.usable(now, class, reserve, request);
        let debt = self.bucket.part().debt;
        let units = cost.0 as f64;
        let allowance = if units <= debt { debt } else { 0.0 };
        if usable + allowance < self.need(cost) {
            return None;
        }
        let charged_at = self.bucket.take(now, class, units, request);
        self.demand.on_used(now, cost, settings.window);
        Some(Charge {
            team,
            units: cost,
            charged_at,
        })
    }
}

/// A random number from 0 to 1.
fn fraction(rng: &mut dyn rand::Rng) -> f64 {
    f64::from(rng.next_u32()) / f64::from(u32::MAX)
}
