//! Messages between entries and sidecars, in validated form.
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
    /// The service that is called.
    pub service: ServiceName,
    /// The model, at an engine service; `None` at a plain service.
    pub model: Option<ModelName>,
    /// The team that sent the request.
    pub team: TeamName,
    /// Priority class.
    pub class: Class,
    /// Version of the weights that it was routed for; 0 at a plain service.
    pub weights: WeightsVersion,
    /// Hashes of the prompt's complete KV cache pieces, first to last.
    pub pieces: sync::Arc<[PieceHash]>,
    /// Estimated size of the prompt.
    pub prompt: Tokens,
    /// Most tokens that the answer may have.
    pub output: Tokens,
}

/// How long after an attempt was sent its sidecar can prove that it never
/// started. A sidecar keeps records of attempts for longer than this, and proves
/// nothing until it has been up for this long.
pub const PROOF_WINDOW: time::Duration = time::Duration::from_secs(150);

/// Asks a sidecar for a [`Bid`]: the expected cost of a request at its backend
/// server.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The attempt that the offer is for.
    pub id: AttemptId,
    /// Properties of the request.
    pub work: Work,
    /// Time left until the request's deadline.
    pub budget: time::Duration,
}

/// State of a backend server, sent with bids and with the start, the end and the
/// failure of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Current boot of the engine.
    pub boot: BootId,
    /// Version of the weights that are loaded.
    pub weights: WeightsVersion,
    /// Lifecycle state of the runner.
    pub state: RunnerState,
    /// Number of requests queued at the sidecar.
    pub queued: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Prompt tokens that are queued or being prefilled.
    pub backlog: Tokens,
    /// Version of the configuration in force at the sidecar.
    pub config: ConfigVersion,
}

/// Answer to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bid {
    /// The attempt of the offer.
    pub id: AttemptId,
    /// Number of leading pieces of the prompt that are cached.
    pub cached: Pieces,
    /// Expected time from dispatch to the first token.
    pub wait: time::Duration,
    /// State of the backend server.
    pub load: Load,
}

/// A header of an HTTP request or response.
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
    /// Body; empty if there is none.
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

/// Tells a sidecar to run a request, or with `recover` to return its answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt, the properties of the request and its time budget.
    pub offer: Offer,
    /// The engine boot that the bid named. An engine in another boot refuses the
    /// request. `None` accepts any boot.
    pub boot: Option<BootId>,
    /// The HTTP request for the backend server.
    pub call: HttpCall,
    /// Where to resume the answer, if an earlier attempt gave its beginning.
    pub resume: Option<Resume>,
    /// Whether it may run at most once.
    pub once: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Identifies the request, across resends, when it crashes engines.
    pub fingerprint: Fingerprint,
    /// Whether it must run with no other request beside it.
    pub isolated: bool,
    /// Whether the attempt was sent before and only its answer is asked for. The
    /// sidecar never runs it then.
    pub recover: bool,
}

/// The backend server has begun to answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    /// The attempt.
    pub id: AttemptId,
    /// Number of leading pieces of the prompt that were cached.
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
    /// Bytes of the piece as the backend server sent them.
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
