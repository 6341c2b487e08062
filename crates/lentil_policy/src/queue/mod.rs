//! Which waiting request a backend server runs next.

mod fair;
mod fifo;
mod rate;
mod shares;

use std::time;

use lentil_types::{AttemptId, Instant, Pieces, Table, TeamName, Tokens};

use crate::protocol;

pub use fair::{FairQueue, Settings as FairSettings};
pub use fifo::{Fifo, Settings as FifoSettings};

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The attempt.
    pub id: AttemptId,
    /// Its work.
    pub work: protocol::Work,
    /// Leading pieces that were cached when it came.
    pub cached: Pieces,
    /// When it came.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it must run with no other request beside it.
    pub isolated: bool,
}

/// A job was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request would wait {wait:?}, past its deadline or the queue's limit")]
pub struct QueueFull {
    /// Predicted wait.
    pub wait: time::Duration,
    /// When another try is worth while.
    pub retry: time::Duration,
}

/// Orders the waiting requests of one backend server.
pub trait Queue: Send {
    /// Takes a job in.
    ///
    /// # Errors
    /// [`QueueFull`] when the job cannot be served in time. It was not queued.
    fn push(&mut self, now: Instant, job: Job) -> Result<(), QueueFull>;

    /// Takes out the job to run next, or `None` when none may run now.
    fn pop(&mut self, now: Instant) -> Option<Job>;

    /// Takes out jobs whose deadline has passed.
    fn expire(&mut self, now: Instant) -> Vec<Job>;

    /// Takes a waiting job out.
    fn remove(&mut self, id: AttemptId) -> Option<Job>;

    /// The prompt of a job that was popped is computed.
    fn on_started(&mut self, now: Instant, id: AttemptId);

    /// A job that was popped has ended, with what it took.
    fn finish(&mut self, now: Instant, id: AttemptId, usage: &protocol::Usage);

    /// Leading pieces that will be cached when a job that came now is run, if
    /// `cached` are now: those that are being computed for other jobs count.
    fn expected_cached(&self, work: &protocol::Work, cached: Pieces) -> Pieces;

    /// Expected time to the first token of a job that came now.
    fn expected_wait(&self, now: Instant, work: &protocol::Work, cached: Pieces) -> time::Duration;

    /// The engine said how many requests it runs and how many tokens wait.
    fn on_engine_load(&mut self, now: Instant, running: u32, backlog: Tokens);

    /// Sets the teams' shares. What was served before keeps counting.
    fn set_shares(&mut self, shares: &Table<TeamName, u32>);

    /// Jobs that wait.
    fn waiting(&self) -> u32;

    /// Jobs that run.
    fn running(&self) -> u32;

    /// Prompt tokens that wait or are being computed.
    fn backlog(&self) -> Tokens;
}
