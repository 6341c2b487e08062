//! Token bucket that limits retries.

/// Most retries that may accumulate.
const MAX_TOKENS: f64 = 100.0;
/// Retries that each request adds.
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
    pub(super) fn on_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes one retry, if there is one.
    pub(super) fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
