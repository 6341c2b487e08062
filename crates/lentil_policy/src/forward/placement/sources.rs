//! Where shared parts are.

use lentil_types::WeightsVersion;

use super::{Requirements, reserve::Reserve};
use crate::forward::runners::{self, Runner, SaltHash, SegmentId, SegmentKey};

/// Where a part is kept under one version of the weights.
pub(super) struct Sources<'a> {
    pub(super) version: WeightsVersion,
    pub(super) key: SegmentKey,
    /// The runners that read it when nobody is known to hold it, the first one
    /// before the second.
    pub(super) homes: Vec<&'a Runner>,
    /// The least busy runner that holds it.
    pub(super) holder: Option<&'a Runner>,
    /// Whether a runner reads it now.
    pub(super) is_prefilling: bool,
}

/// Homes of a part. One alone would often be busy with another part.
const HOMES: usize = 2;

/// Where a part is kept, for each version that these runners serve. Runners that
/// get no long prompts are no homes.
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
        let at = all.iter().position(|sources| sources.version == version);
        let at = at.unwrap_or_else(|| {
            all.push(Sources::new(segment, version, requirements));
            all.len() - 1
        });
        let sources = &mut all[at];
        if !reserve.holds(runner) {
            sources.offer_home(segment, runner);
        }
        sources.is_prefilling |= runner.is_prefilling(sources.key);
        let is_better = |old: &Runner| runner.in_flight < old.in_flight;
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
            homes: Vec::with_capacity(HOMES + 1),
            holder: None,
            is_prefilling: false,
        }
    }

    fn offer_home(&mut self, segment: SegmentId, runner: &'a Runner) {
        let score = home_score(segment, runner);
        let at = self
            .homes
            .partition_point(|home| home_score(segment, home) > score);
        self.homes.insert(at, runner);
        self.homes.truncate(HOMES);
    }

    /// Which of the homes a runner is.
    pub(super) fn home(&self, runner: &Runner) -> Option<usize> {
        self.homes
            .iter()
            .position(|home| home.registration.incarnation == runner.registration.incarnation)
    }
}

fn home_score(segment: SegmentId, runner: &Runner) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(runner.registration.incarnation.name.as_bytes(), segment.0)
}
