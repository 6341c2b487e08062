//! Why a subcommand gave up.

use std::{io, path};

/// Why a subcommand gave up.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReplayError {
    /// A market's text is not valid.
    #[error("the market's text is not valid: {0}")]
    Market(lentil_config::Faults),
    /// A name is not valid.
    #[error(transparent)]
    Name(lentil_types::NameError),
    /// A figure could not be written as JSON.
    #[error("cannot be written as JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// A file could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A trace could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: lentil_trace::ReadError,
    },
    /// A trace could not be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: lentil_trace::WriteError,
    },
}
