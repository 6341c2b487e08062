//! Order by rank, fair between teams, with ageing.
//!
//! - The lowest rank goes first, and in it requests that are not late: a late answer is
//!   worth about as much a second later. Callers that return are never late.
//! - Among these, start-time fair queueing: each team has a virtual start time that
//!   grows by the tokens of its sent requests, and the team with the least one goes
//!   first. A team that begins to wait starts at the virtual time of the others, so
//!   the time that it was idle earns it nothing.
//! - Within a team, callers that return go first, by arrival; then requests that can be
//!   on time, earliest deadline first. Late ones go by the time that they expire.
//! - Ageing: every [`AGED_INTERVAL`]th request that is sent may be an aged one. It is of
//!   the rank and lateness that has had no such turn for longest among those with an aged
//!   request, and of the team whose turn it is there; this keeps ageing from giving a
//!   team more than its share. Of the team's aged requests, the one goes that expires
//!   first: of all sizes and allowed times, each becomes that in its turn.

use std::{collections, time};

use lentil_types::{Instant, TeamName};

use super::{Ahead, Entries, Ticket, Waiting, sum_tree::SumTree};

/// One in this many requests is sent out of order because of its age. Under overload
/// nearly all of them are late, so a larger share would cost as much of the requests
/// that are served on time.
pub(super) const AGED_INTERVAL: u32 = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Returning,
    OnTime,
    Late,
}

/// Order within a team.
type Key = (Class, Instant, Ticket);
/// Order of teams by a virtual time.
type TeamKey = (u64, Option<TeamName>);

fn key(ticket: Ticket, waiting: &Waiting, is_late: bool) -> Key {
    match (waiting.returns, is_late) {
        (true, _) => (Class::Returning, waiting.arrived, ticket),
        (false, false) => (Class::OnTime, waiting.due, ticket),
        (false, true) => (Class::Late, waiting.expires, ticket),
    }
}

/// The requests of one team in one rank.
#[derive(Clone, Debug, Default)]
struct Team {
    /// Virtual start time of its first request.
    start: u64,
    order: SumTree<Key>,
    /// Aged requests by the time that they expire.
    aged: collections::BTreeSet<(Instant, Ticket)>,
}

/// Rank, and whether the requests are late.
type LevelKey = (u8, bool);

fn level_key(waiting: &Waiting, is_late: bool) -> LevelKey {
    (waiting.rank, is_late && !waiting.returns)
}

/// The requests of one rank that are late, or those that are not.
#[derive(Clone, Debug, Default)]
struct Level {
    teams: collections::BTreeMap<Option<TeamName>, Team>,
    /// Virtual start of the first request of each waiting team, with its tokens.
    heads: SumTree<TeamKey>,
    /// Virtual start of the second request of each waiting team, and that as weight.
    seconds: SumTree<TeamKey>,
    /// Virtual end of the last request of each waiting team, and that as weight.
    ends: SumTree<TeamKey>,
    /// Teams without waiting requests that are ahead of the virtual time.
    idle: collections::BTreeSet<TeamKey>,
    virtual_time: u64,
    total: Ahead,
    /// Number of aged requests.
    aged: usize,
    /// How many requests the service had sent at this rank's last turn by age.
    last_aged: u64,
}

impl Level {
    /// Changes a team and keeps the orders of teams up to date.
    fn update(&mut self, name: &Option<TeamName>, change: impl FnOnce(&mut Team)) {
        let virtual_time = self.virtual_time;
        let team = self.teams.entry(name.clone()).or_default();
        match team.order.first() {
            Some((_, head)) => {
                let end = team.start + team.order.total().weight;
                self.heads.remove(&(team.start, name.clone()));
                self.seconds.remove(&(team.start + head, name.clone()));
                self.ends.remove(&(end, name.clone()));
            }
            None => {
                self.idle.remove(&(team.start, name.clone()));
                team.start = team.start.max(virtual_time);
            }
        }
        change(team);
        match team.order.first() {
            Some((_, head)) => {
                let second = team.start + head;
                let end = team.start + team.order.total().weight;
                self.heads.insert((team.start, name.clone()), head);
                self.seconds.insert((second, name.clone()), second);
                self.ends.insert((end, name.clone()), end);
            }
            None if team.start > virtual_time => {
                self.idle.insert((team.start, name.clone()));
            }
            None => {
                self.teams.remove(name);
            }
        }
    }

