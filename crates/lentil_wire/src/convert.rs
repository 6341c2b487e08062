//! Conversion between generated messages and validated ones.

use std::time;

use lentil_policy::{protocol, rollout};
use lentil_types::{
    Attempt, AttemptId, BootId, Class, ConfigVersion, FailReason, FencingNumber, Fingerprint,
    IdempotencyKey, ModelName, Outcome, PieceHash, Pieces, RequestId, RunnerState, ServiceName,
    TeamName, Tokens, WeightsVersion,
};

use crate::{
    ConvertError, convert_sync, generated,
    generated::message::Body,
    message::{self, Message},
};

impl Message {
    pub(crate) fn into_generated(self) -> Body {
        match self {
            Self::Offer(offer) => Body::Offer(offer_to_wire(offer)),
            Self::Bid(bid) => Body::Bid(bid_to_wire(bid)),
            Self::Dispatch(dispatch) => Body::Dispatch(dispatch_to_wire(*dispatch)),
            Self::Started(started) => Body::Started(started_to_wire(started)),
            Self::Piece(piece) => Body::Piece(piece_to_wire(piece)),
            Self::End(end) => Body::End(end_to_wire(end)),
            Self::Failed(failed) => Body::Failed(failed_to_wire(failed)),
            Self::Cancel(id) => Body::Cancel(generated::Cancel {
                id: Some(id_to_wire(id)),
            }),
            Self::Withdraw(id) => Body::Withdraw(generated::Withdraw {
                id: Some(id_to_wire(id)),
            }),
            Self::Withdrawn(withdrawn) => Body::Withdrawn(generated::Withdrawn {
                id: Some(id_to_wire(withdrawn.id)),
                started: withdrawn.started,
            }),
            Self::Ask { config, want_text } => Body::Ask(generated::Ask {
                config: config.0,
                want_text,
            }),
            Self::Load(load) => Body::Load(load_to_wire(&load)),
            Self::Text(text) => Body::Text(generated::Text {
                config: text.version.0,
                text: text.text,
            }),
            Self::Poison(notice) => Body::Poison(generated::Poison {
                fingerprint: notice.fingerprint.0,
                crashes: notice.crashes,
            }),
            Self::Refused(reason) => Body::Refused(generated::Refused {
                reason: reason as u32,
            }),
            Self::Watch => Body::Watch(generated::Watch {}),
            Self::Sync(sync) => Body::Sync(convert_sync::sync_to_wire(&sync)),
            Self::Synced(synced) => Body::Synced(convert_sync::synced_to_wire(synced)),
            Self::Order(order) => Body::Order(generated::Order {
                number: order.number.0,
                model: order.model.to_string(),
                weights: order.weights.0,
            }),
            Self::Ordered(outcome) => Body::Ordered(generated::Ordered {
                fault: outcome.err().map_or(0, |fault| fault as u32),
            }),
        }
    }

