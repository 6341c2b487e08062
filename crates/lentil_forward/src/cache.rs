//! What is in the memory of a runner or of a store of cache entries, as its
//! events tell.

use std::{net, time};

use compact_str::CompactString;
use lentil_policy::forward::runners::{SaltHash, SegmentId, SegmentKey};
use lentil_types::Tokens;

use crate::agent::RunnerFuture;

/// A change of the memory of a runner or a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Salt that the part is kept under.
    pub salt: CompactString,
    /// Id of the part.
    pub segment: CompactString,
    /// Tokens of it that are kept now; 0 when it was dropped.
    pub tokens: Tokens,
}

/// Changes of a memory since an earlier question.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// Another number tells that the memory is a new one.
    pub epoch: u64,
    /// Where the next question goes on.
    pub next: u64,
    /// Whether changes are missing.
    pub has_gap: bool,
    /// The changes in order.
    pub events: Vec<Event>,
}

/// Asks runners and stores for changes of their memory.
pub trait Reader {
    /// Asks the one at `address` for changes since number `since`; it answers
    /// when there are some, or after `wait`.
    fn events(
        &self,
        address: net::SocketAddr,
        since: u64,
        wait: time::Duration,
    ) -> RunnerFuture<'_, EventBatch>;
}

/// What is in a memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentIndex {
    epoch: Option<u64>,
    next: u64,
    /// Parts that were stored, the newest last.
    segments: Vec<SegmentKey>,
}

impl SegmentIndex {
    /// Where the next question for changes goes on.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Takes changes in. `false`: nothing that is told has changed.
    pub(crate) fn apply(&mut self, news: &EventBatch, least: Tokens) -> bool {
        let is_new = self.epoch.is_some_and(|epoch| epoch != news.epoch);
        let mut has_changed = is_new || news.has_gap;
        if has_changed {
            // What was dropped in the gap is not known.
            self.segments.clear();
        }
        self.epoch = Some(news.epoch);
        self.next = if is_new { 0 } else { news.next };
        if is_new {
            return true;
        }
        for event in &news.events {
            let key = SegmentKey::new(SegmentId::of(&event.segment), SaltHash::of(&event.salt));
            let known = self.segments.iter().position(|other| *other == key);
            match (known, event.tokens >= least) {
                (None, true) => self.segments.push(key),
                (Some(at), false) => {
                    self.segments.remove(at);
                }
                _ => continue,
            }
            has_changed = true;
        }
        has_changed
    }

    /// All parts, sorted.
    pub(crate) fn sorted(&self) -> Vec<SegmentKey> {
        let mut segments = self.segments.clone();
        segments.sort_unstable();
        segments
    }

    /// The `most` parts that were stored last.
    pub(crate) fn segments(&self, most: usize) -> Vec<SegmentKey> {
        let from = self.segments.len().saturating_sub(most);
        self.segments[from..].to_vec()
    }
}
