//! Datagrams between routers and agents: types, and bytes.

use std::net;

use lentil_policy::forward::{
    backlog,
    runners::{self, SegmentUpdate},
};
use lentil_types::{Fingerprint, ModelName, RunnerName, Tokens, WeightsVersion};

use crate::{documents, generated};

/// What a status says of the runner's parts.
const PARTS_SAME: u32 = 0;
const PARTS_ALL: u32 = 1;
const PARTS_CHANGES: u32 = 2;
/// Largest datagram, in bytes; fits one packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;

const CONFIG: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_DATAGRAM_BYTES>,
> = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();

/// A router asks an agent for its runner's status for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// Where the router serves documents.
    pub documents_address: net::SocketAddr,
    /// The runner that the router expects beside the agent.
    pub incarnation: runners::Incarnation,
    /// Weights that the router has seen named, and since how many milliseconds.
    pub targets: Vec<(documents::WeightsTarget, u32)>,
    /// Runners of the service that change to new weights before this one.
    pub rank: u32,
    /// Runners of the service that change.
    pub count: u32,
}

/// An agent tells how its runner is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// How it is.
    pub status: runners::Status,
    /// Where the other routers serve documents.
    pub routers: Vec<net::SocketAddr>,
}

/// A request ran when a runner died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The runner.
    pub incarnation: runners::Incarnation,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Datagram {
    /// From a router to an agent.
    Subscribe(Subscribe),
    /// From an agent to a router.
    #[strum(serialize = "told")]
    StatusReport(StatusReport),
    /// From a router to another.
    Crash(Crash),
    /// From a router to an agent: a long prompt is on its way to the runner.
    #[strum(serialize = "sent")]
    LongPrompt(backlog::LongPrompt),
    /// From a router to an agent: asks for the status of this runner once, now.
    #[strum(serialize = "ask")]
    StatusRequest(runners::Incarnation),
}