    pub(crate) fn from_generated(body: Body) -> Result<Self, ConvertError> {
        Ok(match body {
            Body::Offer(offer) => Self::Offer(offer_from_wire(offer)?),
            Body::Bid(bid) => Self::Bid(bid_from_wire(bid)?),
            Body::Dispatch(dispatch) => Self::Dispatch(Box::new(dispatch_from_wire(dispatch)?)),
            Body::Started(started) => Self::Started(started_from_wire(started)?),
            Body::Piece(piece) => Self::Piece(piece_from_wire(piece)?),
            Body::End(end) => Self::End(end_from_wire(end)?),
            Body::Failed(failed) => Self::Failed(failed_from_wire(failed)?),
            Body::Cancel(cancel) => Self::Cancel(id_from_wire(cancel.id)?),
            Body::Withdraw(withdraw) => Self::Withdraw(id_from_wire(withdraw.id)?),
            Body::Withdrawn(withdrawn) => Self::Withdrawn(protocol::Withdrawn {
                id: id_from_wire(withdrawn.id)?,
                started: withdrawn.started,
            }),
            Body::Ask(ask) => Self::Ask {
                config: ConfigVersion(ask.config),
                want_text: ask.want_text,
            },
            Body::Load(load) => Self::Load(load_from_wire(Some(load))?),
            Body::Text(text) => Self::Text(message::ConfigDocument {
                version: ConfigVersion(text.config),
                text: text.text,
            }),
            Body::Poison(poison) => Self::Poison(message::PoisonNotice {
                fingerprint: Fingerprint(poison.fingerprint),
                crashes: poison.crashes,
            }),
            Body::Refused(refused) => Self::Refused(reason_from_wire(refused.reason)?),
            Body::Watch(_) => Self::Watch,
            Body::Sync(sync) => Self::Sync(convert_sync::sync_from_wire(&sync)?),
            Body::Synced(synced) => Self::Synced(convert_sync::synced_from_wire(synced)?),
            Body::Order(order) => Self::Order(rollout::Order {
                number: FencingNumber(order.number),
                model: ModelName::new(&order.model)?,
                weights: WeightsVersion(order.weights),
            }),
            Body::Ordered(ordered) => Self::Ordered(ordered_from_wire(&ordered)?),
            Body::Hello(_) | Body::Challenge(_) | Body::Proof(_) | Body::Welcome(_) => {
                return Err(ConvertError::MissingField(
                    "kind that is allowed after the handshake",
                ));
            }
        })
    }
}

// ---------------------------------------------------------------------------
// Ids and numbers

fn id_to_wire(id: AttemptId) -> generated::AttemptRef {
    let request = id.request.0.to_be_bytes().to_vec();
    generated::AttemptRef {
        request,
        attempt: id.attempt.0,
    }
}

fn id_from_wire(id: Option<generated::AttemptRef>) -> Result<AttemptId, ConvertError> {
    let id = id.ok_or(ConvertError::MissingField("attempt"))?;
    let bytes = <[u8; 16]>::try_from(id.request.as_slice())
        .map_err(|_| ConvertError::IdSize(id.request.len()))?;
    let request = RequestId(u128::from_be_bytes(bytes));
    Ok(AttemptId {
        request,
        attempt: Attempt(id.attempt),
    })
}

pub(crate) fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn require_known<T>(
    value: Option<T>,
    kind: &'static str,
    raw: u32,
) -> Result<T, ConvertError> {
    value.ok_or(ConvertError::UnknownValue {
        kind,
        value: u64::from(raw),
    })
}

/// Converts an enum number; one above 255 becomes 255, which no enum uses.
pub(crate) fn saturate_u8(value: u32) -> u8 {
    u8::try_from(value).unwrap_or(u8::MAX)
}

fn reason_from_wire(value: u32) -> Result<FailReason, ConvertError> {
    require_known(FailReason::from_repr(saturate_u8(value)), "reason", value)
}

fn pieces_to_wire(pieces: Pieces) -> u32 {
    u32::try_from(pieces.0).unwrap_or(u32::MAX)
}

fn ordered_from_wire(
    ordered: &generated::Ordered,
) -> Result<Result<(), rollout::OrderFault>, ConvertError> {
    let fault = match ordered.fault {
        0 => return Ok(Ok(())),
        fault => rollout::OrderFault::from_repr(saturate_u8(fault)),
    };
    Ok(Err(require_known(fault, "order fault", ordered.fault)?))
}

// ---------------------------------------------------------------------------
// Fields that messages share

fn load_to_wire(load: &protocol::Load) -> generated::Load {
    generated::Load {
        boot: load.boot.0,
        weights: load.weights.0,
        state: load.state as u32,
        queued: load.queued,
        running: load.running,
        backlog: load.backlog.0,
        config: load.config.0,
    }
}

