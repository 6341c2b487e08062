//! One attempt at a sidecar.

use lentil_types::{BootId, Fingerprint, Instant, Pieces};

use crate::{protocol, sidecar};

/// Most bytes of an answer that are recorded.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The beginning of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Head {
    pub(super) cached: Pieces,
    pub(super) status: u16,
    pub(super) headers: Vec<protocol::Header>,
}

/// An answer of a call that may not be repeated, recorded so that its caller
/// can get it again.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Answered {
    pub(super) head: Option<Head>,
    pub(super) boot: BootId,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) usage: protocol::Usage,
}

impl Answered {
    pub(super) fn new(boot: BootId) -> Self {
        Self {
            head: None,
            boot,
            pieces: Vec::new(),
            usage: protocol::Usage::default(),
        }
    }

    /// Size of the pieces.
    pub(super) fn bytes(&self) -> usize {
        self.pieces.iter().map(Vec::len).sum()
    }

    /// Whether another piece of this size may be recorded.
    pub(super) fn has_room(&self, bytes: usize) -> bool {
        self.bytes() + bytes <= MAX_ANSWER_BYTES
    }
}

/// Where an attempt is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Stage {
    /// In the queue.
    Queued(Box<protocol::Dispatch>),
    /// At the backend server, in this life of it.
    Running(BootId),
    /// The backend server broke off; whether it died is known by `until`.
    Broken { until: Instant },
}

/// One attempt at a sidecar.
#[derive(Debug)]
pub(super) struct Run {
    /// Who gets its answer.
    pub(super) links: Vec<sidecar::LinkId>,
    pub(super) stage: Stage,
    /// When its caller stops waiting.
    pub(super) deadline: Instant,
    pub(super) next_offset: u64,
    pub(super) once: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) isolated: bool,
    /// The answer so far, of a call that may not be repeated; `None` as well
    /// when it is too long to record.
    pub(super) answer: Option<Answered>,
}

impl Run {
    pub(super) fn is_queued(&self) -> bool {
        matches!(self.stage, Stage::Queued(_))
    }

    /// Whether it is or was at this life of the backend server when it broke
    /// off or died.
    pub(super) fn may_have_crashed(&self) -> bool {
        !self.is_queued()
    }
}
