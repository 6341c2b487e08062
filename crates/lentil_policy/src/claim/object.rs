//! The claims of one shard, as the store holds them.

use std::time;

use compact_str::CompactString;
use lentil_types::{AttemptId, RunnerName, Table};

use crate::protocol;

/// Largest value that is written. The store's limit is a megabyte.
pub const MAX_OBJECT_BYTES: usize = 900_000;
/// Largest body of an answer that is recorded.
const MAX_BODY_BYTES: usize = 4_096;

/// A stored claim object could not be read.
#[derive(Debug, thiserror::Error)]
#[error("a claim object is not well formed: {0}")]
pub struct ObjectError(#[from] serde_json::Error);

/// An answer that a claim records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<protocol::Header>,
    /// Body.
    pub body: Vec<u8>,
}

/// Where a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It was sent, or is about to be.
    Sent,
    /// It ran; the answer, where it is still kept.
    Done(Option<Answer>),
    /// It may have run, and nobody can tell.
    Unknown,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It ran and gave this answer, where it is short enough to keep.
    Done(Option<Answer>),
    /// It may have run.
    Unknown,
    /// It never ran and never will: the key is free again.
    NotRun,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Digest of the call.
    pub digest: u128,
    /// The attempt that may run. Its request is the owner's nonce.
    pub id: AttemptId,
    /// Where that attempt runs.
    pub runner: RunnerName,
    /// When it was claimed, since the Unix epoch.
    pub claimed_at: time::Duration,
    /// Where it is.
    pub state: State,
}

/// The claims of one shard, by team and key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// The claims.
    pub records: Table<CompactString, Record>,
}

impl Object {
    /// Reads a stored object. An empty value is an empty object.
    ///
    /// # Errors
    /// [`ObjectError`] when the value is no claim object.
    pub fn parse(value: &[u8]) -> Result<Self, ObjectError> {
        if value.is_empty() {
            return Ok(Self::default());
        }
        let rows: Vec<Row> = serde_json::from_slice(value)?;
        let records = rows.into_iter().map(Row::into_record).collect();
        Ok(Self { records })
    }

    /// The value to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let rows: Vec<Row> = self.records.iter().map(Row::from_record).collect();
        serde_json::to_vec(&rows).expect("rows have only string keys")
    }

    /// Drops the answers, not the claims, of calls that ran.
    pub fn drop_answers(&mut self) {
        for (_, record) in self.records.iter_mut() {
            if let State::Done(answer) = &mut record.state {
                *answer = None;
            }
        }
    }

    /// Records how an attempt ended. A claim of another attempt is left alone.
    pub fn settle(&mut self, key: &str, id: AttemptId, settled: Settled) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        if record.id != id || matches!(record.state, State::Done(_)) {
            return;
        }
        match settled {
            Settled::Done(answer) => record.state = State::Done(answer),
            Settled::Unknown => record.state = State::Unknown,
            Settled::NotRun => drop(self.records.remove(key)),
        }
    }
}

// ---------------------------------------------------------------------------
// The serialised form

#[derive(serde::Serialize, serde::Deserialize)]
struct Row {
    key: CompactString,
    digest: String,
    id: AttemptId,
    runner: RunnerName,
    since: u64,
    state: RowState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<RowAnswer>,
}

#[derive(Clone, Copy, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum RowState {
    Sent,
    Done,
    Unknown,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct RowAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
}

impl Row {
    fn from_record((key, record): (&CompactString, &Record)) -> Self {
        let (state, answer) = match &record.state {
            State::Sent => (RowState::Sent, None),
            State::Unknown => (RowState::Unknown, None),
            State::Done(answer) => (
                RowState::Done,
                answer.as_ref().and_then(RowAnswer::from_answer),
            ),
        };
        Self {
            key: key.clone(),
            digest: format!("{:032x}", record.digest),
            id: record.id,
            runner: record.runner.clone(),
            since: record.claimed_at.as_secs(),
            state,
            answer,
        }
    }

    fn into_record(self) -> (CompactString, Record) {
        let state = match self.state {
            RowState::Sent => State::Sent,
            RowState::Unknown => State::Unknown,
            RowState::Done => State::Done(self.answer.map(RowAnswer::into_answer)),
        };
        let record = Record {
            // A digest that cannot be read equals no call's.
            digest: u128::from_str_radix(&self.digest, 16).unwrap_or(0),
            id: self.id,
            runner: self.runner,
            claimed_at: time::Duration::from_secs(self.since),
            state,
        };
        (self.key, record)
    }
}

impl RowAnswer {
    /// The serialised form, or `None` for an answer that is too long or no
    /// text.
    fn from_answer(answer: &Answer) -> Option<Self> {
        if answer.body.len() > MAX_BODY_BYTES {
            return None;
        }
        let body = String::from_utf8(answer.body.clone()).ok()?;
        let pair = |header: &protocol::Header| (header.name.clone(), header.value.clone());
        let headers = answer.headers.iter().map(pair).collect();
        let status = answer.status;
        Some(Self {
            status,
            headers,
            body,
        })
    }

    fn into_answer(self) -> Answer {
        let header = |(name, value): (String, String)| protocol::Header { name, value };
        Answer {
            status: self.status,
            headers: self.headers.into_iter().map(header).collect(),
            body: self.body.into_bytes(),
        }
    }
}
