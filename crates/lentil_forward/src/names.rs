//! Names of HTTP header fields.

/// A deployment's names for header fields.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id that the caller gave the request.
    pub request_id: &'static str,
    /// Milliseconds that the sender waits for an answer.
    pub deadline: &'static str,
    /// The caller's access key.
    pub key: &'static str,
    /// Team that the key belongs to.
    pub team: &'static str,
    /// Requested model.
    pub model: &'static str,
    /// Tokens of the prompt and of its longest output, separated by a comma.
    pub tokens: &'static str,
    /// Segments of the prompt in order.
    pub segments: &'static str,
    /// Id of the last event received; the stream resumes after it.
    pub last_event: &'static str,
    /// Id of the request that brought the first event of the stream that is taken up.
    pub resumes: &'static str,
    /// The runner's proof that it made the answer.
    pub seal: &'static str,
    /// Set on an answer when the request was not run.
    pub not_run: &'static str,
    /// The only runner that may run the request.
    pub expect_runner: &'static str,
    /// The only version of the weights that may run the request.
    pub expect_weights: &'static str,
    /// Version of the weights that made an answer.
    pub weights: &'static str,
    /// Salt that keys the cache entries.
    pub cache_salt: &'static str,
    /// Runner that cache entries are fetched from.
    pub fetch_from: &'static str,
    /// Store that the runner saves cache entries to.
    pub save_to: &'static str,
    /// Priority of the request at the runner.
    pub priority: &'static str,
    /// Requests running and waiting at the runner, and its slots.
    pub load: &'static str,
    /// Requests a second that the runner takes from all routers together.
    pub limit: &'static str,
    /// Set to `1` by a runner that leaves.
    pub leaving: &'static str,
    /// Name of the runner that answered.
    pub runner: &'static str,
    /// Seconds after which the caller may retry. In a runner's refusal: how long it wants
    /// nothing from this router.
    pub retry_after: &'static str,
    /// Request fields that only this system may set; dropped from callers'
    /// requests.
    pub reserved: &'static [&'static str],
    /// Fields forwarded even if the caller's `Connection` lists them as hop-by-hop.
    pub always_forwarded: &'static [&'static str],
}
