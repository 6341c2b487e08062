//! Request queue of a backend server: admission, order and predicted waits.

mod fair;
mod fifo;
mod rate;
mod shares;

use std::time;

use lentil_types::{AttemptId, Instant, Pieces, Table, TeamName, Tokens};

use crate::protocol;

pub use fair::{FairQueue, Settings as FairSettings};
pub use fifo::{Fifo, Settings as FifoSettings};

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The attempt.
    pub id: AttemptId,
    /// What the request asks of the runner.
    pub work: protocol::Work,
    /// Leading cached pieces; raised as prefills of other jobs finish.
    pub cached: Pieces,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it must run alone.
    pub isolated: bool,
}

/// The queue refused a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request would wait {wait:?}, past its deadline or the queue's limit")]
pub struct QueueFull {
    /// Predicted wait.
    pub wait: time::Duration,
    /// Retry-after hint for the caller.
    pub retry: time::Duration,
}

/// Orders the waiting requests of one backend server.
pub trait Queue: Send {
    /// Enqueues a job.
    ///
    /// # Errors
    /// [`QueueFull`] when the job cannot be served in time or too many wait.
    fn push(&mut self, now: Instant, job: Job) -> Result<(), QueueFull>;

    /// Removes and returns the next job; `None` if none may run now.
    fn pop(&mut self, now: Instant) -> Option<Job>;

    /// Removes and returns the waiting jobs whose deadline has passed.
    fn expire(&mut self, now: Instant) -> Vec<Job>;

    /// Removes a waiting job.
    fn remove(&mut self, id: AttemptId) -> Option<Job>;

    /// A running job's prefill has finished.
    fn on_started(&mut self, now: Instant, id: AttemptId);

    /// A running job has ended, with what it used.
    fn finish(&mut self, now: Instant, id: AttemptId, usage: &protocol::Usage);

    /// Leading pieces that will be cached when a job arriving now runs, if
    /// `cached` are now; includes those that other jobs compute until then.
    fn expected_cached(&self, work: &protocol::Work, cached: Pieces) -> Pieces;

    /// Expected time to the first token of a job that arrives now.
    fn expected_wait(&self, now: Instant, work: &protocol::Work, cached: Pieces) -> time::Duration;

    /// Takes in the engine's count of running requests and waiting tokens.
    fn on_engine_load(&mut self, now: Instant, running: u32, backlog: Tokens);

    /// Sets the teams' shares. Tokens served before keep counting.
    fn set_shares(&mut self, shares: &Table<TeamName, u32>);

    /// Number of waiting jobs.
    fn waiting(&self) -> u32;

    /// Number of running jobs.
    fn running(&self) -> u32;

    /// Prompt tokens that wait or are being prefilled.
    fn backlog(&self) -> Tokens;
}