/// Bytes that are no datagram of this system.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DatagramError {
    /// They do not decode.
    #[error("the datagram does not decode: {0}")]
    Decode(#[from] Box<bincode::error::DecodeError>),
    /// A field holds what it may not hold.
    #[error("the datagram's {0} is not valid")]
    Field(&'static str),
    /// It cannot be written.
    #[error("the datagram cannot be written: {0}")]
    Encode(#[from] Box<bincode::error::EncodeError>),
}

impl Datagram {
    /// Writes it.
    ///
    /// # Errors
    /// [`DatagramError::Encode`] when it is too large.
    pub fn encode(self) -> Result<Vec<u8>, DatagramError> {
        let body = match self {
            Self::Subscribe(subscribe) => generated::Body::Subscribe(subscribe.into()),
            Self::StatusReport(told) => generated::Body::Status(told.into()),
            Self::Crash(crash) => generated::Body::Crash(crash.into()),
            Self::StatusRequest(incarnation) => generated::Body::Ask(generated::Ask {
                runner: incarnation.name.to_string(),
                born: incarnation.boot_id,
            }),
            Self::LongPrompt(sent) => generated::Body::Sent(generated::Sent {
                request: sent.request.0,
                missing: sent.uncached.0,
                total: sent.total.0,
                reads: sent.prefills.is_some(),
                part: sent.prefills.map_or(0, |key| key.0),
            }),
        };
        bincode::encode_to_vec(body, CONFIG).map_err(|error| Box::new(error).into())
    }

    /// Reads one.
    ///
    /// # Errors
    /// [`DatagramError`] when the bytes are no datagram of this system.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (body, _) =
            bincode::decode_from_slice::<generated::Body, _>(bytes, CONFIG).map_err(Box::new)?;
        Ok(match body {
            generated::Body::Subscribe(subscribe) => Self::Subscribe(subscribe.try_into()?),
            generated::Body::Status(status) => Self::StatusReport(status.try_into()?),
            generated::Body::Crash(crash) => Self::Crash(crash.try_into()?),
            generated::Body::Ask(ask) => Self::StatusRequest(incarnation(&ask.runner, ask.born)?),
            generated::Body::Sent(sent) => Self::LongPrompt(backlog::LongPrompt {
                request: backlog::RequestHash(sent.request),
                uncached: Tokens(sent.missing),
                total: Tokens(sent.total),
                prefills: sent.reads.then_some(runners::SegmentKey(sent.part)),
            }),
        })
    }
}

impl From<Subscribe> for generated::Subscribe {
    fn from(from: Subscribe) -> Self {
        let named = from
            .targets
            .into_iter()
            .map(|(target, age_ms)| generated::Named {
                model: target.model.to_string(),
                version: target.version.0,
                age_ms,
            });
        Self {
            documents: from.documents_address.to_string(),
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
            named: named.collect(),
            rank: from.rank,
            count: from.count,
        }
    }
}

impl TryFrom<generated::Subscribe> for Subscribe {
    type Error = DatagramError;

    fn try_from(from: generated::Subscribe) -> Result<Self, DatagramError> {
        let targets = from.named.into_iter().map(|named| {
            let model = model_name(&named.model)?;
            let version = WeightsVersion(named.version);
            Ok((documents::WeightsTarget { model, version }, named.age_ms))
        });
        Ok(Self {
            documents_address: address(&from.documents)?,
            incarnation: incarnation(&from.runner, from.born)?,
            targets: targets.collect::<Result<_, DatagramError>>()?,
            rank: from.rank,
            count: from.count,
        })
    }
}

impl From<StatusReport> for generated::Status {
    fn from(from: StatusReport) -> Self {
        let (parts_kind, parts_number, parts, dropped) = match from.status.segments {
            SegmentUpdate::Unchanged => (PARTS_SAME, 0, Vec::new(), Vec::new()),
            SegmentUpdate::Full { number, keys } => (PARTS_ALL, number, keys, Vec::new()),
            SegmentUpdate::Delta {
                number,
                added,
                dropped,
            } => (PARTS_CHANGES, number, added, dropped),
        };
        let weights = from
            .status
            .weights
            .iter()
            .map(|(model, version)| generated::Weights {
                model: model.to_string(),
                version: version.0,
            });
        Self {
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
            weights: weights.collect(),
            changing: from.status.is_changing,
            running: from.status.running,
            waiting: from.status.waiting,
            routers: from.routers.iter().map(ToString::to_string).collect(),
            backlog: from.status.backlog.0,
            reading: numbers(&from.status.prefilling),
            memory: from.status.committed.0,
            capacity: from.status.capacity.0,
            parts_kind,
            parts_number,
            parts: numbers(&parts),
            dropped: numbers(&dropped),
        }
    }
}

impl TryFrom<generated::Status> for StatusReport {
    type Error = DatagramError;

    fn try_from(from: generated::Status) -> Result<Self, DatagramError> {
        let weights = from
            .weights
            .iter()
            .map(|weights| Ok((model_name(&weights.model)?, WeightsVersion(weights.version))));
        let status = runners::Status {
            weights: weights.collect::<Result<_, DatagramError>>()?,
            is_changing: from.changing,
            running: from.running,
            waiting: from.waiting,
            backlog: Tokens(from.backlog),
            prefilling: keys(from.reading),
            committed: Tokens(from.memory),
            capacity: Tokens(from.capacity),
            segments: match from.parts_kind {
                PARTS_SAME => SegmentUpdate::Unchanged,
                PARTS_ALL => SegmentUpdate::Full {
                    number: from.parts_number,
                    keys: keys(from.parts),
                },
                PARTS_CHANGES => SegmentUpdate::Delta {
                    number: from.parts_number,
                    added: keys(from.parts),
                    dropped: keys(from.dropped),
                },
                _ => return Err(DatagramError::Field("kind of parts")),
            },
        };
        let routers = from.routers.iter().map(|text| address(text));
        Ok(Self {
            incarnation: incarnation(&from.runner, from.born)?,
            status,
            routers: routers.collect::<Result<_, DatagramError>>()?,
        })
    }
}

impl From<Crash> for generated::Crash {
    fn from(from: Crash) -> Self {
        Self {
            fingerprint: from.fingerprint.0,
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
        }
    }
}

impl TryFrom<generated::Crash> for Crash {
    type Error = DatagramError;

    fn try_from(from: generated::Crash) -> Result<Self, DatagramError> {
        Ok(Self {
            fingerprint: Fingerprint(from.fingerprint),
            incarnation: incarnation(&from.runner, from.born)?,
        })
    }
}

fn keys(numbers: Vec<u64>) -> Vec<runners::SegmentKey> {
    numbers.into_iter().map(runners::SegmentKey).collect()
}

fn numbers(keys: &[runners::SegmentKey]) -> Vec<u64> {
    keys.iter().map(|key| key.0).collect()
}

fn incarnation(name: &str, boot_id: u64) -> Result<runners::Incarnation, DatagramError> {
    let name = RunnerName::new(name).map_err(|_| DatagramError::Field("runner"))?;
    Ok(runners::Incarnation { name, boot_id })
}

fn model_name(name: &str) -> Result<ModelName, DatagramError> {
    ModelName::new(name).map_err(|_| DatagramError::Field("model"))
}

fn address(text: &str) -> Result<net::SocketAddr, DatagramError> {
    text.parse().map_err(|_| DatagramError::Field("address"))
}
