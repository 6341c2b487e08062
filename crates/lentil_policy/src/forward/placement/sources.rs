//! Finds the runners that hold, prefill or should prefill a segment.

use lentil_types::WeightsVersion;

use super::{Requirements, reserve::Reserve};
use crate::forward::runners::{self, Runner, SaltHash, SegmentId, SegmentKey};

/// Where a segment is found under one version of the weights.
pub(super) struct Sources<'a> {
    pub(super) version: WeightsVersion,
    pub(super) key: SegmentKey,
    /// Runners that prefill it when none is known to hold it, primary home first.
    pub(super) homes: Vec<&'a Runner>,
    /// Runner that holds it with the fewest requests of this router.
    pub(super) holder: Option<&'a Runner>,
    /// Whether a runner is prefilling it.
    pub(super) is_prefilling: bool,
}

/// Homes of a segment. A single one would often be busy with another segment.
const HOME_COUNT: usize = 2;

/// Sources of a segment for each version that `runners` serve. Reserved runners are
/// not homes.
pub(super) fn sources<'a>(
    segment: SegmentId,
    runners: &[&'a Runner],
    requirements: &Requirements<'_>,
    reserve: &Reserve,
) -> Vec<Sources<'a>> {
    let Some(model) = requirements.model else {
        return Vec::new();
    };
    let mut all: Vec<Sources<'a>> = Vec::new();
    for runner in runners {
        let Some(version) = runner.version(model) else {
            continue;
        };
        let index = all.iter().position(|sources| sources.version == version);
        let index = index.unwrap_or_else(|| {
            all.push(Sources::new(segment, version, requirements));
            all.len() - 1
        });
        let sources = &mut all[index];
        if !reserve.contains(runner) {
            sources.insert_home(segment, runner);
        }
        sources.is_prefilling |= runner.is_prefilling(sources.key);
        let is_better = |holder: &Runner| runner.in_flight < holder.in_flight;
        if runner.segments.holds(sources.key) && sources.holder.is_none_or(is_better) {
            sources.holder = Some(runner);
        }
    }
    all
}

impl<'a> Sources<'a> {
    fn new(segment: SegmentId, version: WeightsVersion, requirements: &Requirements<'_>) -> Self {
        let salt = runners::salt(version, requirements.isolated);
        Self {
            version,
            key: SegmentKey::new(segment, SaltHash::of(&salt)),
            homes: Vec::with_capacity(HOME_COUNT + 1),
            holder: None,
            is_prefilling: false,
        }
    }

    fn insert_home(&mut self, segment: SegmentId, runner: &'a Runner) {
        let score = home_score(segment, runner);
        let index = self
            .homes
            .partition_point(|home| home_score(segment, home) > score);
        self.homes.insert(index, runner);
        self.homes.truncate(HOME_COUNT);
    }

    /// Rank of a runner among the homes, 0 for the primary one.
    pub(super) fn home_rank(&self, runner: &Runner) -> Option<usize> {
        self.homes
            .iter()
            .position(|home| home.registration.incarnation == runner.registration.incarnation)
    }
}

fn home_score(segment: SegmentId, runner: &Runner) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(runner.registration.incarnation.name.as_bytes(), segment.0)
}
