//! Datagrams of routers and agents, and their encoding.

use std::{net, time};

use lentil_policy::{
    forward::{
        backlog, rollout_pacer,
        runners::{self, SegmentUpdate},
        stream_origins, team_limits,
    },
    store::ObjectVersion,
};
use lentil_types::{
    Fingerprint, ModelName, RequestRate, RunnerName, ServiceName, SoftwareVersion, Tokens, Units,
    WeightsVersion,
};

use crate::{documents, generated};

// Wire values of `parts_kind`; see [`SegmentUpdate`].
const SEGMENTS_UNCHANGED: u32 = 0;
const SEGMENTS_FULL: u32 = 1;
const SEGMENTS_DELTA: u32 = 2;
/// Fits one packet.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Most entries of a [`Datagram::LimitAsk`] or [`Datagram::LimitGrant`]: with the largest
/// numbers an entry takes 37 bytes.
pub const MAX_LIMIT_ENTRIES: usize = 32;

const BINCODE_CONFIG: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_DATAGRAM_BYTES>,
> = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();

/// A router subscribes to a runner's status; expires unless renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscribe {
    /// Address at which the router serves documents.
    pub documents_address: net::SocketAddr,
    /// The runner and boot that the router expects beside the agent.
    pub incarnation: runners::Incarnation,
    /// Target weights, and for how many milliseconds the router has known them.
    pub targets: Vec<(documents::WeightsTarget, u32)>,
    /// Runners of the service that update before this one.
    pub rank: u32,
    /// Runners of the service that update.
    pub count: u32,
}

/// An agent reports its runner's status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// Its status.
    pub status: runners::Status,
    /// Addresses at which routers serve documents; often empty.
    pub routers: Vec<net::SocketAddr>,
}

/// A request that was running when a runner died, and may have killed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The runner.
    pub incarnation: runners::Incarnation,
}

/// Segments of requests that were running when a runner died, each of which may have
/// killed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// Time since it died.
    pub age: time::Duration,
    /// Segments that other requests may share.
    pub segments: Vec<runners::SegmentId>,
}

/// A segment, and the time since something happened with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentAge {
    /// The segment.
    pub segment: runners::SegmentId,
    /// Time since then.
    pub age: time::Duration,
}

/// A router refuses requests with a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentRefusal {
    /// The segment, and the time since the first crash that it may have caused.
    pub suspicion: SegmentAge,
    /// How much longer it is refused.
    pub remaining: time::Duration,
    /// Runners that it may have crashed.
    pub crashes: u32,
}

/// A router grants a runner its turn to change to new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// The weights that it changes to.
    pub target: documents::WeightsTarget,
}

/// An agent reports that its runner has changed its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loaded {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// How long it took.
    pub times: rollout_pacer::ChangeTimes,
}

/// A router passes on what a runner says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct AnnouncementNotice {
    /// The runner.
    pub incarnation: runners::Incarnation,
    /// Requests a second that it takes from all routers; `None` for any number.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// A router has a document of the store that is new to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentNotice {
    /// Kind of the document.
    pub kind: documents::Kind,
    /// Its version.
    pub version: ObjectVersion,
}

/// Where a stream began of which a router has passed on events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: backlog::RequestHash,
    /// What made them.
    pub origin: stream_origins::Origin,
}

