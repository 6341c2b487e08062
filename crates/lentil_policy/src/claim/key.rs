//! The age of an idempotency key.

use std::time;

use lentil_types::IdempotencyKey;

/// How far a caller's clock may be ahead.
const MAX_SKEW: time::Duration = time::Duration::from_secs(300);

/// What a key says about when it was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// It was made at this time since the Unix epoch, within the retention.
    Valid(time::Duration),
    /// It is older than the retention: its claim may be gone.
    Expired,
    /// It does not begin with a time, or with one in the future.
    Invalid,
}

/// Reads the age of a key. A key begins with the Unix time in seconds at which
/// it was created, then `-`, as in `1796331600-voucher-88`.
pub fn age_of(key: &IdempotencyKey, unix: time::Duration, retention: time::Duration) -> KeyAge {
    let seconds = key.split_once('-').and_then(|(time, _)| time.parse().ok());
    let Some(created) = seconds.map(time::Duration::from_secs) else {
        return KeyAge::Invalid;
    };
    if created > unix.saturating_add(MAX_SKEW) {
        KeyAge::Invalid
    } else if created.saturating_add(retention) < unix {
        KeyAge::Expired
    } else {
        KeyAge::Valid(created)
    }
}
