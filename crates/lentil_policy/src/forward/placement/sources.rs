//! Finds the runners that hold, prefill or should prefill a segment.

use lentil_types::WeightsVersion;

use super::Requirements;
use crate::forward::{
    pace,
    runners::{self, Runner, Runners, SaltHash, SegmentId, SegmentKey},
};

/// Homes of a segment. A single one would often be busy with another segment.
const HOME_COUNT: usize = 2;

/// Runners that prefill a segment when none is known to hold it, primary home first.
/// Computed from all runners that stay in the service, whatever their weights and
/// whether they are usable now: routers must agree on them, and each change costs a
/// prefill. Where speeds are learned, a runner is home in proportion to the speed of its
/// class, and those that are kept for short prompts for long are none.
pub(super) struct Homes<'a>(Vec<&'a Runner>);

/// Score of a runner for a segment, in descending order of preference. Both are by
/// rendezvous hashing, the second one weighted.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum HomeScore {
    Equal(u64),
    Weighted(f64),
}

impl<'a> Homes<'a> {
    pub(super) fn new(
        segment: SegmentId,
        runners: &'a Runners,
        requirements: &Requirements<'_>,
        pace: Option<&pace::ServiceState>,
    ) -> Self {
        let mut homes = Self(Vec::with_capacity(HOME_COUNT + 1));
        let members = runners
            .iter()
            .filter(|runner| runner.is_member(requirements.service))
            .filter(|runner| {
                let name = &runner.registration.incarnation.name;
                pace.is_none_or(|state| state.excluded.binary_search(name).is_err())
            });
        let score = |runner: &Runner| {
            let score = home_score(segment, runner);
            match pace {
                Some(_) => HomeScore::Weighted(weighted_score(score, runner)),
                None => HomeScore::Equal(score),
            }
        };
        for runner in members {
            let own = score(runner);
            let index = homes.0.partition_point(|home| score(home) > own);
            homes.0.insert(index, runner);
            homes.0.truncate(HOME_COUNT);
        }
        homes
    }

    /// Rank of a runner among the homes, 0 for the primary one.
    pub(super) fn rank(&self, runner: &Runner) -> Option<usize> {
        self.0
            .iter()
            .position(|home| home.registration.incarnation == runner.registration.incarnation)
    }

    /// The homes, primary one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &'a Runner> {
        self.0.iter().copied()
    }
}

/// Where a segment is found under one version of the weights.
pub(super) struct Sources<'a> {
    pub(super) version: WeightsVersion,
    pub(super) key: SegmentKey,
    /// Runner that holds it with the fewest requests of this router.
    pub(super) holder: Option<&'a Runner>,
    /// Whether a runner is prefilling it.
    pub(super) is_prefilling: bool,
}

/// Sources of a segment for each version that `runners` serve.
pub(super) fn sources<'a>(
    segment: SegmentId,
    runners: &[&'a Runner],
    requirements: &Requirements<'_>,
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
        sources.is_prefilling |= runner.is_prefilling(sources.key);
        let is_better = |holder: &Runner| runner.in_flight < holder.in_flight;
        if runner.segments.holds(sources.key) && sources.holder.is_none_or(is_better) {
            sources.holder = Some(runner);
        }
    }
    all
}

impl Sources<'_> {
    fn new(segment: SegmentId, version: WeightsVersion, requirements: &Requirements<'_>) -> Self {
        let salt = runners::salt(version, requirements.cache_group);
        Self {
            version,
            key: SegmentKey::new(segment, SaltHash::of(&salt)),
            holder: None,
            is_prefilling: false,
        }
    }
}

/// Score by which a runner is the first home with a probability in proportion to the speed
/// of its class. Classes are coarse, so that few segments move.
fn weighted_score(score: u64, runner: &Runner) -> f64 {
    let fraction = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -pace::class_speed(runner.pace.class()) / fraction.ln()
}

/// Score of a runner for a segment; its homes have the highest ones.
pub(super) fn home_score(segment: SegmentId, runner: &Runner) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(runner.registration.incarnation.name.as_bytes(), segment.0)
}
