//! Versions of a store that may come back from an older copy of itself.
//!
//! The store's revisions go back then and are given out again. Its answers name an era,
//! which rises with every such loss. A version is the era and the revision, so that
//! versions only grow, and those of different eras can be told apart.
//!
//! The load it answers: many connections, on which answers of an earlier era may still be
//! on their way, and losses in quick succession.

use crate::store::ObjectVersion;

/// Bits of a version that hold the revision; the era is above them.
const REVISION_BITS: u32 = 40;

/// A version read before a loss, or an answer from before it: read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store came back from an older copy")]
pub struct Outdated;

/// A revision in an era of the store.
pub fn version(era: u64, revision: u64) -> ObjectVersion {
    let revision = revision & ((1 << REVISION_BITS) - 1);
    ObjectVersion((era << REVISION_BITS) | revision)
}

/// The era of a version.
pub fn era(version: ObjectVersion) -> u64 {
    version.0 >> REVISION_BITS
}

/// The store's revision of a version.
pub fn revision(version: ObjectVersion) -> u64 {
    version.0 & ((1 << REVISION_BITS) - 1)
}

/// The highest era that answers have named.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    /// 0 before the first.
    newest: u64,
}

/// The era of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEra {
    /// The era that it belongs to.
    pub era: u64,
    /// The era before, if this answer is the first that names a later one.
    pub risen_from: Option<u64>,
}

impl EraTracker {
    /// Notes an answer. One that names no era belongs to the newest.
    pub fn on_answer(&mut self, named: Option<u64>) -> AnswerEra {
        let era = named.unwrap_or(self.newest);
        let old = self.newest;
        self.newest = old.max(era);
        AnswerEra {
            era,
            risen_from: (era > old && old > 0).then_some(old),
        }
    }

    /// Checks that a version was read in the newest era.
    ///
    /// # Errors
    /// [`Outdated`] if it was not.
    pub fn check_version(&self, version: ObjectVersion) -> Result<(), Outdated> {
        self.check_era(era(version))
    }

    /// Checks that an answer belongs to the newest era, also if it was on its way when
    /// another one named a later era.
    ///
    /// # Errors
    /// [`Outdated`] if it does not.
    pub fn check_era(&self, era: u64) -> Result<(), Outdated> {
        if era < self.newest {
            Err(Outdated)
        } else {
            Ok(())
        }
    }
}
