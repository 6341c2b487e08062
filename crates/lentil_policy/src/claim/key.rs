//! Checks the age of idempotency keys.

use std::time;

use lentil_types::IdempotencyKey;

/// How far a caller's clock may be ahead of an entry's.
const MAX_CALLER_SKEW: time::Duration = time::Duration::from_secs(300);

/// Whether the creation time in a key is acceptable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// Created at this time since the Unix epoch, within the retention.
    Valid(time::Duration),
    /// Older than the retention: its claim may have been deleted.
    Expired,
    /// Does not begin with a time, or begins with one in the future.
    Invalid,
}

/// Checks the age of a key. A key begins with the Unix time in seconds at which
/// it was created, then `-`, as in `1796331600-voucher-88`.
pub fn age_of(key: &IdempotencyKey, unix: time::Duration, retention: time::Duration) -> KeyAge {
    let seconds = key.split_once('-').and_then(|(time, _)| time.parse().ok());
    let Some(created) = seconds.map(time::Duration::from_secs) else {
        return KeyAge::Invalid;
    };
    if created > unix.saturating_add(MAX_CALLER_SKEW) {
        KeyAge::Invalid
    } else if created.saturating_add(retention) < unix {
        KeyAge::Expired
    } else {
        KeyAge::Valid(created)
    }
}