/// A runner ran the request that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRun {
    /// The stream.
    pub stream: backlog::RequestHash,
    /// The runner.
    pub incarnation: runners::Incarnation,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Datagram {
    /// From a router to an agent, periodically.
    Subscribe(Subscribe),
    /// From an agent to its subscribers, or to answer a status request.
    #[strum(serialize = "told")]
    StatusReport(StatusReport),
    /// From a router to every other.
    Crash(Crash),
    /// From a router to an agent: the runner is being sent a long prompt.
    #[strum(serialize = "sent")]
    LongPrompt(backlog::LongPrompt),
    /// From a router to an agent: asks for one status report now.
    #[strum(serialize = "ask")]
    StatusRequest(runners::Incarnation),
    /// From a router to an agent.
    Turn(Turn),
    /// From an agent to the routers that granted it turns.
    Loaded(Loaded),
    /// From an agent to its subscribers: the runner does not answer, until the next
    /// status report. From a router to every other: neither the runner nor its agent
    /// answers.
    Silent(runners::Incarnation),
    /// From a router to every other.
    Announcement(AnnouncementNotice),
    /// From a router to some others.
    DocumentChanged(DocumentNotice),
    /// From a router to the others and to agents: asks where a stream began.
    StreamQuery(backlog::RequestHash),
    /// Answer to a [`Self::StreamQuery`] of a router, or of an agent that a router told.
    StreamOrigin(StreamOrigin),
    /// Answer to a [`Self::StreamQuery`] of an agent whose runner's report has shown the
    /// stream.
    StreamSeen(StreamRun),
    /// From a router of an older version to the agent of the runner that has begun a stream.
    StreamNoted(StreamRun),
    /// From a router to every other.
    CrashEvidence(CrashEvidence),
    /// From a router to every other: asks for whole answers with a segment that have begun
    /// since the first crash that it may have caused.
    SurvivalQuery(SegmentAge),
    /// From a router to one or every other: when a whole answer with a segment began.
    SegmentSurvived(SegmentAge),
    /// From a router to every other.
    SegmentRefused(SegmentRefusal),
    /// From a router to another: asks for units of teams' limits; at most
    /// [`MAX_LIMIT_ENTRIES`].
    LimitAsk(Vec<team_limits::Ask>),
    /// Answer to a [`Self::LimitAsk`].
    LimitGrant(Vec<team_limits::Grant>),
    /// From a router to an agent: asks whether the runner still responds. Smaller than a
    /// status request and its answer, since it precedes single requests.
    Ping(runners::Incarnation),
    /// Answer to a [`Self::Ping`].
    Pong(runners::Incarnation),
    /// From a router to agents, which remember it in case all routers are gone when the
    /// stream's caller comes back.
    StreamKept(StreamOrigin),
}

