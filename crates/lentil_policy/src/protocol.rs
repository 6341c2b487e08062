//! What entries and sidecars say to each other, checked.
//!
//! `lentil_wire` turns these into its generated messages and back.

use std::{sync, time};

use lentil_types::{
    AttemptId, BootId, Class, ConfigVersion, FailReason, Fingerprint, IdempotencyKey, ModelName,
    Outcome, PieceHash, Pieces, RunnerState, ServiceName, TeamName, Tokens, WeightsVersion,
};

/// What a request asks of a runner, as far as routing and queueing need it.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The service asked.
    pub service: ServiceName,
    /// The model asked, at an engine service.
    pub model: Option<ModelName>,
    /// Whose request it is.
    pub team: TeamName,
    /// How urgent it is.
    pub class: Class,
    /// The weights it was routed for; 0 at a plain service.
    pub weights: WeightsVersion,
    /// Hashes of the prompt's whole pieces, first to last.
    pub pieces: sync::Arc<[PieceHash]>,
    /// Size of the prompt, estimated.
    pub prompt: Tokens,
    /// The most that the answer may have.
    pub output: Tokens,
}

/// How long after an attempt was sent its sidecar can prove that it never
/// started. A sidecar remembers attempts for longer, and proves nothing before
/// it has been up for this long.
pub const PROOF_WINDOW: time::Duration = time::Duration::from_secs(150);

/// Asks a sidecar what a request would cost at its backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The attempt that the offer is for.
    pub id: AttemptId,
    /// The work.
    pub work: Work,
    /// Time left to the request's deadline.
    pub budget: time::Duration,
}

/// State of a backend server, sent with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Which life of the engine this is.
    pub boot: BootId,
    /// Weights that it has loaded.
    pub weights: WeightsVersion,
    /// Where the runner is in its life.
    pub state: RunnerState,
    /// Requests that wait at the sidecar.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens that wait or are being computed.
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
    /// Value.
    pub value: String,
}

/// The HTTP request that the backend server gets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// Method, in capitals.
    pub method: String,
    /// Path and query, from `/`.
    pub path: String,
    /// Headers for the backend server.
    pub headers: Vec<Header>,
    /// Body.
    pub body: sync::Arc<[u8]>,
}

/// Where an answer goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resume {
    /// Offset of the next piece wanted.
    pub offset: u64,
    /// What the answer said up to there.
    pub text: String,
}

/// Runs a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt and its work.
    pub offer: Offer,
    /// The engine's life that the bid named. Another one refuses.
    pub boot: Option<BootId>,
    /// What the backend server is sent.
    pub call: HttpCall,
    /// Where the answer goes on, when an earlier attempt gave its beginning.
    pub resume: Option<Resume>,
    /// Whether it may run at most once.
    pub once: bool,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// What the request is known by when it crashes engines.
    pub fingerprint: Fingerprint,
    /// Whether it must run with no other request beside it.
    pub isolated: bool,
    /// Whether only the answer of this attempt is wanted, which was sent
    /// before. It is never run.
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
    /// The engine's life that made the piece.
    pub boot: BootId,
    /// Place of the piece in the whole answer, from 0.
    pub offset: u64,
    /// What the piece adds to the answer's text; empty at a plain service.
    pub text: String,
    /// The piece as the backend server wrote it.
    pub data: Vec<u8>,
}

/// What an answer took.
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
    /// The engine's life that made the last piece.
    pub boot: BootId,
    /// Number of pieces in the whole answer.
    pub offset: u64,
    /// What it took.
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
    /// When another try is worth while.
    pub retry: Option<time::Duration>,
    /// State of the backend server.
    pub load: Load,
}

/// Answer to a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawn {
    /// The attempt.
    pub id: AttemptId,
    /// Whether it had started. When not, it never will.
    pub started: bool,
}
