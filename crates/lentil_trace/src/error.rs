//! Errors of reading and writing traces.

use std::io;

/// A trace could not be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ReadError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Its fault.
    #[source]
    pub kind: LineError,
}

/// A fault in a line of a trace.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LineError {
    /// The trace has no header line.
    #[error("the header line is missing")]
    NoHeader,
    /// The header names another format.
    #[error("the format {0:?} is not a trace of this program")]
    Format(String),
    /// The header has an unsupported version.
    #[error("version {0} of the trace format is not supported")]
    Version(u32),
    /// The line is not a valid JSON object of a header or request.
    #[error("not a valid object: {0}")]
    Json(#[source] serde_json::Error),
    /// A piece is not written as 16 hexadecimal digits.
    #[error("{0:?} is not a piece hash of 16 hexadecimal digits")]
    Piece(String),
    /// `base` refers to a request that is not earlier or has fewer pieces.
    #[error("base refers to {pieces} pieces of request {request}, which no earlier request has")]
    Base {
        /// Number of that request, from 0.
        request: usize,
        /// Number of pieces taken over from it.
        pieces: usize,
    },
    /// The time is before that of the previous line.
    #[error("the request has an earlier time than the one on the line before")]
    Order,
    /// The underlying reader failed.
    #[error("cannot be read: {0}")]
    Io(#[source] io::Error),
}

/// A trace could not be written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WriteError {
    /// A line could not be serialized.
    #[error("cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The underlying writer failed.
    #[error("cannot be written: {0}")]
    Io(#[from] io::Error),
}