/// A datagram that cannot be decoded or encoded.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DatagramError {
    /// The bytes do not decode.
    #[error("cannot decode the datagram: {0}")]
    Decode(#[from] Box<bincode::error::DecodeError>),
    /// This field is invalid.
    #[error("invalid {0} in the datagram")]
    Field(&'static str),
    /// It cannot be encoded, e.g. because it is too large.
    #[error("cannot encode the datagram: {0}")]
    Encode(#[from] Box<bincode::error::EncodeError>),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    /// [`DatagramError::Encode`] when it is larger than one packet.
    pub fn encode(self) -> Result<Vec<u8>, DatagramError> {
        let body = match self {
            Self::Subscribe(subscribe) => generated::Body::Subscribe(subscribe.into()),
            Self::StatusReport(report) => generated::Body::Status(report.into()),
            Self::Crash(crash) => generated::Body::Crash(crash.into()),
            Self::StatusRequest(incarnation) => generated::Body::Ask(generated::Ask {
                runner: incarnation.name.to_string(),
                born: incarnation.boot_id,
            }),
            Self::Turn(turn) => generated::Body::Turn(turn.into()),
            Self::Loaded(loaded) => generated::Body::Loaded(loaded.into()),
            Self::Silent(incarnation) => generated::Body::Silent(generated::Silent {
                runner: incarnation.name.to_string(),
                born: incarnation.boot_id,
            }),
            Self::Announcement(notice) => generated::Body::Announcement(notice.into()),
            Self::DocumentChanged(notice) => generated::Body::Changed(generated::Changed {
                kind: notice.kind as u32,
                version: notice.version.0,
            }),
            Self::StreamQuery(stream) => {
                generated::Body::StreamAsked(generated::StreamAsked { stream: stream.0 })
            }
            Self::StreamOrigin(origin) => generated::Body::StreamBegun(generated::StreamBegun {
                stream: origin.stream.0,
                service: origin.origin.service.to_string(),
                software: origin.origin.software.to_string(),
            }),
            Self::StreamKept(origin) => generated::Body::StreamKept(generated::StreamKept {
                stream: origin.stream.0,
                service: origin.origin.service.to_string(),
                software: origin.origin.software.to_string(),
            }),
            Self::StreamSeen(run) => generated::Body::StreamSeen(generated::StreamSeen {
                stream: run.stream.0,
                runner: run.incarnation.name.to_string(),
                born: run.incarnation.boot_id,
            }),
            Self::StreamNoted(run) => generated::Body::StreamNoted(generated::StreamNoted {
                stream: run.stream.0,
                runner: run.incarnation.name.to_string(),
                born: run.incarnation.boot_id,
            }),
            Self::CrashEvidence(evidence) => generated::Body::Died(evidence.into()),
            Self::SurvivalQuery(query) => generated::Body::Suspected(generated::Suspected {
                part: query.segment.0,
                age_ms: whole_millis(query.age),
            }),
            Self::SegmentSurvived(survived) => generated::Body::Survived(generated::Survived {
                part: survived.segment.0,
                age_ms: whole_millis(survived.age),
            }),
            Self::SegmentRefused(refusal) => generated::Body::Refused(generated::Refused {
                part: refusal.suspicion.segment.0,
                age_ms: whole_millis(refusal.suspicion.age),
                left_ms: whole_millis(refusal.remaining),
                crashes: refusal.crashes,
            }),
            Self::LimitAsk(asks) => generated::Body::LimitAsk(generated::LimitAsk {
                asks: asks.into_iter().map(Into::into).collect(),
            }),
            Self::Ping(incarnation) => generated::Body::Ping(generated::Ping {
                runner: incarnation.name.to_string(),
                born: incarnation.boot_id,
            }),
            Self::Pong(incarnation) => generated::Body::Pong(generated::Pong {
                runner: incarnation.name.to_string(),
                born: incarnation.boot_id,
            }),
            Self::LimitGrant(grants) => generated::Body::LimitGrant(generated::LimitGrant {
                grants: grants.into_iter().map(Into::into).collect(),
            }),
            Self::LongPrompt(prompt) => generated::Body::Sent(generated::Sent {
                request: prompt.request.0,
                missing: prompt.uncached.0,
                total: prompt.total.0,
                reads: prompt.prefills.is_some(),
                part: prompt.prefills.map_or(0, |key| key.0),
            }),
        };
        bincode::encode_to_vec(body, BINCODE_CONFIG).map_err(|error| Box::new(error).into())
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// [`DatagramError`] when the bytes do not decode, or a field is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        let (body, _) = bincode::decode_from_slice::<generated::Body, _>(bytes, BINCODE_CONFIG)
            .map_err(Box::new)?;
        Ok(match body {
            generated::Body::Subscribe(subscribe) => Self::Subscribe(subscribe.try_into()?),
            generated::Body::Status(status) => Self::StatusReport(status.try_into()?),
            generated::Body::Crash(crash) => Self::Crash(crash.try_into()?),
            generated::Body::Ask(ask) => Self::StatusRequest(incarnation(&ask.runner, ask.born)?),
            generated::Body::Turn(turn) => Self::Turn(turn.try_into()?),
            generated::Body::Loaded(loaded) => Self::Loaded(loaded.try_into()?),
            generated::Body::Silent(silent) => {
                Self::Silent(incarnation(&silent.runner, silent.born)?)
            }
            generated::Body::Announcement(notice) => Self::Announcement(notice.try_into()?),
            generated::Body::Changed(changed) => Self::DocumentChanged(DocumentNotice {
                kind: documents::Kind::from_repr(changed.kind as usize)
                    .ok_or(DatagramError::Field("kind of document"))?,
                version: ObjectVersion(changed.version),
            }),
            generated::Body::StreamAsked(asked) => {
                Self::StreamQuery(backlog::RequestHash(asked.stream))
            }
            generated::Body::StreamBegun(begun) => {
                Self::StreamOrigin(stream_origin(begun.stream, &begun.service, begun.software)?)
            }
            generated::Body::StreamKept(kept) => {
                Self::StreamKept(stream_origin(kept.stream, &kept.service, kept.software)?)
            }
            generated::Body::StreamSeen(seen) => Self::StreamSeen(StreamRun {
                stream: backlog::RequestHash(seen.stream),
                incarnation: incarnation(&seen.runner, seen.born)?,
            }),
            generated::Body::StreamNoted(noted) => Self::StreamNoted(StreamRun {
                stream: backlog::RequestHash(noted.stream),
                incarnation: incarnation(&noted.runner, noted.born)?,
            }),
            generated::Body::Died(died) => Self::CrashEvidence(died.try_into()?),
            generated::Body::Suspected(suspected) => {
                Self::SurvivalQuery(segment_age(suspected.part, suspected.age_ms))
            }
            generated::Body::Survived(survived) => {
                Self::SegmentSurvived(segment_age(survived.part, survived.age_ms))
            }
            generated::Body::Refused(refused) => Self::SegmentRefused(SegmentRefusal {
                suspicion: segment_age(refused.part, refused.age_ms),
                remaining: time::Duration::from_millis(refused.left_ms.into()),
                crashes: refused.crashes,
            }),
            generated::Body::Ping(ping) => Self::Ping(incarnation(&ping.runner, ping.born)?),
            generated::Body::Pong(pong) => Self::Pong(incarnation(&pong.runner, pong.born)?),
            generated::Body::LimitAsk(ask) => {
                Self::LimitAsk(ask.asks.into_iter().map(Into::into).collect())
            }
            generated::Body::LimitGrant(grant) => {
                Self::LimitGrant(grant.grants.into_iter().map(Into::into).collect())
            }
            generated::Body::Sent(sent) => Self::LongPrompt(backlog::LongPrompt {
                request: backlog::RequestHash(sent.request),
                uncached: Tokens(sent.missing),
                total: Tokens(sent.total),
                prefills: sent.reads.then_some(runners::SegmentKey(sent.part)),
            }),
        })
    }
}

/// Requests in this many seconds are sent as a whole number.
const LIMIT_SPAN: f64 = 1_000.0;

impl From<AnnouncementNotice> for generated::Announcement {
    fn from(notice: AnnouncementNotice) -> Self {
        // The cast saturates. A limit is never sent as none.
        let limit = notice.limit.map(|limit| (limit.0 * LIMIT_SPAN) as u32);
        Self {
            runner: notice.incarnation.name.to_string(),
            born: notice.incarnation.boot_id,
            millihertz: limit.map_or(0, |limit| limit.max(1)),
            leaving: notice.is_leaving,
        }
    }
}

impl TryFrom<generated::Announcement> for AnnouncementNotice {
    type Error = DatagramError;

    fn try_from(notice: generated::Announcement) -> Result<Self, Self::Error> {
        let rate = f64::from(notice.millihertz) / LIMIT_SPAN;
        Ok(Self {
            incarnation: incarnation(&notice.runner, notice.born)?,
            limit: (notice.millihertz > 0).then_some(RequestRate(rate)),
            is_leaving: notice.leaving,
        })
    }
}

impl From<Subscribe> for generated::Subscribe {
    fn from(from: Subscribe) -> Self {
        let targets = from
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
            named: targets.collect(),
            rank: from.rank,
            count: from.count,
        }
    }
}

impl TryFrom<generated::Subscribe> for Subscribe {
    type Error = DatagramError;

    fn try_from(from: generated::Subscribe) -> Result<Self, DatagramError> {
        let targets = from.named.into_iter().map(|target| {
            let model = model_name(&target.model)?;
            let version = WeightsVersion(target.version);
            Ok((documents::WeightsTarget { model, version }, target.age_ms))
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
            SegmentUpdate::Unchanged => (SEGMENTS_UNCHANGED, 0, Vec::new(), Vec::new()),
            SegmentUpdate::Full { number, keys } => (SEGMENTS_FULL, number, keys, Vec::new()),
            SegmentUpdate::Delta {
                number,
                added,
                dropped,
            } => (SEGMENTS_DELTA, number, added, dropped),
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
                SEGMENTS_UNCHANGED => SegmentUpdate::Unchanged,
                SEGMENTS_FULL => SegmentUpdate::Full {
                    number: from.parts_number,
                    keys: keys(from.parts),
                },
                SEGMENTS_DELTA => SegmentUpdate::Delta {
                    number: from.parts_number,
                    added: keys(from.parts),
                    dropped: keys(from.dropped),
                },
                _ => return Err(DatagramError::Field("kind of segment update")),
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

impl From<CrashEvidence> for generated::Died {
    fn from(from: CrashEvidence) -> Self {
        Self {
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
            age_ms: whole_millis(from.age),
            parts: from.segments.iter().map(|segment| segment.0).collect(),
        }
    }
}

impl TryFrom<generated::Died> for CrashEvidence {
    type Error = DatagramError;

    fn try_from(from: generated::Died) -> Result<Self, DatagramError> {
        Ok(Self {
            incarnation: incarnation(&from.runner, from.born)?,
            age: time::Duration::from_millis(from.age_ms.into()),
            segments: from.parts.into_iter().map(runners::SegmentId).collect(),
        })
    }
}

impl From<Turn> for generated::Turn {
    fn from(from: Turn) -> Self {
        Self {
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
            model: from.target.model.to_string(),
            version: from.target.version.0,
        }
    }
}

impl TryFrom<generated::Turn> for Turn {
    type Error = DatagramError;

    fn try_from(from: generated::Turn) -> Result<Self, DatagramError> {
        Ok(Self {
            incarnation: incarnation(&from.runner, from.born)?,
            target: documents::WeightsTarget {
                model: model_name(&from.model)?,
                version: WeightsVersion(from.version),
            },
        })
    }
}

impl From<Loaded> for generated::Loaded {
    fn from(from: Loaded) -> Self {
        Self {
            runner: from.incarnation.name.to_string(),
            born: from.incarnation.boot_id,
            drain_ms: whole_millis(from.times.drain_time),
            load_ms: whole_millis(from.times.load_time),
        }
    }
}

impl TryFrom<generated::Loaded> for Loaded {
    type Error = DatagramError;

    fn try_from(from: generated::Loaded) -> Result<Self, DatagramError> {
        Ok(Self {
            incarnation: incarnation(&from.runner, from.born)?,
            times: rollout_pacer::ChangeTimes {
                drain_time: time::Duration::from_millis(from.drain_ms.into()),
                load_time: time::Duration::from_millis(from.load_ms.into()),
            },
        })
    }
}

impl From<team_limits::Ask> for generated::UnitsAsked {
    fn from(from: team_limits::Ask) -> Self {
        Self {
            nonce: from.nonce,
            team: from.team.0,
            units: from.units.0,
            urgent: from.is_urgent,
            needed: from.needed.0,
        }
    }
}

impl From<generated::UnitsAsked> for team_limits::Ask {
    fn from(from: generated::UnitsAsked) -> Self {
        Self {
            nonce: from.nonce,
            team: team_limits::TeamHash(from.team),
            units: Units(from.units),
            needed: Units(from.needed),
            is_urgent: from.urgent,
        }
    }
}

impl From<team_limits::Grant> for generated::UnitsLent {
    fn from(from: team_limits::Grant) -> Self {
        Self {
            nonce: from.nonce,
            team: from.team.0,
            units: from.units.0,
            remaining: from.left.0,
        }
    }
}

impl From<generated::UnitsLent> for team_limits::Grant {
    fn from(from: generated::UnitsLent) -> Self {
        Self {
            nonce: from.nonce,
            team: team_limits::TeamHash(from.team),
            units: Units(from.units),
            left: Units(from.remaining),
        }
    }
}

fn stream_origin(
    stream: u64,
    service: &str,
    software: String,
) -> Result<StreamOrigin, DatagramError> {
    Ok(StreamOrigin {
        stream: backlog::RequestHash(stream),
        origin: stream_origins::Origin {
            service: ServiceName::new(service).map_err(|_| DatagramError::Field("service"))?,
            software: SoftwareVersion(software.into()),
        },
    })
}

fn segment_age(part: u64, age_ms: u32) -> SegmentAge {
    SegmentAge {
        segment: runners::SegmentId(part),
        age: time::Duration::from_millis(age_ms.into()),
    }
}

fn whole_millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
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
