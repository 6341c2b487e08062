//! Limits on what callers may send and on how long they may take.

use std::time;

/// Limits on what callers may send and on how long they may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request line and headers, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes. It has to fit into a frame between
    /// processes.
    pub body_bytes: usize,
    /// Most connections at once. Further ones wait in the listen queue.
    pub connections: usize,
    /// Time for a whole head, from its first byte.
    pub head_time: time::Duration,
    /// Time for a whole body.
    pub body_time: time::Duration,
    /// Time that a connection may be open between two requests.
    pub idle_time: time::Duration,
    /// Time for which a caller may take in nothing of its answer.
    pub stall_time: time::Duration,
    /// Longest time that a request may have.
    pub max_budget: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 8 * 1024 * 1024,
            connections: 10_000,
            head_time: time::Duration::from_secs(10),
            body_time: time::Duration::from_secs(60),
            idle_time: time::Duration::from_secs(75),
            stall_time: time::Duration::from_secs(60),
            max_budget: time::Duration::from_secs(3_600),
        }
    }
}
