//! What a run checks.

use lentil_types::Instant;

/// A promise to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// An answer that is told to be whole is the whole answer to its own
    /// request, in order.
    WholeOwnAnswer,
    /// A request that is told not to have run never ran.
    HonestNotRun,
    /// A call that may not be repeated ran at most once.
    AtMostOnce,
    /// Every request ends once, in time.
    EndsOnce,
    /// Work never starts at an engine of another life or other weights than it
    /// was meant for.
    NoStaleEngine,
    /// A leaving backend server starts nothing that came after it left.
    NothingNewWhenLeaving,
    /// What crashes engines is refused everywhere within seconds of a second
    /// crash after the news of the first.
    PoisonRefused,
    /// What ran beside it is not refused.
    InnocentsSpared,
    /// An answer goes on where it broke off.
    ResumesExactly,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{at}: {promise}: {detail}")]
pub struct Violation {
    /// When it was seen.
    pub at: Instant,
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}
