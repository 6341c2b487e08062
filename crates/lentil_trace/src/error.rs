//! Errors of reading and writing.

use std::io;

/// A trace could not be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ReadError {
    /// Line of the trace, from 1.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub kind: LineError,
}

/// What is wrong with a line.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LineError {
    /// The trace has no header line.
    #[error("the header line is missing")]
    NoHeader,
    /// The header names another format.
    #[error("{0:?} is not a trace of this program")]
    Format(String),
    /// The header has a version that this program does not read.
    #[error("version {0} of the format is not known")]
    Version(u32),
    /// The line is not the JSON object that belongs here.
    #[error("not a valid object: {0}")]
    Json(#[source] serde_json::Error),
    /// A piece is not written in 16 hexadecimal digits.
    #[error("{0:?} is not a piece hash of 16 hexadecimal digits")]
    Piece(String),
    /// A chain begins like that of a request that does not come before it, or
    /// is shorter.
    #[error("request {request} with {pieces} pieces does not come before this one")]
    Base {
        /// The request named.
        request: usize,
        /// Pieces taken over from it.
        pieces: usize,
    },
    /// The request came before the one on the line above.
    #[error("the request came before the one on the line above")]
    Order,
    /// The underlying reader failed.
    #[error("cannot be read: {0}")]
    Io(#[source] io::Error),
}

/// A trace could not be written.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum WriteError {
    /// A line could not be made.
    #[error("cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The underlying writer failed.
    #[error("cannot be written: {0}")]
    Io(#[from] io::Error),
}
