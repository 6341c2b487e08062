//! What can go wrong between two processes.

use std::io;

use lentil_types::{NameError, NodeName};

/// A generated message does not make a checked one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ConvertError {
    /// A part that must be there is not.
    #[error("the message has no {0}")]
    MissingField(&'static str),
    /// A name is not well formed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A number stands for nothing in this version.
    #[error("{value} is no {kind}")]
    UnknownValue {
        /// What the number should stand for.
        kind: &'static str,
        /// The number.
        value: u64,
    },
    /// An id has the wrong size.
    #[error("an id has 16 bytes, this one has {0}")]
    IdSize(usize),
    /// A nonce has the wrong size.
    #[error("a nonce of {0} bytes")]
    NonceSize(usize),
}

/// What can go wrong between two processes.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WireError {
    /// The connection broke off or could not be made.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The other side broke HTTP/2 or reset the stream.
    #[error("h2: {0}")]
    H2(#[from] h2::Error),
    /// A frame is larger than its limit.
    #[error("a frame of {size} bytes is over the limit of {limit}")]
    TooLarge {
        /// Size of the frame, in bytes.
        size: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The unfinished frames of one connection are too large together.
    #[error("unfinished frames of more than {max} bytes on one connection", max = crate::MAX_BUFFERED_BYTES)]
    BufferLimit,
    /// The stream ended within a frame.
    #[error("the stream ended within a frame")]
    Truncated,
    /// A kind of message that only a newer minor version has.
    #[error("message {0} is not of version {major}.{minor}", major = crate::MAJOR, minor = crate::MINOR)]
    UnknownMessage(u32),
    /// The other side's minor version does not have this kind of message.
    #[error("{name} needs minor version {since}, the other side has {theirs}")]
    UnsupportedByPeer {
        /// The message.
        name: &'static str,
        /// The minor version that brought it.
        since: u32,
        /// The other side's minor version.
        theirs: u32,
    },
    /// A frame is no message of this version.
    #[error("not a message of version {major}.{minor}: {0}", major = crate::MAJOR, minor = crate::MINOR)]
    Decode(Box<bincode::error::DecodeError>),
    /// A message could not be written.
    #[error("cannot encode: {0}")]
    Encode(Box<bincode::error::EncodeError>),
    /// A frame has bytes after its message.
    #[error("{0} bytes follow the message in its frame")]
    TrailingBytes(usize),
    /// A message decodes and is not valid.
    #[error("invalid message: {0}")]
    Invalid(#[from] ConvertError),
    /// The other side has another major version.
    #[error("{node} speaks version {theirs}, this process speaks {ours}", ours = crate::MAJOR)]
    Version {
        /// The other side.
        node: NodeName,
        /// Its major version.
        theirs: u32,
    },
    /// The other side does not have the fleet key.
    #[error("{0} does not have the fleet key")]
    Unauthenticated(NodeName),
    /// Another message was due.
    #[error("expected {expected}, got {got}")]
    Unexpected {
        /// The message that was due.
        expected: &'static str,
        /// The message that came.
        got: &'static str,
    },
    /// The other side closed the stream where a message was due.
    #[error("the stream ended where {0} was due")]
    StreamEnded(&'static str),
    /// The other side took too long to make itself known.
    #[error("no handshake within {0:?}")]
    HandshakeTimeout(std::time::Duration),
    /// The other side did not answer a ping.
    #[error("the other side has been silent for {0:?}")]
    PingTimeout(std::time::Duration),
    /// The system gave no random numbers.
    #[error("no random numbers from the system: {0}")]
    Random(String),
}
