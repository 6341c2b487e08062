//! The invariants that a run checks.

use lentil_types::Instant;

/// A guarantee to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Invariant {
    /// An answer reported as complete is that of its own request, in order.
    WholeOwnAnswer,
    /// A request reported as not run never ran.
    HonestNotRun,
    /// A call that may not be repeated ran at most once.
    AtMostOnce,
    /// Every request ends exactly once, in time.
    EndsOnce,
    /// A request never starts at another boot or other weights than it was
    /// dispatched for.
    NoStaleEngine,
    /// A leaving sidecar starts nothing that was dispatched later.
    NothingNewWhenLeaving,
    /// A request that crashes engines is refused everywhere within seconds of its
    /// second crash, once the first one has propagated.
    PoisonRefused,
    /// A request that ran beside one that crashes engines is not refused.
    InnocentsSpared,
    /// A resumed answer continues exactly after the text that the caller has.
    ResumesExactly,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {invariant}: {detail}")]
pub struct Violation {
    /// Simulated time of the check.
    pub at: Instant,
    /// What was violated.
    pub invariant: Invariant,
    /// What the check observed.
    pub detail: String,
}
