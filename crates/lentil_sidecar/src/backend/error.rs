//! Errors of calls to the backend server.

use lentil_policy::sidecar::EngineFault;

/// Why a call gave no complete answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BackendError {
    /// The connection was refused.
    #[error("cannot connect: {0}")]
    Unreachable(trillium_client::Error),
    /// A part of the request is invalid in HTTP; nothing was sent.
    #[error("{what} {value:?} is not allowed in HTTP")]
    Malformed { what: &'static str, value: String },
    /// The HTTP client rejected a malformed header or URI; nothing was sent.
    #[error("not sent: {0}")]
    NotSent(trillium_client::Error),
    /// The backend server refused the request without running it.
    #[error("refused with HTTP {0}")]
    Refused(u16),
    /// The connection failed before the head of the answer.
    #[error("connection lost: {0}")]
    ConnectionLost(trillium_client::Error),
    /// The connection failed within the answer.
    #[error("connection lost during the answer: {0}")]
    AnswerCut(std::io::Error),
    /// The stream ended cleanly before its last event.
    #[error("the stream ended before [DONE]")]
    Incomplete,
    /// The engine answered with an error status.
    #[error("HTTP {0}")]
    Status(u16),
    #[error("invalid server-sent events: {0}")]
    Events(String),
    #[error("an event exceeds the limit of {0} bytes")]
    TooLarge(usize),
    #[error("cannot parse the answer: {0}")]
    Chunk(serde_json::Error),
    /// A piece of the stream is missing.
    #[error("expected piece {expected}, got piece {got}")]
    Gap { expected: u64, got: u64 },
    #[error("got a chunk of another request, {0:?}")]
    OtherRequest(String),
    /// The HTTP client panicked while reading the answer.
    #[error("the HTTP client failed on the answer")]
    ClientPanicked,
}

impl BackendError {
    /// The kind of fault that is reported to the policy.
    pub(crate) fn fault(&self) -> EngineFault {
        match self {
            Self::Unreachable(_) => EngineFault::Unreachable,
            Self::Malformed { .. } | Self::NotSent(_) | Self::Refused(_) => EngineFault::Refused,
            Self::ConnectionLost(_) | Self::AnswerCut(_) | Self::Incomplete => {
                EngineFault::Disconnected
            }
            Self::Status(_)
            | Self::Events(_)
            | Self::TooLarge(_)
            | Self::Chunk(_)
            | Self::Gap { .. }
            | Self::OtherRequest(_)
            | Self::ClientPanicked => EngineFault::Protocol,
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
            _ => Self::ConnectionLost(error),
        }
    }
}