    /// Counts a sent request for its team.
    fn on_sent(&mut self, name: &Option<TeamName>, cost: u64) {
        if let Some(((start, _), _)) = self.heads.first() {
            self.virtual_time = self.virtual_time.max(*start);
        }
        self.update(name, |team| team.start += cost);
        while let Some((start, _)) = self.idle.first()
            && *start <= self.virtual_time
        {
            if let Some((_, name)) = self.idle.pop_first() {
                self.teams.remove(&name);
            }
        }
    }

    /// Requests that go before one of a team whose virtual start is `start`. `own`: those
    /// of the team itself.
    fn ahead(&self, name: &Option<TeamName>, start: u64, own: Ahead) -> Ahead {
        let first = self.heads.before(&(start, name.clone()));
        let excess = |sum: super::sum_tree::Sum| sum.count * start - sum.weight;
        let seconds = self.seconds.before(&(start, None));
        let ends = self.ends.before(&(start + 1, None));
        let later = excess(seconds).saturating_sub(excess(ends));
        // On average half of the request goes before that has begun at this virtual
        // time. The own team's requests are known exactly.
        let mean = self.total.tokens.0 / self.total.requests.max(1) as u64;
        let begun = seconds.count.saturating_sub(ends.count);
        let begun = begun.saturating_sub(u64::from(own.requests > 1));
        let tokens = first.weight + later + begun * mean / 2;
        let requests = first.count + (tokens - first.weight) / mean.max(1);
        Ahead {
            requests: requests as usize,
            tokens: lentil_types::Tokens(tokens),
        }
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug)]
pub(super) struct Line {
    ageing: time::Duration,
    levels: collections::BTreeMap<LevelKey, Level>,
    /// Requests that are not late yet.
    due: collections::BTreeSet<(Instant, Ticket)>,
    /// Requests that are not aged yet, by arrival.
    young: collections::BTreeSet<(Instant, Ticket)>,
    /// Requests sent.
    sent: u64,
    /// Requests sent since the last aged one.
    since_aged: u32,
}

impl Line {
    pub(super) fn new(ageing: time::Duration) -> Self {
        Self {
            ageing,
            levels: collections::BTreeMap::new(),
            due: collections::BTreeSet::new(),
            young: collections::BTreeSet::new(),
            sent: 0,
            since_aged: 0,
        }
    }

    /// Reorders the requests that became late or aged.
    pub(super) fn advance(&mut self, now: Instant, entries: &Entries) {
        while let Some(&(due, ticket)) = self.due.first()
            && now > due
        {
            let waiting = &entries[&ticket];
            self.take(ticket, waiting);
            self.put(ticket, waiting, true);
        }
        while let Some(&(arrived, ticket)) = self.young.first()
            && now.since(arrived) > self.ageing
        {
            self.young.pop_first();
            let waiting = &entries[&ticket];
            let is_late = !self.due.contains(&(waiting.due, ticket));
            let Some(level) = self.levels.get_mut(&level_key(waiting, is_late)) else {
                continue;
            };
            level.aged += 1;
            if let Some(team) = level.teams.get_mut(&waiting.team) {
                team.aged.insert((waiting.expires, ticket));
            }
        }
    }

    pub(super) fn insert(&mut self, now: Instant, ticket: Ticket, waiting: &Waiting) {
        let is_late = now > waiting.due;
        if !is_late {
            self.due.insert((waiting.due, ticket));
        }
        // Those that are aged already are moved by the next `advance`.
        self.young.insert((waiting.arrived, ticket));
        self.put(ticket, waiting, is_late);
    }

    /// Adds a request to its level.
    fn put(&mut self, ticket: Ticket, waiting: &Waiting, is_late: bool) {
        let is_aged = !self.young.contains(&(waiting.arrived, ticket));
        let level = level_key(waiting, is_late);
        let level = self.levels.entry(level).or_default();
        level.total.requests += 1;
        level.total.tokens += lentil_types::Tokens(waiting.cost());
        level.aged += usize::from(is_aged);
        level.update(&waiting.team, |team| {
            team.order
                .insert(key(ticket, waiting, is_late), waiting.cost());
            if is_aged {
                team.aged.insert((waiting.expires, ticket));
            }
        });
    }

