//! Size limits and timeouts for callers.

use std::time;

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of request line and headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes. It has to fit into a frame between
    /// processes.
    pub body_bytes: usize,
    /// Maximum number of connections. Further ones wait in the listen queue.
    pub connections: usize,
    /// Timeout for a whole head, from its first byte.
    pub head_time: time::Duration,
    /// Timeout for a whole body.
    pub body_time: time::Duration,
    /// Time that a connection may be idle between two requests.
    pub idle_time: time::Duration,
    /// Time for which a caller may read nothing of its answer.
    pub stall_time: time::Duration,
    /// Maximum time to a request's deadline; longer ones are shortened to it.
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
