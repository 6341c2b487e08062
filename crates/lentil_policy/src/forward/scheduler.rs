//! Requests that wait at a router for a runner.
//!
//! Load: long prompts arrive faster than runners compute them, for seconds to minutes and
//! up to four times as fast, with one team at seven times its usual rate. They wait here,
//! because at the runners they would delay every short request, and because a patient
//! request that waits takes no memory of a runner. The order decides which of them are
//! served on time, which late, and which not at all; the simulation is in
//! `tests/forward_overload.rs`.
//!
//! All operations take O(log n) time in the number of waiting requests, besides the few
//! ranks in use. Routers don't share their queues.

mod arrival;
mod fair;
mod sum_tree;

use std::{collections, ops, time};

use lentil_types::{Instant, ServiceName, Table, TeamName, Tokens};

use crate::forward::runners;

/// Settings of a [`Scheduler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who goes first.
    pub order: Order,
    /// Most waiting requests of all services; applies to [`Order::Fair`] only.
    pub max_waiting: usize,
    /// A request that has waited this long may overtake others, within bounds. Callers
    /// wait in the queue for half of the time that they allow, which is 4 s at the
    /// shortest; after half of that they must have a chance.
    pub ageing: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            order: Order::Arrival,
            // Half of the connections that a router accepts: the other callers can still
            // be refused at once.
            max_waiting: 1_024,
            ageing: time::Duration::from_secs(2),
        }
    }
}

/// Order of the waiting requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Order {
    /// Rank, then returning callers, then whether the request is late, then arrival.
    Arrival,
    /// Rank, then fair between teams in tokens, then within a team returning callers,
    /// the earliest deadline and late requests, with ageing.
    Fair,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Service whose runners may take it.
    pub service: ServiceName,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Its team, if the route has teams.
    pub team: Option<TeamName>,
    /// Tokens of its prompt.
    pub tokens: Tokens,
    /// When the router received it.
    pub arrived: Instant,
    /// When it must have a runner to be answered in time.
    pub due: Instant,
    /// When it stops waiting for a runner.
    pub expires: Instant,
    /// Whether the caller comes back: after a refusal, as it was told to, or for the rest of
    /// a stream that broke off.
    pub returns: bool,
}

impl Waiting {
    /// What it costs its team. A request without tokens counts too.
    fn cost(&self) -> u64 {
        self.tokens.0.max(1)
    }
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The queue is full, and no waiting request is less urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many requests wait for a runner")]
pub struct Full;

/// Requests that go before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Their number.
    pub requests: usize,
    /// Tokens of their prompts.
    pub tokens: Tokens,
}

impl From<sum_tree::Sum> for Ahead {
    fn from(sum: sum_tree::Sum) -> Self {
        Self {
            requests: sum.count as usize,
            tokens: Tokens(sum.weight),
        }
    }
}

impl ops::AddAssign for Ahead {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
    }
}

/// The waiting requests of one service, rank and team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueView {
    /// Their service.
    pub service: ServiceName,
    /// Their rank.
    pub rank: u8,
    /// Their team.
    pub team: Option<TeamName>,
    /// Their number.
    pub requests: usize,
    /// Tokens of their prompts.
    pub tokens: Tokens,
    /// When the oldest of them arrived.
    pub oldest: Instant,
}

/// Service of a line, and whether its prompts are long. With [`Order::Fair`] long and short
/// prompts wait apart, as runners have room for the one or the other.
type LineKey = (ServiceName, bool);

/// All waiting requests.
type Entries = collections::BTreeMap<Ticket, Waiting>;

#[derive(Clone, Debug)]
enum Line {
    Arrival(arrival::Line),
    Fair(fair::Line),
}

impl Line {
    fn new(settings: &Settings) -> Self {
        match settings.order {
            Order::Arrival => Self::Arrival(arrival::Line::default()),
            Order::Fair => Self::Fair(fair::Line::new(settings.ageing)),
        }
    }

    fn advance(&mut self, now: Instant, entries: &Entries) {
        match self {
            Self::Arrival(line) => line.advance(now, entries),
            Self::Fair(line) => line.advance(now, entries),
        }
    }

    fn insert(&mut self, now: Instant, ticket: Ticket, waiting: &Waiting) {
        match self {
            Self::Arrival(line) => line.insert(now, ticket, waiting),
            Self::Fair(line) => line.insert(now, ticket, waiting),
        }
    }

    fn remove(&mut self, ticket: Ticket, waiting: &Waiting, was_sent: bool) {
        match self {
            Self::Arrival(line) => line.remove(ticket, waiting),
            Self::Fair(line) => line.remove(ticket, waiting, was_sent),
        }
    }

    fn first(&self) -> Option<Ticket> {
        match self {
            Self::Arrival(line) => line.first(),
            Self::Fair(line) => line.first(),
        }
    }

    fn ahead(&self, ticket: Ticket, waiting: &Waiting) -> Ahead {
        match self {
            Self::Arrival(line) => line.ahead(ticket, waiting),
            Self::Fair(line) => line.ahead(ticket, waiting),
        }
    }

    fn ahead_of_new(&self, now: Instant, ticket: Ticket, waiting: &Waiting) -> Ahead {
        match self {
            Self::Arrival(line) => line.ahead_of_new(now, ticket, waiting),
            Self::Fair(line) => line.ahead_of_new(now, ticket, waiting),
        }
    }

