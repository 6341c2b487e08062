//! Whether a request that finds no runner may wait for one.
//!
//! Load: up to four times what the runners can compute, for seconds to minutes. A request
//! that waits and is then too late has taken a place for nothing, and its caller learns
//! late that it must come back. So it is refused as soon as the prediction says so, and
//! told when its turn would come. While runners have room nothing is refused: the
//! prediction is made only for requests that have to wait.

use std::time;

use lentil_types::Instant;

/// When a waiting request is of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When it must have left the queue.
    pub queue_until: Instant,
    /// When the first byte of its answer must be there: its caller leaves then.
    pub start_by: Instant,
}

/// What is predicted for a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prediction {
    /// Time until it has a runner.
    pub wait: time::Duration,
    /// Time from then to the first byte.
    pub first_byte: time::Duration,
}

/// A request cannot be answered in its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("its turn comes only in {} ms", wait.as_millis())]
pub struct TooLate {
    /// Time until its turn would come.
    pub wait: time::Duration,
}

/// Whether a request may wait.
///
/// # Errors
/// [`TooLate`] if it would leave the queue or be answered too late.
pub fn check(now: Instant, limits: &Limits, prediction: &Prediction) -> Result<(), TooLate> {
    let Prediction { wait, first_byte } = *prediction;
    if now + wait > limits.queue_until || now + wait + first_byte > limits.start_by {
        return Err(TooLate { wait });
    }
    Ok(())
}
