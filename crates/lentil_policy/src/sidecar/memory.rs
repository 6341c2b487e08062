//! What a sidecar remembers of attempts that are over.

use std::time;

use lentil_types::{AttemptId, Instant, Table};

use crate::{protocol, sidecar::Answered};

/// Settings of what a sidecar remembers of attempts.
#[derive(Clone, Copy, Debug)]
pub struct RecordSettings {
    /// How long an attempt is remembered. Longer than
    /// [`protocol::PROOF_WINDOW`].
    pub retention: time::Duration,
    /// Most attempts remembered. The oldest go first.
    pub capacity: usize,
    /// Most bytes of recorded answers. The oldest go first.
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

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Mark {
    /// It never started and never will.
    Tombstone,
    /// It ran. Its answer, where it is recorded.
    Ran(Option<Answered>),
}

#[derive(Debug)]
struct Row {
    mark: Mark,
    at: Instant,
}

/// Attempts that are over, for a stated time and in stated memory.
#[derive(Debug)]
pub(super) struct Memory {
    settings: RecordSettings,
    rows: Table<AttemptId, Row>,
    by_age: std::collections::VecDeque<(Instant, AttemptId)>,
    answer_bytes: usize,
    /// No attempt that came after this has been forgotten. `None` until the
    /// first event.
    covers: Option<Instant>,
}

impl Memory {
    pub(super) fn new(settings: RecordSettings) -> Self {
        Self {
            settings,
            rows: Table::new(),
            by_age: std::collections::VecDeque::new(),
            answer_bytes: 0,
            covers: None,
        }
    }

    /// The process is up at `now`: what came before is not known.
    pub(super) fn begin(&mut self, now: Instant) {
        self.covers.get_or_insert(now);
    }

    /// What became of an attempt, if it is remembered.
    pub(super) fn get(&self, id: AttemptId) -> Option<&Mark> {
        self.rows.get(&id).map(|row| &row.mark)
    }

    /// Whether an attempt that is not remembered, sent within
    /// [`protocol::PROOF_WINDOW`], certainly never came.
    pub(super) fn covers_window(&self, now: Instant) -> bool {
        self.covers
            .is_some_and(|covers| covers + protocol::PROOF_WINDOW <= now)
    }

    /// Remembers an attempt.
    pub(super) fn insert(&mut self, now: Instant, id: AttemptId, mark: Mark) {
        self.answer_bytes += bytes_of(&mark);
        let row = Row { mark, at: now };
        if let Some(old) = self.rows.insert(id, row) {
            self.answer_bytes -= bytes_of(&old.mark);
        }
        self.by_age.push_back((now, id));
        self.bound(now);
    }

    /// Forgets what is too old or too much.
    pub(super) fn bound(&mut self, now: Instant) {
        while let Some((at, id)) = self.by_age.front().copied() {
            let old = at + self.settings.retention <= now;
            if !old && self.rows.len() <= self.settings.capacity {
                break;
            }
            self.by_age.pop_front();
            self.forget(at, id, old);
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

    fn forget(&mut self, at: Instant, id: AttemptId, old: bool) {
        // A row that was written again has a later entry of its own.
        if self.rows.get(&id).is_none_or(|row| row.at != at) {
            return;
        }
        if let Some(row) = self.rows.remove(&id) {
            self.answer_bytes -= bytes_of(&row.mark);
        }
        if !old {
            self.covers = self.covers.max(Some(at));
        }
    }

    fn drop_answer(&mut self, id: AttemptId) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        self.answer_bytes -= bytes_of(&row.mark);
        if let Mark::Ran(answer) = &mut row.mark {
            *answer = None;
        }
    }
}

fn bytes_of(mark: &Mark) -> usize {
    match mark {
        Mark::Ran(Some(answer)) => answer.bytes(),
        Mark::Ran(None) | Mark::Tombstone => 0,
    }
}
