//! Errors in reading a message.

use std::io;

/// Why a head is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BadHead {
    /// It does not parse as HTTP/1.1.
    Syntax,
    /// A line does not end with CR LF.
    LineEnd,
    /// The body's length is given twice, or parsers may read it differently, which
    /// allows request smuggling.
    Framing,
    /// A header that must occur exactly once is missing or repeated.
    Repeated,
}

/// A message could not be read to its end.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The connection was closed between two messages.
    #[error("the connection was closed between messages")]
    Closed,
    /// The connection was closed inside a message.
    #[error("the connection was closed inside a message")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    /// The head is not acceptable.
    #[error("invalid head: {0}")]
    Head(#[from] BadHead),
    /// The head is larger than allowed.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// A chunk of the body is malformed.
    #[error("a chunk of the body is malformed")]
    Chunk,
}
