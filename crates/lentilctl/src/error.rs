//! What can go wrong with a command.

use std::{io, net, path};

/// What can go wrong with a command.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CtlError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        path: path::PathBuf,
        source: io::Error,
    },
    /// A text has faults.
    #[error("{} is faulty:\n{faults}", path.display())]
    Faulty {
        path: path::PathBuf,
        faults: lentil_config::Faults,
    },
    /// A process did not answer.
    #[error("no answer from {address}: {reason}")]
    Unreached {
        address: net::SocketAddr,
        reason: String,
    },
    /// A process answered with an error.
    #[error("{address} answered {status}: {body}")]
    Refused {
        address: net::SocketAddr,
        status: u16,
        body: String,
    },
    /// Standard output is closed.
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit code, as the program's documentation says.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Faulty { .. } => 1,
            Self::File { .. } | Self::Refused { .. } | Self::Output(_) => 2,
            Self::Unreached { .. } => 3,
        }
    }

    /// What to do next.
    pub(crate) fn hint(&self) -> String {
        match self {
            Self::File { .. } => "name a file that you may read".to_owned(),
            Self::Faulty { .. } => {
                "mend each line; docs/text-reference.md lists every key".to_owned()
            }
            Self::Unreached { address, .. } => format!(
                "see whether a process listens at {address}: its settings name the address, and \
                 GET /healthz answers while it runs"
            ),
            Self::Refused { status: 401, .. } => {
                "give the process's admin_key with --key or LENTIL_ADMIN_KEY".to_owned()
            }
            Self::Refused { status: 404, .. } => {
                "the process does not know this path; see that the address is its admin address"
                    .to_owned()
            }
            Self::Refused { .. } => "read the answer above; the process's log says more".to_owned(),
            Self::Output(_) => "see where the output goes".to_owned(),
        }
    }
}
