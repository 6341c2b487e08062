//! The validated messages.

use std::time;

use lentil_policy::{config_sync, protocol, rollout};
use lentil_types::{AttemptId, BootId, ConfigVersion, FailReason, Fingerprint, RunnerState};

/// Members of `Message.body` in the schema, handshake included.
pub(crate) const MESSAGE_KINDS: u32 = 24;

/// A configuration document and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version given by the object API.
    pub version: ConfigVersion,
    /// Empty when the requester has this version already.
    pub text: String,
}

/// A fingerprint that crashed engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonNotice {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Engine crashes seen with it.
    pub crashes: u32,
}

/// Long-polls a peer for newer documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sync {
    /// Versions in force at the requester.
    pub known: Vec<config_sync::KnownVersion>,
    /// Longest time that the peer may hold the request.
    pub wait: time::Duration,
}

/// Answer to a [`Sync`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Synced {
    /// Boot of the peer's process.
    pub boot: BootId,
    /// State of the peer.
    pub state: RunnerState,
    /// Versions in force at the peer.
    pub known: Vec<config_sync::KnownVersion>,
    /// Documents newer than the requester's.
    pub reply: config_sync::Reply,
}

/// A message after the handshake.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// Requests a bid for a request.
    Offer(protocol::Offer),
    /// Answers a [`Message::Offer`].
    Bid(protocol::Bid),
    /// Runs a request at the runner.
    Dispatch(Box<protocol::Dispatch>),
    /// The answer has begun.
    Started(protocol::Started),
    /// Part of the streamed answer.
    Piece(protocol::Piece),
    /// The answer is complete.
    End(protocol::End),
    /// The attempt failed before the answer was complete.
    Failed(protocol::Failed),
    /// Stops an attempt.
    Cancel(AttemptId),
    /// Requests proof that an attempt never started.
    Withdraw(AttemptId),
    /// Answers a [`Message::Withdraw`].
    Withdrawn(protocol::Withdrawn),
    /// Requests a peer's load, and its configuration document when that is newer
    /// than `config`.
    Ask {
        /// Configuration version of the requester.
        config: ConfigVersion,
        /// Whether the document is wanted too.
        want_text: bool,
    },
    /// Load and state of a backend server.
    Load(protocol::Load),
    /// A configuration document.
    Text(ConfigDocument),
    /// A fingerprint that crashed engines.
    Poison(PoisonNotice),
    /// The previous message was refused.
    Refused(FailReason),
    /// Subscribes to every later [`Message::Poison`]. The stream stays open.
    Watch,
    /// Long-polls for newer documents.
    Sync(Sync),
    /// Answers a [`Message::Sync`].
    Synced(Synced),
    /// Orders the runner to load weights.
    Order(rollout::Order),
    /// Answers a [`Message::Order`].
    Ordered(Result<(), rollout::OrderFault>),
}

impl Message {
    /// Kind of the message in snake case, for logs and errors.
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// Minor version that introduced this kind.
    pub fn since(&self) -> u32 {
        match self {
            Self::Watch => 1,
            Self::Sync(_) | Self::Synced(_) => 2,
            Self::Order(_) | Self::Ordered(_) => 3,
            _ => 0,
        }
    }
}
