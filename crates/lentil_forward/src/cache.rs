//! Tracks by events which segments a prefix cache or cache store holds.

use std::{net, time};

use compact_str::CompactString;
use lentil_policy::forward::runners::{SaltHash, SegmentId, SegmentKey};
use lentil_types::{RequestRate, Table, Tokens};

use crate::agent::RunnerFuture;

/// A change of one segment in a cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Salt that the segment is keyed with.
    pub salt: CompactString,
    /// Id of the segment.
    pub segment: CompactString,
    /// Tokens cached now; 0 when it was evicted.
    pub tokens: Tokens,
}

/// Events of a cache since a given number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventBatch {
    /// A new epoch means a new cache, whose events are read from number 0.
    pub epoch: u64,
    /// `since` of the next call.
    pub next: u64,
    /// Whether events before these were lost.
    pub has_gap: bool,
    /// Events in order.
    pub events: Vec<Event>,
    /// Requests a second that the runner takes from all callers, if it names a limit.
    pub limit: Option<RequestRate>,
}

/// Reads events of runners and cache stores.
pub trait Reader {
    /// Reads events of the cache at `address` from number `since` on. Long poll:
    /// returns when there are events, or after `wait`.
    fn events(
        &self,
        address: net::SocketAddr,
        since: u64,
        wait: time::Duration,
    ) -> RunnerFuture<'_, EventBatch>;
}

/// Segments in a cache, kept up to date from its events.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentIndex {
    epoch: Option<u64>,
    next: u64,
    /// Segments with the number of the event that added each.
    segments: Table<SegmentKey, u64>,
    added: u64,
}

/// Most segments that are kept; the oldest are dropped. A runner or store that holds more has
/// them, but requests are not placed by them.
const MAX_SEGMENTS: usize = 32_768;

impl SegmentIndex {
    /// `since` of the next call.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Applies events, leaving out segments under `min_tokens`. Returns whether the
    /// index changed.
    pub(crate) fn apply(&mut self, batch: &EventBatch, min_tokens: Tokens) -> bool {
        let is_new = self.epoch.is_some_and(|epoch| epoch != batch.epoch);
        let mut has_changed = is_new || batch.has_gap;
        if has_changed {
            // Evictions in a gap are unknown.
            self.segments = Table::new();
        }
        self.epoch = Some(batch.epoch);
        self.next = if is_new { 0 } else { batch.next };
        if is_new {
            return true;
        }
        for event in &batch.events {
            let key = SegmentKey::new(SegmentId::of(&event.segment), SaltHash::of(&event.salt));
            match (self.segments.contains(&key), event.tokens >= min_tokens) {
                (false, true) => {
                    self.added += 1;
                    self.segments.insert(key, self.added);
                }
                (true, false) => {
                    self.segments.remove(&key);
                }
                _ => continue,
            }
            has_changed = true;
            if self.segments.len() > MAX_SEGMENTS {
                self.drop_oldest();
            }
        }
        has_changed
    }

    /// Drops the older half.
    fn drop_oldest(&mut self) {
        let mut order: Vec<_> = self.segments.values().copied().collect();
        let (_, median, _) = order.select_nth_unstable(MAX_SEGMENTS / 2);
        let oldest = *median;
        self.segments.retain(|_, added| *added >= oldest);
    }

    /// Segments sorted by key.
    pub(crate) fn sorted(&self) -> Vec<SegmentKey> {
        self.segments.keys().copied().collect()
    }

    /// The `limit` newest segments.
    pub(crate) fn newest(&self, limit: usize) -> Vec<SegmentKey> {
        let mut segments: Vec<_> = self.segments.iter().collect();
        segments.sort_unstable_by_key(|(_, added)| **added);
        let from = segments.len().saturating_sub(limit);
        segments[from..].iter().map(|(key, _)| **key).collect()
    }
}
