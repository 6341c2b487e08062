//! Result of one request, as its caller received it.

use std::time;

use lentil_types::{Class, Outcome, TeamName, Tokens};

/// Why an answer broke off.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AnswerError {
    /// The connection could not be made or was lost.
    #[error("connection: {0}")]
    Connection(String),
    /// The answer is not a stream of server-sent events with JSON.
    #[error("not valid: {0}")]
    Invalid(String),
    /// The stream ended without its final event.
    #[error("the stream ended without [DONE]")]
    NoEnd,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer was received.
    Whole,
    /// An error was received.
    Error {
        /// Outcome in the error, or unknown.
        outcome: Outcome,
        /// HTTP status; 200 for an error within a stream.
        status: u16,
    },
    /// The answer broke off or was invalid.
    Broken(AnswerError),
}

/// Result and timing of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The team that sent the request.
    pub team: TeamName,
    /// Priority class of the request.
    pub class: Class,
    /// How the request ended.
    pub ending: Ending,
    /// Time to the first piece, if any.
    pub first_piece: Option<time::Duration>,
    /// Longest time between two pieces, if any.
    pub longest_gap: Option<time::Duration>,
    /// Time to the end of the answer.
    pub duration: time::Duration,
    /// Tokens of the prompt, as the engine reported them.
    pub prompt: Tokens,
    /// Tokens of the prompt that the engine had cached.
    pub cached: Tokens,
    /// Tokens of the answer.
    pub output: Tokens,
}
