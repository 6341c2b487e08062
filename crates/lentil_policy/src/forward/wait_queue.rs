//! Requests that wait at a router for a runner.
//!
//! Load it answers: when long prompts come faster than runners compute them, they
//! wait here and not at the runners, where they would hold up every short
//! request. The most urgent goes first. Among equals go first those that can still
//! be answered in time, in the order in which they came: a late answer is worth
//! about as much a second later.

use lentil_types::{Instant, ServiceName};

/// Names one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

#[derive(Clone, Debug)]
struct Row {
    rank: u8,
    arrived: Instant,
    ticket: Ticket,
    /// It must have a runner by then to be answered in time.
    due: Instant,
    service: ServiceName,
}

impl Row {
    /// Its place in the order; less goes first.
    fn order(&self, now: Instant) -> (u8, bool, Instant, Ticket) {
        (self.rank, now > self.due, self.arrived, self.ticket)
    }
}

/// Requests that wait.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    rows: Vec<Row>,
    next: u64,
}

impl WaitQueue {
    /// A request begins to wait. `due`: it must have a runner by then to be
    /// answered in time.
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

    /// A request waits no more.
    pub fn remove(&mut self, ticket: Ticket) {
        self.rows.retain(|row| row.ticket != ticket);
    }

    /// Requests for the same service that go before this one.
    pub fn position(&self, now: Instant, ticket: Ticket) -> usize {
        let Some(own) = self.rows.iter().find(|row| row.ticket == ticket) else {
            return 0;
        };
        let order = own.order(now);
        let ahead = |row: &&Row| row.service == own.service && row.order(now) < order;
        self.rows.iter().filter(ahead).count()
    }

    /// Requests for a service that go before one that would join now.
    pub fn position_of_new(&self, now: Instant, service: &ServiceName, rank: u8) -> usize {
        let order = (rank, false, now, Ticket(self.next));
        let ahead = |row: &&Row| row.service == *service && row.order(now) < order;
        self.rows.iter().filter(ahead).count()
    }
}

/// What a service is asked to compute, as prompt tokens that fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    long: f64,
    short: f64,
    long_count: f64,
    at: Instant,
}

/// Time after which half of the demand is forgotten, in seconds.
const HALF_LIFE: f64 = 4.0;
/// Largest part of a service that is kept for short requests.
const MAX_RESERVE: f64 = 0.34;

impl Demand {
    /// A request with so many prompt tokens to compute was sent.
    pub fn on_sent(&mut self, now: Instant, uncached: u64, is_long: bool) {
        let fade = (-now.since(self.at).as_secs_f64() / HALF_LIFE).exp2();
        self.at = now;
        self.long *= fade;
        self.short *= fade;
        self.long_count *= fade;
        if is_long {
            self.long += uncached as f64;
            self.long_count += 1.0;
        } else {
            self.short += uncached as f64;
        }
    }

    /// Part of a service's runners that short requests need.
    pub fn reserve(&self) -> f64 {
        let all = self.long + self.short;
        if all <= 0.0 {
            return 0.0;
        }
        (self.short / all).min(MAX_RESERVE)
    }

    /// Mean prompt tokens that a long request has to compute.
    pub fn mean_long(&self) -> f64 {
        self.long / self.long_count.max(1.0)
    }
}
