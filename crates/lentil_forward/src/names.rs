//! Names of header fields, as a deployment spells them.

/// Names of header fields, as a deployment spells them.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id that the caller gave its request.
    pub request_id: &'static str,
    /// Milliseconds that the sender waits for an answer.
    pub deadline: &'static str,
    /// The caller's key.
    pub key: &'static str,
    /// The team that holds the key.
    pub team: &'static str,
    /// Model that the request is for.
    pub model: &'static str,
    /// Shared parts of the prompt in order.
    pub segments: &'static str,
    /// Last event that the receiver of a stream has.
    pub last_event: &'static str,
    /// The runner's proof that an answer is its own.
    pub seal: &'static str,
    /// States that a request was not run.
    pub not_run: &'static str,
    /// The only runner that may run the request.
    pub expect_runner: &'static str,
    /// The only version of the weights that may run the request.
    pub expect_weights: &'static str,
    /// Version of the weights that made an answer.
    pub weights: &'static str,
    /// What cache entries are kept under.
    pub cache_salt: &'static str,
    /// Runner that cache entries are fetched from.
    pub fetch_from: &'static str,
    /// Store that the runner saves cache entries to.
    pub save_to: &'static str,
    /// Rank of the request at the runner.
    pub priority: &'static str,
    /// Requests that run and wait at the runner, and its slots.
    pub load: &'static str,
    /// The runner that answers.
    pub runner: &'static str,
    /// When to come back, in seconds.
    pub retry_after: &'static str,
    /// Fields of a request that only this system may set. They are never taken
    /// over from a caller.
    pub reserved: &'static [&'static str],
    /// Fields that are passed on although a caller lists them as belonging to
    /// its connection.
    pub always_forwarded: &'static [&'static str],
}
