//! How many prompt tokens a service is asked to compute.

use lentil_types::{Instant, Tokens};

/// Prompt tokens of the long prompts that a service was recently asked to compute,
/// decaying exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    tokens: f64,
    count: f64,
    /// Tokens of prompts that are long with what is cached of them.
    whole: f64,
    /// Those of them that had to be computed.
    computed: f64,
    updated_at: Instant,
}

/// Half-life of the demand, in seconds.
const HALF_LIFE_SECS: f64 = 4.0;

impl Demand {
    /// A long prompt with `uncached` tokens was sent to a runner.
    pub fn on_sent(&mut self, now: Instant, uncached: Tokens) {
        self.decay(now);
        self.tokens += uncached.0 as f64;
        self.count += 1.0;
    }

    /// A prompt of `whole` tokens that waits in the queue while runners are busy was sent
    /// to a runner that must compute `uncached` of them.
    pub fn on_queued_sent(&mut self, now: Instant, whole: Tokens, uncached: Tokens) {
        self.decay(now);
        self.whole += whole.0 as f64;
        self.computed += uncached.0 as f64;
    }

    fn decay(&mut self, now: Instant) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE_SECS).exp2();
        self.updated_at = now;
        for sum in [
            &mut self.tokens,
            &mut self.count,
            &mut self.whole,
            &mut self.computed,
        ] {
            *sum *= decay;
        }
    }

    /// Part of the tokens of queued prompts that runners had to compute lately; all of
    /// them if none was sent.
    pub fn computed_share(&self) -> f64 {
        if self.whole > 0.0 {
            self.computed / self.whole
        } else {
            1.0
        }
    }

    /// Mean uncached tokens of a long prompt.
    pub fn mean_long(&self) -> f64 {
        self.tokens / self.count.max(1.0)
    }
}
