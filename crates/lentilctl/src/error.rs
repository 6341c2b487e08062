//! Errors of commands, with exit codes and hints.

use std::{io, net, path};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CtlError {
    #[error("cannot read or write {}: {source}", path.display())]
    File {
        path: path::PathBuf,
        source: io::Error,
    },
    #[error("{} is faulty:\n{faults}", path.display())]
    InvalidConfig {
        path: path::PathBuf,
        faults: lentil_config::Faults,
    },
    /// A process could not be reached, or its answer could not be read.
    #[error("no answer from {address}: {reason}")]
    Unreachable {
        address: net::SocketAddr,
        reason: String,
    },
    #[error("{address} answered {status}: {body}")]
    HttpStatus {
        address: net::SocketAddr,
        status: u16,
        body: String,
    },
    /// The accepted version is not the one to be replaced.
    #[error(
        "version {accepted} was accepted meanwhile; your file is based on version {from}\n{diff}"
    )]
    VersionConflict {
        from: u64,
        accepted: u64,
        /// Unified diff from the accepted configuration to the given one.
        diff: String,
        /// The same difference by configuration key; empty if either is invalid.
        changes: Vec<lentil_config::Change>,
        /// Whether an answer was lost: the given configuration may have been in
        /// force meanwhile.
        lost: bool,
    },
    #[error("the platform: {0}")]
    Platform(#[from] lentil_platform::StoreError),
    #[error("the accepted configuration is not UTF-8: {0}")]
    Utf8(#[from] std::str::Utf8Error),
    /// The fleet key is too short.
    #[error("the fleet key: {0}")]
    Key(#[from] lentil_wire::KeyTooShort),
    #[error(transparent)]
    Name(#[from] lentil_types::NameError),
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit codes are documented in `main.rs`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::InvalidConfig { .. } => 1,
            Self::VersionConflict { .. } => 4,
            Self::Platform(_) => 3,
            Self::Utf8(_) | Self::Key(_) | Self::Name(_) => 2,
            Self::File { .. } | Self::HttpStatus { .. } | Self::Output(_) => 2,
            Self::Unreachable { .. } => 3,
        }
    }

    /// What the operator can do next.
    pub(crate) fn hint(&self) -> String {
        match self {
            Self::File { .. } => "check the path and its permissions".to_owned(),
            Self::InvalidConfig { .. } => {
                "fix each line; docs/text-reference.md lists every key".to_owned()
            }
            Self::Unreachable { address, .. } => format!(
                "see whether a process listens at {address}: its settings name the address, and \
                 GET /healthz answers while it runs"
            ),
            Self::HttpStatus { status: 401, .. } => {
                "give the process's admin_key with --key or LENTIL_ADMIN_KEY".to_owned()
            }
            Self::HttpStatus { status: 404, .. } => {
                "the process does not know this path; check that the address is its admin address"
                    .to_owned()
            }
            Self::HttpStatus { .. } => {
                "read the answer above; the process's log says more".to_owned()
            }
            Self::VersionConflict { lost: true, .. } => {
                "an answer was lost: your configuration may have been in force in between. \
                 Your file is unchanged; run show, edit that text, and apply it with its version"
                    .to_owned()
            }
            Self::VersionConflict { accepted, .. } => format!(
                "your file is unchanged; run show, make your change in that text, and apply it \
                 with --from {accepted}"
            ),
            Self::Platform(error) if error.is_outcome_unknown() => {
                "the update may be in force; run show before anything else".to_owned()
            }
            Self::Platform(_) => "nothing was changed; see whether the platform answers".to_owned(),
            Self::Utf8(_) => "apply a configuration in UTF-8".to_owned(),
            Self::Key(_) => "give the file with the fleet key as --fleet-key-file".to_owned(),
            Self::Name(_) => "write the name with A-Z a-z 0-9 . _ - : /".to_owned(),
            Self::Output(_) => "check where standard output goes".to_owned(),
        }
    }
}
