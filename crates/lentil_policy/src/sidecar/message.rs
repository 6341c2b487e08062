//! Events that the shell of a sidecar reports and commands that it carries out.

use lentil_types::{
    AttemptId, BootId, ConfigVersion, Fingerprint, PieceHash, Pieces, Table, TeamName, Tokens,
    WeightsVersion,
};

use crate::protocol;

/// Identifies one exchange with an entry. Assigned by the shell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A cache event of an engine. Numbers count up by one within a boot; a gap is a
/// lost event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Boot of the engine that sent it.
    pub boot: BootId,
    /// Sequence number within the boot.
    pub number: u64,
    /// The change it reports.
    pub change: CacheChange,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These pieces are cached now.
    Stored(Vec<PieceHash>),
    /// These pieces are no longer cached.
    Evicted(Vec<PieceHash>),
    /// The cache holds exactly these pieces. Answers [`Command::ListCache`].
    Listed(Vec<PieceHash>),
}

/// Why a backend server gave no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineFault {
    /// No connection was made, so it never got the request.
    Unreachable,
    /// It refused the request unread, such as with HTTP 503.
    Refused,
    /// The connection closed after the request was sent.
    #[strum(serialize = "broke-off")]
    Disconnected,
    /// Its answer violated the protocol.
    Protocol,
}

/// An input to [`SidecarPolicy`](super::SidecarPolicy).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An entry asks for a bid.
    Offer(LinkId, protocol::Offer),
    /// An entry sends a request.
    Dispatch(LinkId, Box<protocol::Dispatch>),
    /// An entry stops an attempt.
    Cancel(AttemptId),
    /// An entry asks for proof that an attempt never started.
    Withdraw(LinkId, AttemptId),
    /// The connection to an entry closed.
    LinkLost(LinkId),
    /// The engine is up, in a new boot or with new weights.
    EngineUp {
        /// Its boot.
        boot: BootId,
        /// Weights that it has loaded; 0 at a plain service.
        weights: WeightsVersion,
    },
    /// The engine is down.
    EngineDown,
    /// The engine reported its load, with a delay.
    EngineLoad {
        /// Requests that it runs.
        running: u32,
        /// Prompt tokens in its queue.
        backlog: Tokens,
    },
    /// The engine's cache changed. Delayed, and may have gaps.
    Cache(CacheEvent),
    /// The backend server has begun to answer.
    Started {
        /// The attempt.
        id: AttemptId,
        /// Leading pieces that were cached.
        cached: Pieces,
        /// HTTP status of the answer.
        status: u16,
        /// Headers of the answer.
        headers: Vec<protocol::Header>,
    },
    /// The backend server sent a piece of an answer.
    Piece {
        /// The attempt.
        id: AttemptId,
        /// Index of the piece in the whole answer, from 0.
        offset: u64,
        /// Text that it adds to the answer.
        text: String,
        /// The piece as sent.
        data: Vec<u8>,
    },
    /// The backend server completed its answer.
    Ended {
        /// The attempt.
        id: AttemptId,
        /// Tokens that it took.
        usage: protocol::Usage,
    },
    /// The backend server gave no complete answer.
    EngineFailed {
        /// The attempt.
        id: AttemptId,
        /// What went wrong.
        fault: EngineFault,
    },
    /// This configuration version is in force.
    Config(ConfigVersion),
    /// Crashes of a fingerprint were counted, here or elsewhere.
    Crashed {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Crashes seen with it.
        crashes: u32,
    },
    /// The teams' shares of the backend server changed.
    Shares(Table<TeamName, u32>),
    /// Drain: accepted attempts finish, new ones are refused.
    Leave,
}

/// An action for the shell to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Answer an offer.
    Bid(LinkId, protocol::Bid),
    /// Send a request to the backend server.
    Run(Box<protocol::Dispatch>),
    /// Stop an attempt at the backend server.
    Stop(AttemptId),
    /// Send the entry the head of the answer.
    Started(LinkId, protocol::Started),
    /// Send the entry a piece.
    Piece(LinkId, protocol::Piece),
    /// Tell the entry that the answer is complete. Ends the exchange.
    End(LinkId, protocol::End),
    /// Tell the entry that the attempt failed. Ends the exchange.
    Fail(LinkId, protocol::Failed),
    /// Answer a withdrawal.
    Withdrawn(LinkId, protocol::Withdrawn),
    /// Ask the engine for the full list of its cached pieces.
    ListCache,
    /// Tell every entry that this fingerprint ran when the engine crashed.
    Crashed {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Crashes seen with it.
        crashes: u32,
    },
}
