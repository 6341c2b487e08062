//! Errors of connections and messages.

use std::io;

use lentil_types::{NameError, NodeName};

/// Why a generated message is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ConvertError {
    /// A required field is missing.
    #[error("the message has no {0}")]
    MissingField(&'static str),
    /// A name is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A number is no enum value of this version.
    #[error("{value} is not a known {kind}")]
    UnknownValue {
        /// What the number encodes.
        kind: &'static str,
        /// The number received.
        value: u64,
    },
    /// A request id has the wrong size, in bytes.
    #[error("a request id needs 16 bytes, this one has {0}")]
    IdSize(usize),
    /// A nonce of the handshake has the wrong size, in bytes.
    #[error("a nonce needs 32 bytes, this one has {0}")]
    NonceSize(usize),
}

/// An error of a connection to another process.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WireError {
    /// The connection failed or could not be opened.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer violated HTTP/2 or reset the stream.
    #[error("HTTP/2 error: {0}")]
    H2(#[from] h2::Error),
    /// A frame is larger than its limit.
    #[error("a frame of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// A connection's incomplete frames exceed their total limit.
    #[error("incomplete frames of one connection exceed {max} bytes", max = crate::MAX_BUFFERED_BYTES)]
    BufferLimit,
    /// The stream ended inside a frame.
    #[error("the stream ended inside a frame")]
    Truncated,
    /// Number of a message kind from a newer minor version.
    #[error("message kind {0} is unknown in version {major}.{minor}", major = crate::MAJOR, minor = crate::MINOR)]
    UnknownMessage(u32),
    /// The peer's minor version lacks this kind of message.
    #[error("message {name} needs minor version {since}, the peer has {theirs}")]
    UnsupportedByPeer {
        /// Kind of the message.
        name: &'static str,
        /// Minor version that introduced it.
        since: u32,
        /// The peer's minor version.
        theirs: u32,
    },
    /// A frame does not decode to a message of this version.
    #[error("cannot decode a message of version {major}.{minor}: {0}", major = crate::MAJOR, minor = crate::MINOR)]
    Decode(Box<bincode::error::DecodeError>),
    /// A message could not be encoded.
    #[error("cannot encode a message: {0}")]
    Encode(Box<bincode::error::EncodeError>),
    /// Number of bytes after a frame's message.
    #[error("{0} trailing bytes after the message in its frame")]
    TrailingBytes(usize),
    /// A message decodes but is invalid.
    #[error("invalid message: {0}")]
    Invalid(#[from] ConvertError),
    /// The peer has another major version.
    #[error("{node} has major version {theirs}, this process has {ours}", ours = crate::MAJOR)]
    Version {
        /// Name that the peer gave.
        node: NodeName,
        /// The peer's major version.
        theirs: u32,
    },
    /// The peer does not have the fleet key.
    #[error("{0} does not have the fleet key")]
    Unauthenticated(NodeName),
    /// Another message was expected.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// Expected message.
        expected: &'static str,
        /// Received message.
        got: &'static str,
    },
    /// The peer closed the stream where a message was expected.
    #[error("the stream ended, expected {0}")]
    StreamEnded(&'static str),
    /// The handshake took too long.
    #[error("the handshake took longer than {0:?}")]
    HandshakeTimeout(std::time::Duration),
    /// The peer did not answer a ping in time.
    #[error("no answer to a ping within {0:?}")]
    PingTimeout(std::time::Duration),
    /// The operating system's random number generator failed.
    #[error("cannot get random numbers from the operating system: {0}")]
    Random(String),
}
