//! Errors of the subcommands.

use std::{io, path};

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReplayError {
    /// The configuration of a region is not valid.
    #[error("the configuration of the region is not valid: {0}")]
    Config(lentil_config::Faults),
    /// A name is not valid.
    #[error(transparent)]
    Name(lentil_types::NameError),
    /// Figures could not be serialized.
    #[error("the figures cannot be written as JSON: {0}")]
    Json(#[source] serde_json::Error),
    /// A file or folder could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: path::PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A trace could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// The cause.
        source: lentil_trace::ReadError,
    },
    /// A trace could not be written.
    #[error("{}: {source}", path.display())]
    Write {
        /// Path of the file.
        path: path::PathBuf,
        /// The cause.
        source: lentil_trace::WriteError,
    },
}
