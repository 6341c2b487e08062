//! Events that a sidecar's shell reports and commands that it carries out.

use lentil_types::{
    AttemptId, BootId, ConfigVersion, Fingerprint, PieceHash, Pieces, Table, TeamName, Tokens,
    WeightsVersion,
};

use crate::protocol;

/// Names one exchange with an entry. The shell gives it and answers on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// What an engine says that its cache did. Numbers count up by one within a
/// boot; a missing number is a lost event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Which life of the engine speaks.
    pub boot: BootId,
    /// Number of the event.
    pub number: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These pieces are cached now.
    Stored(Vec<PieceHash>),
    /// These pieces are no longer cached.
    Evicted(Vec<PieceHash>),
    /// The cache holds exactly these pieces. Answers a request to list it.
    Listed(Vec<PieceHash>),
}

/// Why a backend server gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineFault {
    /// No connection was made: it never got the request.
    Unreachable,
    /// It refused the request unread, such as with HTTP 503.
    Refused,
    /// The connection broke off after the request was sent.
    #[strum(serialize = "broke-off")]
    Disconnected,
    /// It answered against its protocol.
    Protocol,
}

/// What happened.
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
    /// An exchange with an entry broke off.
    LinkLost(LinkId),
    /// The engine is up, in a new life or with new weights.
    EngineUp {
        /// Which life it is.
        boot: BootId,
        /// Weights that it has loaded.
        weights: WeightsVersion,
    },
    /// The engine is down.
    EngineDown,
    /// The engine said how loaded it is. Late.
    EngineLoad {
        /// Requests that it runs.
        running: u32,
        /// Prompt tokens that wait in it.
        backlog: Tokens,
    },
    /// The engine's cache changed. Late, and with gaps.
    Cache(CacheEvent),
    /// The backend server has begun to answer.
    Started {
        /// The attempt.
        id: AttemptId,
        /// Leading pieces that were cached.
        cached: Pieces,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<protocol::Header>,
    },
    /// A piece of an answer came from the backend server.
    Piece {
        /// The attempt.
        id: AttemptId,
        /// Place of the piece in the whole answer, from 0.
        offset: u64,
        /// What it adds to the answer's text.
        text: String,
        /// The piece.
        data: Vec<u8>,
    },
    /// The backend server's answer is whole.
    Ended {
        /// The attempt.
        id: AttemptId,
        /// What it took.
        usage: protocol::Usage,
    },
    /// The backend server gave no whole answer.
    EngineFailed {
        /// The attempt.
        id: AttemptId,
        /// Why.
        fault: EngineFault,
    },
    /// This configuration is in force.
    Config(ConfigVersion),
    /// A fingerprint ran when engines died, here or elsewhere.
    Crashed {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Crashes seen with it.
        crashes: u32,
    },
    /// The teams have these shares of the backend server.
    Shares(Table<TeamName, u32>),
    /// The backend server leaves: what runs goes on, nothing new begins.
    Leave,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Answer an offer.
    Bid(LinkId, protocol::Bid),
    /// Send a request to the backend server.
    Run(Box<protocol::Dispatch>),
    /// Stop an attempt at the backend server.
    Stop(AttemptId),
    /// Tell the entry that the answer has begun.
    Started(LinkId, protocol::Started),
    /// Give the entry a piece.
    Piece(LinkId, protocol::Piece),
    /// Tell the entry that the answer is whole. Ends the exchange.
    End(LinkId, protocol::End),
    /// Tell the entry that there is no whole answer. Ends the exchange.
    Fail(LinkId, protocol::Failed),
    /// Answer a withdrawal.
    Withdrawn(LinkId, protocol::Withdrawn),
    /// Ask the engine for the whole list of its cached pieces.
    ListCache,
    /// Tell every entry that this fingerprint ran when an engine died.
    Crashed {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Crashes seen with it.
        crashes: u32,
    },
}
