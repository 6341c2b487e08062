//! The messages.

use std::time;

use lentil_policy::{config_sync, protocol, rollout};
use lentil_types::{AttemptId, BootId, ConfigVersion, FailReason, Fingerprint, RunnerState};

/// Members of `Message.body` in the schema.
pub(crate) const MEMBERS: u32 = 24;

/// A configuration text and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Version that the object API gave it.
    pub version: ConfigVersion,
    /// The text; empty when the asker has this version already.
    pub text: String,
}

/// A fingerprint that crashed engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonNotice {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes seen with it.
    pub crashes: u32,
}

/// Asks a peer for every document that is newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sync {
    /// What the asker has.
    pub known: Vec<config_sync::KnownVersion>,
    /// Longest that the peer may wait for something newer.
    pub wait: time::Duration,
}

/// Answer to a [`Sync`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Synced {
    /// Which life of the peer answers.
    pub boot: BootId,
    /// How the peer is.
    pub state: RunnerState,
    /// What the peer has.
    pub known: Vec<config_sync::KnownVersion>,
    /// What is newer than the asker's.
    pub reply: config_sync::Reply,
}

/// A message after the handshake.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Message {
    /// Asks for a bid.
    Offer(protocol::Offer),
    /// Answers an offer.
    Bid(protocol::Bid),
    /// Runs a request.
    Dispatch(Box<protocol::Dispatch>),
    /// The answer has begun.
    Started(protocol::Started),
    /// A piece of the answer.
    Piece(protocol::Piece),
    /// The answer is whole.
    End(protocol::End),
    /// There is no whole answer.
    Failed(protocol::Failed),
    /// Stops an attempt.
    Cancel(AttemptId),
    /// Asks for proof that an attempt never started.
    Withdraw(AttemptId),
    /// Answers a withdrawal.
    Withdrawn(protocol::Withdrawn),
    /// Asks a peer how it is, and for its text when that is newer than
    /// `config`.
    Ask {
        /// Version that the asker has.
        config: ConfigVersion,
        /// Whether the text is wanted.
        want_text: bool,
    },
    /// How a backend server is.
    Load(protocol::Load),
    /// A configuration text.
    Text(ConfigDocument),
    /// A fingerprint that crashed engines.
    Poison(PoisonNotice),
    /// The message before was refused.
    Refused(FailReason),
    /// Asks for every [`Message::Poison`] from now on. The stream stays open.
    Watch,
    /// Asks for every document that is newer.
    Sync(Sync),
    /// Answers a [`Message::Sync`].
    Synced(Synced),
    /// Loads weights at the runner.
    Order(rollout::Order),
    /// Answers a [`Message::Order`].
    Ordered(Result<(), rollout::OrderFault>),
}

impl Message {
    /// Name of the kind of message.
    pub fn name(&self) -> &'static str {
        self.into()
    }

    /// The minor version that brought this kind of message.
    pub fn since(&self) -> u32 {
        match self {
            Self::Watch => 1,
            Self::Sync(_) | Self::Synced(_) => 2,
            Self::Order(_) | Self::Ordered(_) => 3,
            _ => 0,
        }
    }
}
