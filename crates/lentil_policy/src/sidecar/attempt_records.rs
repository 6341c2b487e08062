//! Records of finished attempts, which prove whether an attempt ever ran.

use std::time;

use lentil_types::{AttemptId, Instant, Table};

use crate::{protocol, sidecar::RecordedAnswer};

/// Limits on the records of finished attempts.
#[derive(Clone, Copy, Debug)]
pub struct RecordSettings {
    /// How long a record is kept. Must be longer than
    /// [`protocol::PROOF_WINDOW`].
    pub retention: time::Duration,
    /// Maximum number of records. The oldest are evicted first.
    pub capacity: usize,
    /// Maximum bytes of recorded answers. The oldest are dropped first; their
    /// records stay.
    pub answer_bytes: usize,
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(300),
            capacity: 65_536,
            answer_bytes: 8 * 1024 * 1024,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum RecordState {
    /// It never started, and a late dispatch is refused.
    Tombstone,
    /// It ran or may have run. Holds its answer if recorded.
    Ran(Option<RecordedAnswer>),
}

#[derive(Debug)]
struct Record {
    state: RecordState,
    recorded_at: Instant,
}

/// Records of finished attempts, bounded in age, number and bytes.
#[derive(Debug)]
pub(super) struct AttemptRecords {
    settings: RecordSettings,
    records: Table<AttemptId, Record>,
    by_age: std::collections::VecDeque<(Instant, AttemptId)>,
    answer_bytes: usize,
    /// No record made after this was evicted before its retention ended. `None`
    /// until the first event.
    complete_since: Option<Instant>,
}

impl AttemptRecords {
    pub(super) fn new(settings: RecordSettings) -> Self {
        Self {
            settings,
            records: Table::new(),
            by_age: std::collections::VecDeque::new(),
            answer_bytes: 0,
            complete_since: None,
        }
    }

    /// Sets the start of the records at the first call.
    pub(super) fn start(&mut self, now: Instant) {
        self.complete_since.get_or_insert(now);
    }

    /// How an attempt ended; `None` if it has no record.
    pub(super) fn get(&self, id: AttemptId) -> Option<&RecordState> {
        self.records.get(&id).map(|record| &record.state)
    }

    /// Whether an attempt sent within [`protocol::PROOF_WINDOW`] that has no record
    /// certainly never arrived.
    pub(super) fn covers_proof_window(&self, now: Instant) -> bool {
        self.complete_since
            .is_some_and(|complete_since| complete_since + protocol::PROOF_WINDOW <= now)
    }

    /// Records how an attempt ended.
    pub(super) fn insert(&mut self, now: Instant, id: AttemptId, state: RecordState) {
        self.answer_bytes += answer_size(&state);
        let record = Record {
            state,
            recorded_at: now,
        };
        if let Some(old) = self.records.insert(id, record) {
            self.answer_bytes -= answer_size(&old.state);
        }
        self.by_age.push_back((now, id));
        self.evict(now);
    }

    /// Evicts records and drops answers beyond the limits.
    pub(super) fn evict(&mut self, now: Instant) {
        while let Some((recorded_at, id)) = self.by_age.front().copied() {
            let is_expired = recorded_at + self.settings.retention <= now;
            if !is_expired && self.records.len() <= self.settings.capacity {
                break;
            }
            self.by_age.pop_front();
            self.evict_record(recorded_at, id, is_expired);
        }
        let by_age = std::mem::take(&mut self.by_age);
        for (_, id) in &by_age {
            if self.answer_bytes <= self.settings.answer_bytes {
                break;
            }
            self.drop_answer(*id);
        }
        self.by_age = by_age;
    }

    fn evict_record(&mut self, recorded_at: Instant, id: AttemptId, is_expired: bool) {
        // A replaced record has a later entry in `by_age`.
        if self
            .records
            .get(&id)
            .is_none_or(|record| record.recorded_at != recorded_at)
        {
            return;
        }
        if let Some(record) = self.records.remove(&id) {
            self.answer_bytes -= answer_size(&record.state);
        }
        if !is_expired {
            self.complete_since = self.complete_since.max(Some(recorded_at));
        }
    }

    fn drop_answer(&mut self, id: AttemptId) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        self.answer_bytes -= answer_size(&record.state);
        if let RecordState::Ran(answer) = &mut record.state {
            *answer = None;
        }
    }
}

fn answer_size(state: &RecordState) -> usize {
    match state {
        RecordState::Ran(Some(answer)) => answer.bytes(),
        RecordState::Ran(None) | RecordState::Tombstone => 0,
    }
}