    /// Removes a request from its level.
    fn take(&mut self, ticket: Ticket, waiting: &Waiting) {
        let is_late = !self.due.remove(&(waiting.due, ticket));
        let is_aged = !self.young.contains(&(waiting.arrived, ticket));
        let level_key = level_key(waiting, is_late);
        let Some(level) = self.levels.get_mut(&level_key) else {
            return;
        };
        level.aged -= usize::from(is_aged);
        level.total.requests -= 1;
        level.total.tokens = level
            .total
            .tokens
            .saturating_sub(lentil_types::Tokens(waiting.cost()));
        level.update(&waiting.team, |team| {
            team.order.remove(&key(ticket, waiting, is_late));
            team.aged.remove(&(waiting.expires, ticket));
        });
        // Teams that have nothing waiting are equal again.
        if level.total.requests == 0 {
            self.levels.remove(&level_key);
        }
    }

    pub(super) fn remove(&mut self, ticket: Ticket, waiting: &Waiting, was_sent: bool) {
        let is_aged_turn = was_sent && self.aged_first() == Some(ticket);
        let is_late = !self.due.contains(&(waiting.due, ticket));
        if was_sent && let Some(level) = self.levels.get_mut(&level_key(waiting, is_late)) {
            self.sent += 1;
            self.since_aged = if is_aged_turn { 0 } else { self.since_aged + 1 };
            if is_aged_turn {
                level.last_aged = self.sent;
            }
            level.on_sent(&waiting.team, waiting.cost());
        }
        self.take(ticket, waiting);
        self.young.remove(&(waiting.arrived, ticket));
    }

    pub(super) fn first(&self) -> Option<Ticket> {
        self.aged_first().or_else(|| {
            let level = self.levels.values().next()?;
            let ((_, name), _) = level.heads.first()?;
            let ((_, _, ticket), _) = level.teams.get(name)?.order.first()?;
            Some(*ticket)
        })
    }

    /// The request that goes first because of its age.
    fn aged_first(&self) -> Option<Ticket> {
        if self.since_aged + 1 < AGED_INTERVAL {
            return None;
        }
        let aged = self.levels.values().filter(|level| level.aged > 0);
        let level = aged.min_by_key(|level| level.last_aged)?;
        let ((_, name), _) = level.heads.first()?;
        let team = level.teams.get(name)?;
        let aged = team.aged.first().map(|(_, ticket)| *ticket);
        aged.or_else(|| {
            let ((_, _, ticket), _) = team.order.first()?;
            Some(*ticket)
        })
    }

    pub(super) fn ahead(&self, ticket: Ticket, waiting: &Waiting) -> Ahead {
        let is_late = !self.due.contains(&(waiting.due, ticket));
        self.ahead_of_key(&key(ticket, waiting, is_late), waiting, is_late)
    }

    pub(super) fn ahead_of_new(&self, now: Instant, ticket: Ticket, waiting: &Waiting) -> Ahead {
        let is_late = now > waiting.due;
        self.ahead_of_key(&key(ticket, waiting, is_late), waiting, is_late)
    }

    /// Requests ahead of one with this key, apart from aged ones that overtake it.
    fn ahead_of_key(&self, key: &Key, waiting: &Waiting, is_late: bool) -> Ahead {
        let level_key = level_key(waiting, is_late);
        let mut ahead = Ahead::default();
        for (_, level) in self.levels.range(..level_key) {
            ahead += level.total;
        }
        if let Some(level) = self.levels.get(&level_key) {
            let team = level.teams.get(&waiting.team);
            let own = team.map_or_else(Ahead::default, |team| team.order.before(key).into());
            let start = team.map_or(0, |team| team.start).max(level.virtual_time);
            ahead += level.ahead(&waiting.team, start + own.tokens.0, own);
        }
        ahead
    }

    pub(super) fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }
}