fn load_from_wire(load: Option<generated::Load>) -> Result<protocol::Load, ConvertError> {
    let load = load.ok_or(ConvertError::MissingField("load"))?;
    Ok(protocol::Load {
        boot: BootId(load.boot),
        weights: WeightsVersion(load.weights),
        state: require_known(
            RunnerState::from_repr(saturate_u8(load.state)),
            "runner state",
            load.state,
        )?,
        queued: load.queued,
        running: load.running,
        backlog: Tokens(load.backlog),
        config: ConfigVersion(load.config),
    })
}

fn headers_to_wire(headers: Vec<protocol::Header>) -> Vec<generated::Header> {
    let to_wire = |header: protocol::Header| generated::Header {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(to_wire).collect()
}

fn headers_from_wire(headers: Vec<generated::Header>) -> Vec<protocol::Header> {
    let from_wire = |header: generated::Header| protocol::Header {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(from_wire).collect()
}

// ---------------------------------------------------------------------------
// Messages

fn offer_to_wire(offer: protocol::Offer) -> generated::Offer {
    let work = offer.work;
    generated::Offer {
        id: Some(id_to_wire(offer.id)),
        service: work.service.to_string(),
        model: work
            .model
            .map(|model| model.to_string())
            .unwrap_or_default(),
        team: work.team.to_string(),
        class: work.class as u32,
        budget_us: micros(offer.budget),
        weights: work.weights.0,
        pieces: work.pieces.iter().map(|piece| piece.0).collect(),
        prompt_tokens: work.prompt.0,
        output_tokens: work.output.0,
    }
}

fn offer_from_wire(offer: generated::Offer) -> Result<protocol::Offer, ConvertError> {
    let model = match offer.model.as_str() {
        "" => None,
        name => Some(ModelName::new(name)?),
    };
    let work = protocol::Work {
        service: ServiceName::new(&offer.service)?,
        model,
        team: TeamName::new(&offer.team)?,
        class: require_known(
            Class::from_repr(saturate_u8(offer.class)),
            "class",
            offer.class,
        )?,
        weights: WeightsVersion(offer.weights),
        pieces: offer.pieces.into_iter().map(PieceHash).collect(),
        prompt: Tokens(offer.prompt_tokens),
        output: Tokens(offer.output_tokens),
    };
    let budget = time::Duration::from_micros(offer.budget_us);
    Ok(protocol::Offer {
        id: id_from_wire(offer.id)?,
        work,
        budget,
    })
}

fn bid_to_wire(bid: protocol::Bid) -> generated::Bid {
    generated::Bid {
        id: Some(id_to_wire(bid.id)),
        cached: pieces_to_wire(bid.cached),
        wait_us: micros(bid.wait),
        load: Some(load_to_wire(&bid.load)),
    }
}

fn bid_from_wire(bid: generated::Bid) -> Result<protocol::Bid, ConvertError> {
    Ok(protocol::Bid {
        id: id_from_wire(bid.id)?,
        cached: Pieces(u64::from(bid.cached)),
        wait: time::Duration::from_micros(bid.wait_us),
        load: load_from_wire(bid.load)?,
    })
}

fn dispatch_to_wire(dispatch: protocol::Dispatch) -> generated::Dispatch {
    let call = dispatch.call;
    let resume = dispatch.resume.unwrap_or_default();
    generated::Dispatch {
        offer: Some(offer_to_wire(dispatch.offer)),
        boot: dispatch.boot.map_or(0, |boot| boot.0),
        method: call.method,
        path: call.path,
        headers: headers_to_wire(call.headers),
        body: call.body.to_vec(),
        resume_at: resume.offset,
        resume_text: resume.text,
        once: dispatch.once,
        fingerprint: dispatch.fingerprint.0,
        isolated: dispatch.isolated,
        key: dispatch.key.map(|key| key.to_string()).unwrap_or_default(),
        recover: dispatch.recover,
    }
}

fn dispatch_from_wire(dispatch: generated::Dispatch) -> Result<protocol::Dispatch, ConvertError> {
    let resumed = dispatch.resume_at > 0;
    let resume = protocol::Resume {
        offset: dispatch.resume_at,
        text: dispatch.resume_text,
    };
    let key = match dispatch.key.as_str() {
        "" => None,
        key => Some(IdempotencyKey::new(key)?),
    };
    Ok(protocol::Dispatch {
        offer: offer_from_wire(dispatch.offer.ok_or(ConvertError::MissingField("offer"))?)?,
        boot: (dispatch.boot != 0).then_some(BootId(dispatch.boot)),
        call: protocol::HttpCall {
            method: dispatch.method,
            path: dispatch.path,
            headers: headers_from_wire(dispatch.headers),
            body: dispatch.body.into(),
        },
        resume: resumed.then_some(resume),
        once: dispatch.once,
        key,
        fingerprint: Fingerprint(dispatch.fingerprint),
        isolated: dispatch.isolated,
        recover: dispatch.recover,
    })
}

fn started_to_wire(started: protocol::Started) -> generated::Started {
    generated::Started {
        id: Some(id_to_wire(started.id)),
        cached: pieces_to_wire(started.cached),
        status: u32::from(started.status),
        headers: headers_to_wire(started.headers),
        load: Some(load_to_wire(&started.load)),
    }
}

fn started_from_wire(started: generated::Started) -> Result<protocol::Started, ConvertError> {
    Ok(protocol::Started {
        id: id_from_wire(started.id)?,
        cached: Pieces(u64::from(started.cached)),
        status: require_known(
            u16::try_from(started.status).ok(),
            "HTTP status",
            started.status,
        )?,
        headers: headers_from_wire(started.headers),
        load: load_from_wire(started.load)?,
    })
}

fn piece_to_wire(piece: protocol::Piece) -> generated::Piece {
    generated::Piece {
        id: Some(id_to_wire(piece.id)),
        boot: piece.boot.0,
        offset: piece.offset,
        data: piece.data,
        text: piece.text,
    }
}

fn piece_from_wire(piece: generated::Piece) -> Result<protocol::Piece, ConvertError> {
    Ok(protocol::Piece {
        id: id_from_wire(piece.id)?,
        boot: BootId(piece.boot),
        offset: piece.offset,
        text: piece.text,
        data: piece.data,
    })
}

fn end_to_wire(end: protocol::End) -> generated::End {
    generated::End {
        id: Some(id_to_wire(end.id)),
        boot: end.boot.0,
        offset: end.offset,
        prompt_tokens: end.usage.prompt.0,
        cached_tokens: end.usage.cached.0,
        output_tokens: end.usage.output.0,
        load: Some(load_to_wire(&end.load)),
    }
}

fn end_from_wire(end: generated::End) -> Result<protocol::End, ConvertError> {
    let usage = protocol::Usage {
        prompt: Tokens(end.prompt_tokens),
        cached: Tokens(end.cached_tokens),
        output: Tokens(end.output_tokens),
    };
    Ok(protocol::End {
        id: id_from_wire(end.id)?,
        boot: BootId(end.boot),
        offset: end.offset,
        usage,
        load: load_from_wire(end.load)?,
    })
}

fn failed_to_wire(failed: protocol::Failed) -> generated::Failed {
    generated::Failed {
        id: Some(id_to_wire(failed.id)),
        outcome: failed.outcome as u32,
        reason: failed.reason as u32,
        retry_us: failed.retry.map_or(0, micros),
        load: Some(load_to_wire(&failed.load)),
    }
}

fn failed_from_wire(failed: generated::Failed) -> Result<protocol::Failed, ConvertError> {
    let retry = time::Duration::from_micros(failed.retry_us);
    Ok(protocol::Failed {
        id: id_from_wire(failed.id)?,
        outcome: require_known(
            Outcome::from_repr(saturate_u8(failed.outcome)),
            "outcome",
            failed.outcome,
        )?,
        reason: reason_from_wire(failed.reason)?,
        retry: (!retry.is_zero()).then_some(retry),
        load: load_from_wire(failed.load)?,
    })
}
