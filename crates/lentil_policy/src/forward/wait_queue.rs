//! Requests that wait at a router for a runner.
//!
//! Long prompts that arrive faster than runners compute them wait here, because at
//! the runners they would delay every short request. The most urgent request goes
//! first. Within a rank, requests that can still be answered in time go first, in
//! order of arrival: an answer that is late anyway is worth about as much a second
//! later.

use lentil_types::{Instant, ServiceName, Tokens};

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Clone, Debug)]
struct Row {
    rank: u8,
    arrived: Instant,
    ticket: Ticket,
    /// When it must have a runner to be answered in time.
    due: Instant,
    service: ServiceName,
}

impl Row {
    /// Key that the queue is ordered by, smallest first.
    fn sort_key(&self, now: Instant) -> (u8, bool, Instant, Ticket) {
        (self.rank, now > self.due, self.arrived, self.ticket)
    }
}

/// The waiting requests of all services.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    rows: Vec<Row>,
    next: u64,
}

impl WaitQueue {
    /// Adds a request. `due` is when it must have a runner to be answered in time.
    pub fn enqueue(
        &mut self,
        service: &ServiceName,
        rank: u8,
        arrived: Instant,
        due: Instant,
    ) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.rows.push(Row {
            rank,
            arrived,
            ticket,
            due,
            service: service.clone(),
        });
        ticket
    }

    /// Removes a request that got a runner or was abandoned.
    pub fn remove(&mut self, ticket: Ticket) {
        self.rows.retain(|row| row.ticket != ticket);
    }

    /// Requests for the same service that go before this one.
    pub fn position(&self, now: Instant, ticket: Ticket) -> usize {
        let Some(own) = self.rows.iter().find(|row| row.ticket == ticket) else {
            return 0;
        };
        let key = own.sort_key(now);
        let is_before = |row: &&Row| row.service == own.service && row.sort_key(now) < key;
        self.rows.iter().filter(is_before).count()
    }

    /// Requests for a service that go before one that arrives now.
    pub fn position_of_new(&self, now: Instant, service: &ServiceName, rank: u8) -> usize {
        let key = (rank, false, now, Ticket(self.next));
        let is_before = |row: &&Row| row.service == *service && row.sort_key(now) < key;
        self.rows.iter().filter(is_before).count()
    }
}

/// Prompt tokens of the long prompts that a service was recently asked to compute,
/// decaying exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    tokens: f64,
    count: f64,
    updated_at: Instant,
}

/// Half-life of the demand, in seconds.
const HALF_LIFE_SECS: f64 = 4.0;

impl Demand {
    /// A long prompt with `uncached` tokens was sent to a runner.
    pub fn on_sent(&mut self, now: Instant, uncached: Tokens) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE_SECS).exp2();
        self.updated_at = now;
        self.tokens = self.tokens * decay + uncached.0 as f64;
        self.count = self.count * decay + 1.0;
    }

    /// Mean uncached tokens of a long prompt.
    pub fn mean_long(&self) -> f64 {
        self.tokens / self.count.max(1.0)
    }
}
