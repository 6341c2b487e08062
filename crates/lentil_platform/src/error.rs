//! What can go wrong with a call.

use std::time;

use lentil_policy::{store::ObjectVersion, store_budget};

/// A call to the platform did not do what was asked.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// The object has another version; nothing was written.
    #[error("the object is at version {}", .0.0)]
    Conflict(ObjectVersion),
    /// The platform was not reached; nothing was written.
    #[error("the platform was not reached: {0}")]
    Unreachable(String),
    /// The platform refused the call unread; nothing was written.
    #[error("the platform refused the call with status {0}")]
    Refused(u16),
    /// This process made no call; nothing was written.
    #[error(transparent)]
    Denied(#[from] store_budget::Denied),
    /// No answer came in time. A write may be in force.
    #[error("no answer within {0:?}")]
    Timeout(time::Duration),
    /// The exchange broke off. A write may be in force.
    #[error("the exchange broke off: {0}")]
    BrokeOff(String),
    /// The platform answered against its protocol. A write may be in force.
    #[error("the platform answered against its protocol: {0}")]
    Protocol(String),
    /// The value is larger than a megabyte.
    #[error("a value has at most {max} bytes, this one has {bytes}", max = crate::MAX_VALUE_BYTES)]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// The store no longer has the history that was asked for.
    #[error("the store no longer has this history")]
    HistoryGone,
    /// The object's key has a character that keys may not have.
    #[error("{0:?} is no key: allowed are A-Z a-z 0-9 . _ - : /")]
    BadKey(String),
}

impl StoreError {
    /// Whether a write may be in force although it failed.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            Self::Timeout(_) | Self::BrokeOff(_) | Self::Protocol(_)
        )
    }

    /// Whether it says that the platform is not well.
    pub fn is_outage(&self) -> bool {
        self.is_outcome_unknown() || matches!(self, Self::Unreachable(_) | Self::Refused(_))
    }
}
