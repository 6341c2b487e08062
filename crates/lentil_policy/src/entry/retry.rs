//! Token bucket that limits retries.

/// Capacity of the bucket, in retries.
const MAX_TOKENS: f64 = 100.0;
/// Retries that each request adds to the bucket.
const TOKENS_PER_REQUEST: f64 = 0.1;

/// Limits retries to a share of requests, so that they do not amplify an
/// overload.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that a new request allows.
    pub(super) fn on_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry. Returns false if none is left.
    pub(super) fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
