//! State of a simulated backend server and the contents of its answers.

use std::fmt;

use lentil_policy::protocol;
use lentil_types::{Attempt, AttemptId, BootId, Fingerprint, Table, WeightsVersion};

/// Fewest pieces of an answer.
const MIN_PIECES: u64 = 3;
/// Number of different answer lengths, from [`MIN_PIECES`] up.
const MORE_PIECES: u64 = 9;

/// Pieces of the answer to a request, the same for every attempt.
pub(super) fn answer_len(fingerprint: Fingerprint) -> u64 {
    MIN_PIECES + fingerprint.0 % MORE_PIECES
}

/// A piece of an answer, tagged so that mixed-up answers are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerPiece {
    pub(super) fingerprint: Fingerprint,
    pub(super) offset: u64,
    pub(super) attempt: Attempt,
}

impl AnswerPiece {
    /// Parses a text of pieces; `None` when it contains anything else.
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

#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    pub(super) fingerprint: Fingerprint,
    pub(super) next_offset: u64,
    /// Distinguishes this run of the attempt from an earlier one.
    pub(super) serial: u64,
}

#[derive(Debug)]
pub(super) struct Backend {
    pub(super) is_engine: bool,
    pub(super) is_up: bool,
    pub(super) boot: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) jobs: Table<AttemptId, Job>,
    pub(super) next_serial: u64,
}

impl Backend {
    pub(super) fn new(is_engine: bool, boot: BootId) -> Self {
        Self {
            is_engine,
            is_up: true,
            boot,
            weights: WeightsVersion(u32::from(is_engine)),
            jobs: Table::new(),
            next_serial: 0,
        }
    }

    /// Starts a request and returns the serial of its run.
    pub(super) fn start(&mut self, dispatch: &protocol::Dispatch) -> u64 {
        self.next_serial += 1;
        let job = Job {
            fingerprint: dispatch.fingerprint,
            next_offset: dispatch.resume.as_ref().map_or(0, |resume| resume.offset),
            serial: self.next_serial,
        };
        self.jobs.insert(dispatch.offer.id, job);
        self.next_serial
    }

    /// The job of an attempt, if that run is still active.
    pub(super) fn job(&mut self, id: AttemptId, serial: u64) -> Option<&mut Job> {
        self.jobs.get_mut(&id).filter(|job| job.serial == serial)
    }
}
