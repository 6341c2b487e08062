//! The claims of one shard, as stored.

use std::time;

use compact_str::CompactString;
use lentil_types::{AttemptId, RunnerName, Table};

use crate::protocol;

/// Largest serialised object, in bytes. The store's limit is a megabyte.
pub const MAX_OBJECT_BYTES: usize = 900_000;
/// Largest body of a recorded answer, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// A stored claim object is malformed.
#[derive(Debug, thiserror::Error)]
#[error("malformed claim object: {0}")]
pub struct ObjectError(#[from] serde_json::Error);

/// The answer to a call, as recorded in its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: Vec<protocol::Header>,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It was sent, or is about to be.
    Sent,
    /// It ran; the answer, if still kept.
    Done(Option<Answer>),
    /// It may have run; the outcome is unknown.
    Unknown,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It ran; the answer, if short enough to keep.
    Done(Option<Answer>),
    /// It may have run.
    Unknown,
    /// It never ran and never will: the key may be claimed again.
    NotRun,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Digest of the call.
    pub digest: u128,
    /// The attempt that may run. Its random request ID identifies the owner.
    pub id: AttemptId,
    /// Where the attempt runs.
    pub runner: RunnerName,
    /// Time of the claim since the Unix epoch.
    pub claimed_at: time::Duration,
    /// State of the call.
    pub state: State,
}

/// The claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Object {
    /// Claims by `team/key`.
    pub records: Table<CompactString, Record>,
}

impl Object {
    /// Parses a stored object. An empty value is an empty object.
    ///
    /// # Errors
    /// [`ObjectError`] if the value is not a claim object.
    pub fn parse(value: &[u8]) -> Result<Self, ObjectError> {
        if value.is_empty() {
            return Ok(Self::default());
        }
        let rows: Vec<Row> = serde_json::from_slice(value)?;
        let records = rows.into_iter().map(Row::into_record).collect();
        Ok(Self { records })
    }

    /// Serialises the object for the store.
    pub fn to_bytes(&self) -> Vec<u8> {
        let rows: Vec<Row> = self.records.iter().map(Row::from_record).collect();
        serde_json::to_vec(&rows).expect("rows have only string keys")
    }

    /// Drops the recorded answers but keeps the claims.
    pub fn drop_answers(&mut self) {
        for (_, record) in self.records.iter_mut() {
            if let State::Done(answer) = &mut record.state {
                *answer = None;
            }
        }
    }

    /// Records how an attempt ended. Ignored if another attempt holds the claim or
    /// the call is recorded as run.
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
// Serialised form

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
            // A malformed digest matches no call.
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
    /// The serialised form; `None` for an answer that is too long or not UTF-8.
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
