//! Attempts that are queued or in flight.

use lentil_types::{BootId, Fingerprint, Instant, Pieces};

use crate::{protocol, sidecar};

/// Longest answer that is recorded.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What precedes the pieces of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct AnswerHead {
    pub(super) cached: Pieces,
    pub(super) status: u16,
    pub(super) headers: Vec<protocol::Header>,
}

/// Answer of a non-idempotent call, recorded so that its caller can fetch it again.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RecordedAnswer {
    pub(super) head: Option<AnswerHead>,
    pub(super) boot: BootId,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) usage: protocol::Usage,
}

impl RecordedAnswer {
    pub(super) fn new(boot: BootId) -> Self {
        Self {
            head: None,
            boot,
            pieces: Vec::new(),
            usage: protocol::Usage::default(),
        }
    }

    /// Total size of the pieces.
    pub(super) fn bytes(&self) -> usize {
        self.pieces.iter().map(Vec::len).sum()
    }

    /// Whether a piece of this size fits within [`MAX_ANSWER_BYTES`].
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.bytes() + bytes <= MAX_ANSWER_BYTES
    }
}

/// How far an attempt has got.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waiting in the queue.
    Queued(Box<protocol::Dispatch>),
    /// Sent to the backend server, in this boot of the engine.
    Running(BootId),
    /// The backend server disconnected; a crash is reported by `until`, if any.
    Disconnected { until: Instant },
}

/// An attempt that is queued or in flight.
#[derive(Debug)]
pub(super) struct ActiveAttempt {
    /// Exchanges that get its answer.
    pub(super) links: Vec<sidecar::LinkId>,
    pub(super) stage: Stage,
    /// When its caller stops waiting.
    pub(super) deadline: Instant,
    pub(super) next_offset: u64,
    pub(super) once: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) isolated: bool,
    /// The answer so far of a non-idempotent call; `None` once it exceeds
    /// [`MAX_ANSWER_BYTES`].
    pub(super) answer: Option<RecordedAnswer>,
}

impl ActiveAttempt {
    pub(super) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued(_))
    }

    /// Whether it reached the backend server and may have caused a crash.
    pub(super) fn was_sent(&self) -> bool {
        !self.is_queued()
    }
}
