//! The cases, one module each.

pub mod address;
pub mod copy;
pub mod entry;
pub mod isolated;
pub mod lookup;

use crate::callers::{served_share, statuses, Asked};
use crate::record::Record;
use crate::Verdict;

/// Whether a kind of request was served less than a quarter as often as all requests.
fn judge_starved(record: &Record, kind: &[Asked], others: &[Asked], since: u64) -> Verdict {
    let share = served_share(kind);
    let all = served_share(kind.iter().chain(others));
    record.conclude(&format!(
        "this kind of request: {:.1}% of {} served; from {since} ms on: {}",
        share * 100.0,
        kind.len(),
        statuses(kind, since)
    ));
    record.conclude(&format!(
        "all requests: {:.1}% of {} served; the others from {since} ms on: {}",
        all * 100.0,
        kind.len() + others.len(),
        statuses(others, since)
    ));
    let is_broken = share < all / 4.0;
    record.conclude(if is_broken { "STARVED: broken" } else { "STARVED: held" });
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
