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
    /// Somebody else has changed the text.
    #[error("version {accepted} was accepted meanwhile; this text is of version {from}\n{diff}")]
    Raced {
        from: u64,
        accepted: u64,
        /// What the texts have differently, line by line.
        diff: String,
        changes: Vec<lentil_config::Change>,
        /// Whether an answer was lost, so that this text may have been in force
        /// in between.
        lost: bool,
    },
    /// The platform did not do what was asked.
    #[error("the platform: {0}")]
    Platform(#[from] lentil_platform::StoreError),
    /// The accepted text is not UTF-8.
    #[error("the accepted text: {0}")]
    Utf8(#[from] std::str::Utf8Error),
    /// The fleet key cannot be used.
    #[error("the fleet key: {0}")]
    Key(#[from] lentil_wire::KeyTooShort),
    /// A name is not well formed.
    #[error(transparent)]
    Name(#[from] lentil_types::NameError),
    /// Standard output is closed.
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

impl CtlError {
    /// Exit code, as the program's documentation says.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Faulty { .. } => 1,
            Self::Raced { .. } => 4,
            Self::Platform(_) => 3,
            Self::Utf8(_) | Self::Key(_) | Self::Name(_) => 2,
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
            Self::Raced { lost: true, .. } => {
                "an answer was lost: this text may have been in force in between. Your file is \
                 unchanged; run show, edit that text, and apply it with its version"
                    .to_owned()
            }
            Self::Raced { accepted, .. } => format!(
                "your file is unchanged; run show, make your change in that text, and apply it \
                 with --from {accepted}"
            ),
            Self::Platform(error) if error.is_outcome_unknown() => {
                "the update may be in force; run show before anything else".to_owned()
            }
            Self::Platform(_) => "nothing was changed; see whether the platform answers".to_owned(),
            Self::Utf8(_) => "apply a text that is UTF-8".to_owned(),
            Self::Key(_) => "name the file that holds the fleet's secret".to_owned(),
            Self::Name(_) => "write the name with A-Z a-z 0-9 . _ - : /".to_owned(),
            Self::Output(_) => "see where the output goes".to_owned(),
        }
    }
}
