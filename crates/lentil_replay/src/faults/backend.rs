//! The backend server of a run.

use std::fmt;

use lentil_policy::protocol;
use lentil_types::{Attempt, AttemptId, BootId, Fingerprint, Table, WeightsVersion};

/// Fewest pieces of an answer.
const MIN_PIECES: u64 = 3;
/// Spread of the number of pieces.
const MORE_PIECES: u64 = 9;

/// Number of pieces of the answer to a request.
pub(super) fn answer_len(fingerprint: Fingerprint) -> u64 {
    MIN_PIECES + fingerprint.0 % MORE_PIECES
}

/// A piece of the answer to a request, which tells where it is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerPiece {
    pub(super) fingerprint: Fingerprint,
    pub(super) offset: u64,
    pub(super) attempt: Attempt,
}

impl AnswerPiece {
    /// The pieces in a text; `None` when it has anything else.
    pub(super) fn parse_all(text: &str) -> Option<Vec<Self>> {
        let inner = text.strip_prefix('<')?.strip_suffix('>')?;
        inner.split("><").map(Self::parse).collect()
    }

    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let piece = Self {
            fingerprint: parts.next()?.parse().ok()?,
            offset: parts.next()?.parse().ok()?,
            attempt: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(piece)
    }
}

impl fmt::Display for AnswerPiece {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "<{}:{}:{}>", self.fingerprint, self.offset, self.attempt)
    }
}

/// An attempt at a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) fingerprint: Fingerprint,
    pub(super) next: u64,
    /// Tells this run of the attempt from an earlier one.
    pub(super) serial: u64,
}

/// A backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) is_engine: bool,
    pub(super) up: bool,
    pub(super) boot: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) jobs: Table<AttemptId, Job>,
    pub(super) next_serial: u64,
}

impl Backend {
    pub(super) fn new(is_engine: bool, boot: BootId) -> Self {
        Self {
            is_engine,
            up: true,
            boot,
            weights: WeightsVersion(u32::from(is_engine)),
            jobs: Table::new(),
            next_serial: 0,
        }
    }

    /// Takes a request in and returns the serial of its run.
    pub(super) fn begin(&mut self, dispatch: &protocol::Dispatch) -> u64 {
        self.next_serial += 1;
        let job = Job {
            fingerprint: dispatch.fingerprint,
            next: dispatch.resume.as_ref().map_or(0, |resume| resume.offset),
            serial: self.next_serial,
        };
        self.jobs.insert(dispatch.offer.id, job);
        self.next_serial
    }

    /// The job of an attempt, if that run of it goes on.
    pub(super) fn job(&mut self, id: AttemptId, serial: u64) -> Option<&mut Job> {
        self.jobs.get_mut(&id).filter(|job| job.serial == serial)
    }
}
