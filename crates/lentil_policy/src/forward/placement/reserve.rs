//! Selects the runners that get no long prompts.

use super::Requirements;
use crate::forward::runners::{Runner, Runners};

/// The runners of a service that get no long prompts. Independent of which runners a
/// router finds usable, so that all routers reserve the same ones.
pub(super) struct Reserve {
    /// Highest score of a reserved runner; `None` where no runner is reserved.
    max_score: Option<u64>,
}

impl Reserve {
    pub(super) fn new(runners: &Runners, requirements: &Requirements<'_>) -> Self {
        let members = runners
            .iter()
            .filter(|r| r.registration.service == *requirements.service && !r.is_replaced());
        let mut scores: Vec<_> = members.map(score).collect();
        scores.sort_unstable();
        let count = (scores.len() as f64 * requirements.reserve) as usize;
        scores.truncate(count);
        Self {
            max_score: scores.last().copied(),
        }
    }

    /// Whether every runner gets long prompts.
    pub(super) fn is_empty(&self) -> bool {
        self.max_score.is_none()
    }

    /// Whether a runner of the service is reserved.
    pub(super) fn contains(&self, runner: &Runner) -> bool {
        self.max_score
            .is_some_and(|max_score| score(runner) <= max_score)
    }
}

fn score(runner: &Runner) -> u64 {
    xxhash_rust::xxh3::xxh3_64(runner.registration.incarnation.name.as_bytes())
}
