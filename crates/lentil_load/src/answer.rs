//! What a caller saw of one request.

use std::time;

use lentil_types::{Class, Outcome, TeamName, Tokens};

/// Why an answer broke off.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Break {
    /// The connection could not be made or was lost.
    #[error("connection: {0}")]
    Connection(String),
    /// The answer is no server-sent events of JSON.
    #[error("not valid: {0}")]
    Invalid(String),
    /// The stream ended without its end.
    #[error("the stream ended without [DONE]")]
    NoEnd,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Whole,
    /// An error came, with its outcome and HTTP status.
    Error {
        /// What became of the request.
        outcome: Outcome,
        /// HTTP status, 200 when the error came within a stream.
        status: u16,
    },
    /// The connection broke off, or an answer ended without an end.
    Broken(Break),
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Whose request it was.
    pub team: TeamName,
    /// How urgent it was.
    pub class: Class,
    /// How it ended.
    pub ending: Ending,
    /// Time to the first piece.
    pub first: Option<time::Duration>,
    /// Longest time between two pieces.
    pub gap: Option<time::Duration>,
    /// Time to the end.
    pub took: time::Duration,
    /// Tokens of the prompt, as the engine counted them.
    pub prompt: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
}
