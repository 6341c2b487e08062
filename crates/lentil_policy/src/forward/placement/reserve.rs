//! Which runners get no long prompts.

use super::Requirements;
use crate::forward::runners::{Runner, Runners};

/// The runners of a service that get no long prompts: the same at every router,
/// whichever runners it finds usable at the moment.
pub(super) struct Reserve {
    /// Score of the last of them; those with a higher one get long prompts.
    last: Option<u64>,
}

impl Reserve {
    pub(super) fn new(runners: &Runners, requirements: &Requirements<'_>) -> Self {
        let own = runners
            .iter()
            .filter(|r| r.registration.service == *requirements.service && !r.is_replaced());
        let mut scores: Vec<_> = own.map(score).collect();
        scores.sort_unstable();
        let count = (scores.len() as f64 * requirements.reserve) as usize;
        scores.truncate(count);
        Self {
            last: scores.last().copied(),
        }
    }

    /// Whether every runner gets long prompts.
    pub(super) fn is_empty(&self) -> bool {
        self.last.is_none()
    }

    /// Whether a runner of the service gets no long prompts.
    pub(super) fn holds(&self, runner: &Runner) -> bool {
        self.last.is_some_and(|last| score(runner) <= last)
    }
}

fn score(runner: &Runner) -> u64 {
    xxhash_rust::xxh3::xxh3_64(runner.registration.incarnation.name.as_bytes())
}
