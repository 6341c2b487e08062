//! What an exchange with the backend server came to, when not an answer.

use lentil_policy::sidecar::EngineFault;

/// What an exchange with the backend server came to, when not an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BackendError {
    /// No connection was made.
    #[error("not reached: {0}")]
    Unreachable(trillium_client::Error),
    /// The request cannot be written as HTTP; nothing was sent.
    #[error("{what} {value:?} is not allowed in HTTP")]
    Malformed { what: &'static str, value: String },
    /// Nothing was sent, because a header is malformed.
    #[error("not sent: {0}")]
    NotSent(trillium_client::Error),
    /// The backend server refused the request unread.
    #[error("refused with HTTP {0}")]
    Refused(u16),
    /// The connection broke off.
    #[error("broke off: {0}")]
    BrokeOff(trillium_client::Error),
    /// The answer broke off.
    #[error("the answer broke off: {0}")]
    AnswerBrokeOff(std::io::Error),
    /// A stream ended in good order before its last event.
    #[error("the stream ended before [DONE]")]
    NotDone,
    /// The engine answered with a status that means failure.
    #[error("HTTP {0}")]
    Status(u16),
    /// A stream is not one of server-sent events.
    #[error("not server-sent events: {0}")]
    Events(String),
    /// An event is larger than its limit.
    #[error("an event or answer of more than {0} bytes")]
    TooLarge(usize),
    /// An event is no chunk of an answer.
    #[error("not a chunk of an answer: {0}")]
    Chunk(serde_json::Error),
    /// Pieces are missing from a stream.
    #[error("piece {got} came where piece {expected} was due")]
    Gap { expected: u64, got: u64 },
    /// A piece belongs to another request.
    #[error("a piece of request {0:?} came")]
    Crossed(String),
    /// The HTTP library failed on the answer.
    #[error("the answer could not be read")]
    Unreadable,
}

impl BackendError {
    pub(crate) fn fault(&self) -> EngineFault {
        match self {
            Self::Unreachable(_) => EngineFault::Unreachable,
            Self::Malformed { .. } | Self::NotSent(_) | Self::Refused(_) => EngineFault::Refused,
            Self::BrokeOff(_) | Self::AnswerBrokeOff(_) | Self::NotDone => {
                EngineFault::Disconnected
            }
            Self::Status(_)
            | Self::Events(_)
            | Self::TooLarge(_)
            | Self::Chunk(_)
            | Self::Gap { .. }
            | Self::Crossed(_)
            | Self::Unreadable => EngineFault::Protocol,
        }
    }
}

impl From<trillium_client::Error> for BackendError {
    fn from(error: trillium_client::Error) -> Self {
        use trillium_client::Error;
        match &error {
            Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                Self::Unreachable(error)
            }
            Error::MalformedHeader(_) | Error::UnexpectedUriFormat => Self::NotSent(error),
            _ => Self::BrokeOff(error),
        }
    }
}