    fn is_empty(&self) -> bool {
        match self {
            Self::Arrival(line) => line.is_empty(),
            Self::Fair(line) => line.is_empty(),
        }
    }
}

fn line_key(order: Order, waiting: &Waiting) -> LineKey {
    let is_long = order == Order::Fair && waiting.tokens >= runners::LONG_PROMPT;
    (waiting.service.clone(), is_long)
}

/// The waiting requests of all services.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    entries: Entries,
    lines: Table<LineKey, Line>,
    /// All requests, the one to be refused first last.
    newest: collections::BTreeSet<(u8, Instant, Ticket)>,
    next: u64,
}

impl Scheduler {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: Entries::new(),
            lines: Table::new(),
            newest: collections::BTreeSet::new(),
            next: 0,
        }
    }

    /// Who goes first.
    pub fn order(&self) -> Order {
        self.settings.order
    }

    /// Adds a request. If the queue is full, the least urgent and most recently arrived
    /// one is removed; [`Self::contains`] tells its owner.
    ///
    /// # Errors
    /// [`Full`] if that one is the new request.
    pub fn enqueue(&mut self, now: Instant, waiting: Waiting) -> Result<Ticket, Full> {
        let ticket = Ticket(self.next);
        let key = (waiting.rank, waiting.arrived, ticket);
        let max_waiting = match self.settings.order {
            Order::Arrival => usize::MAX,
            Order::Fair => self.settings.max_waiting,
        };
        if self.entries.len() >= max_waiting {
            let evicted = self.newest.last().copied().filter(|last| *last > key);
            let (_, _, evicted) = evicted.ok_or(Full)?;
            self.remove(evicted, false);
        }
        self.next += 1;
        let settings = &self.settings;
        let key_of_line = line_key(settings.order, &waiting);
        let line = self
            .lines
            .get_or_insert_with(key_of_line, || Line::new(settings));
        line.advance(now, &self.entries);
        line.insert(now, ticket, &waiting);
        self.newest.insert(key);
        self.entries.insert(ticket, waiting);
        Ok(ticket)
    }

    /// Whether a request still waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.entries.contains_key(&ticket)
    }

    /// Removes a request that got a runner or was abandoned.
    pub fn remove(&mut self, ticket: Ticket, was_sent: bool) {
        let Some(waiting) = self.entries.remove(&ticket) else {
            return;
        };
        self.newest.remove(&(waiting.rank, waiting.arrived, ticket));
        let key = line_key(self.settings.order, &waiting);
        let Some(line) = self.lines.get_mut(&key) else {
            return;
        };
        line.remove(ticket, &waiting, was_sent);
        if line.is_empty() {
            self.lines.remove(&key);
        }
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a request is the first of its service and, with [`Order::Fair`], of its
    /// kind: long or short.
    pub fn is_first(&mut self, now: Instant, ticket: Ticket) -> bool {
        let Some(waiting) = self.entries.get(&ticket) else {
            return false;
        };
        let Some(line) = self.lines.get_mut(&line_key(self.settings.order, waiting)) else {
            return false;
        };
        line.advance(now, &self.entries);
        line.first() == Some(ticket)
    }

    /// The first of the requests that wait with this one: of the same service and kind.
    pub fn first(&mut self, now: Instant, waiting: &Waiting) -> Option<Ticket> {
        let key = line_key(self.settings.order, waiting);
        let line = self.lines.get_mut(&key)?;
        line.advance(now, &self.entries);
        line.first()
    }

    /// Requests of the same service and kind that go before this one. With [`Order::Fair`] an
    /// estimate: it leaves out aged requests, and is off by up to one request for each
    /// other team.
    pub fn ahead(&mut self, now: Instant, ticket: Ticket) -> Ahead {
        let Some(waiting) = self.entries.get(&ticket) else {
            return Ahead::default();
        };
        let Some(line) = self.lines.get_mut(&line_key(self.settings.order, waiting)) else {
            return Ahead::default();
        };
        line.advance(now, &self.entries);
        line.ahead(ticket, waiting)
    }

    /// Requests of the same service and kind that would go before one that arrives now.
    pub fn ahead_of_new(&mut self, now: Instant, waiting: &Waiting) -> Ahead {
        let Some(line) = self.lines.get_mut(&line_key(self.settings.order, waiting)) else {
            return Ahead::default();
        };
        line.advance(now, &self.entries);
        line.ahead_of_new(now, Ticket(self.next), waiting)
    }

    /// The waiting requests by service, rank and team, in that order.
    pub fn views(&self) -> Vec<QueueView> {
        let mut views = Table::<(&ServiceName, u8, Option<&TeamName>), QueueView>::new();
        for waiting in self.entries.values() {
            let key = (&waiting.service, waiting.rank, waiting.team.as_ref());
            let view = views.get_or_insert_with(key, || QueueView {
                service: waiting.service.clone(),
                rank: waiting.rank,
                team: waiting.team.clone(),
                requests: 0,
                tokens: Tokens(0),
                oldest: waiting.arrived,
            });
            view.requests += 1;
            view.tokens += waiting.tokens;
            view.oldest = view.oldest.min(waiting.arrived);
        }
        views.values().cloned().collect()
    }
}
