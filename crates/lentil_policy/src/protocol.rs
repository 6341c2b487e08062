//! Messages between entries and sidecars, validated.
//!
//! `lentil_wire` converts them to and from its generated messages.

use std::{sync, time};

use lentil_types::{
    AttemptId, BootId, Class, ConfigVersion, FailReason, Fingerprint, IdempotencyKey, ModelName,
    Outcome, PieceHash, Pieces, RunnerState, ServiceName, TeamName, Tokens, WeightsVersion,
};

/// The properties of a request that routing and queueing need.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The service called.
    pub service: ServiceName,
    /// The model; `None` at a plain service.
    pub model: Option<ModelName>,
    /// The team that sent it.
    pub team: TeamName,
    /// Priority class.
    pub class: Class,
    /// The weights it was routed for; 0 at a plain service.
    pub weights: WeightsVersion,
    /// Hashes of the prompt's complete cache pieces, first to last.
    pub pieces: sync::Arc<[PieceHash]>,
    /// Estimated size of the prompt.
    pub prompt: Tokens,
    /// Most tokens that the answer may have.
    pub output: Tokens,
}

/// How long after an attempt was sent its sidecar can prove that it never
/// started. A sidecar keeps records of attempts for longer, and proves nothing
/// until it has been up for this long.
pub const PROOF_WINDOW: time::Duration = time::Duration::from_secs(150);

/// Asks a sidecar what a request would cost at its backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The attempt that the offer is for.
    pub id: AttemptId,
    /// Properties of the request.
    pub work: Work,
    /// Time left to the request's deadline.
    pub budget: time::Duration,
}

/// State of a backend server, sent with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Current boot of the engine.
    pub boot: BootId,
    /// Weights that are loaded.
    pub weights: WeightsVersion,
    /// Lifecycle state of the runner.
    pub state: RunnerState,
    /// Requests queued at the sidecar.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens that are queued or being prefilled.
    pub backlog: Tokens,
    /// Configuration in force at the sidecar.
    pub config: ConfigVersion,
}

/// Answer to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bid {
    /// The attempt of the offer.
    pub id: AttemptId,
    /// Leading pieces of the prompt that are cached.
    pub cached: Pieces,
    /// Expected time from dispatch to the first token.
    pub wait: time::Duration,
    /// State of the backend server.
    pub load: Load,
}

/// An HTTP header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// The HTTP request that the backend server gets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// Method, in upper case.
    pub method: String,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers for the backend server.
    pub headers: Vec<Header>,
    /// Body bytes.
    pub body: sync::Arc<[u8]>,
}

/// Point from which to resume an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// Index of the first piece to send.
    pub offset: u64,
    /// Text of the answer before that piece.
    pub text: String,
}

/// Runs a request, or asks for its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt, its request and time budget.
    pub offer: Offer,
    /// The engine boot that the bid named; another one refuses. `None` accepts any.
    pub boot: Option<BootId>,
    /// The HTTP request for the backend server.
    pub call: HttpCall,
    /// Where to resume an answer that an earlier attempt began.
    pub resume: Option<Resume>,
    /// Whether it may run at most once.
    pub once: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Identifies the request when it crashes engines.
    pub fingerprint: Fingerprint,
    /// Whether it must run with no other request beside it.
    pub isolated: bool,
    /// Whether only the answer is wanted, of an attempt that was sent before. It is
    /// never run.
    pub recover: bool,
}

/// The backend server has begun to answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    /// The attempt.
    pub id: AttemptId,
    /// Leading pieces that were cached.
    pub cached: Pieces,
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<Header>,
    /// State of the backend server.
    pub load: Load,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    /// The attempt.
    pub id: AttemptId,
    /// The engine boot that produced the piece.
    pub boot: BootId,
    /// Index of the piece in the whole answer, from 0.
    pub offset: u64,
    /// Text that the piece adds to the answer; empty at a plain service.
    pub text: String,
    /// The piece as the backend server sent it.
    pub data: Vec<u8>,
}

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
}

/// The answer is whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// The attempt.
    pub id: AttemptId,
    /// The engine boot that produced the last piece.
    pub boot: BootId,
    /// Number of pieces in the whole answer.
    pub offset: u64,
    /// Tokens used.
    pub usage: Usage,
    /// State of the backend server.
    pub load: Load,
}

/// The attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failed {
    /// The attempt.
    pub id: AttemptId,
    /// [`Outcome::NotRun`] with proof, otherwise [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Why.
    pub reason: FailReason,
    /// Delay before a retry makes sense.
    pub retry: Option<time::Duration>,
    /// State of the backend server.
    pub load: Load,
}

/// Answer to a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawn {
    /// The attempt.
    pub id: AttemptId,
    /// Whether the attempt had started. If not, it never will.
    pub started: bool,
}
