//! Hashes of cache pieces: parts of a prompt with at most [`PIECE_TOKENS`] tokens.

use std::fmt;

use xxhash_rust::xxh3;

use crate::{ModelName, ScopeName, TeamName, WeightsVersion};

/// Tokens in a full cache piece.
pub const PIECE_TOKENS: u32 = 1_000;

/// Hash of a cache piece and everything before it in the prompt.
///
/// Chains start from a [`PieceSeed`], so equal text has different hashes in another
/// cache scope, for another model or for other weights.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct PieceHash(pub u64);

impl PieceHash {
    /// Hash of the next piece, whose text is `bytes`.
    #[must_use]
    pub fn chain(self, bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_64_with_seed(bytes, self.0))
    }
}

impl fmt::Display for PieceHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Start of a chain of [`PieceHash`]es. The engine gets it as its cache salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PieceSeed(pub PieceHash);

impl PieceSeed {
    /// The seed of one cache scope, model and weights version. Each set of teams in the
    /// scope has a seed of its own: a team that leaves the scope or joins it would otherwise
    /// leave its entries to the others, or find theirs. `teams` are sorted.
    pub fn new(
        scope: &ScopeName,
        teams: &[&TeamName],
        model: &ModelName,
        weights: WeightsVersion,
    ) -> Self {
        let from_weights = PieceHash(u64::from(weights.0));
        let from_scope = from_weights.chain(scope.as_bytes());
        let from_teams = teams.iter().fold(from_scope, |seed, team| {
            let length = (team.len() as u64).to_le_bytes();
            seed.chain(&length).chain(team.as_bytes())
        });
        Self(from_teams.chain(model.as_bytes()))
    }
}

impl fmt::Display for PieceSeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
