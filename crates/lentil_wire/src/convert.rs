//! Generated messages to checked ones and back.

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
            Self::Offer(offer) => Body::Offer(offer_out(offer)),
            Self::Bid(bid) => Body::Bid(bid_out(bid)),
            Self::Dispatch(dispatch) => Body::Dispatch(dispatch_out(*dispatch)),
            Self::Started(started) => Body::Started(started_out(started)),
            Self::Piece(piece) => Body::Piece(piece_out(piece)),
            Self::End(end) => Body::End(end_out(end)),
            Self::Failed(failed) => Body::Failed(failed_out(failed)),
            Self::Cancel(id) => Body::Cancel(generated::Cancel {
                id: Some(id_out(id)),
            }),
            Self::Withdraw(id) => Body::Withdraw(generated::Withdraw {
                id: Some(id_out(id)),
            }),
            Self::Withdrawn(withdrawn) => Body::Withdrawn(generated::Withdrawn {
                id: Some(id_out(withdrawn.id)),
                started: withdrawn.started,
            }),
            Self::Ask { config, want_text } => Body::Ask(generated::Ask {
                config: config.0,
                want_text,
            }),
            Self::Load(load) => Body::Load(load_out(&load)),
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
            Self::Sync(sync) => Body::Sync(convert_sync::sync_out(&sync)),
            Self::Synced(synced) => Body::Synced(convert_sync::synced_out(synced)),
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
            Body::Offer(offer) => Self::Offer(offer_in(offer)?),
            Body::Bid(bid) => Self::Bid(bid_in(bid)?),
            Body::Dispatch(dispatch) => Self::Dispatch(Box::new(dispatch_in(dispatch)?)),
            Body::Started(started) => Self::Started(started_in(started)?),
            Body::Piece(piece) => Self::Piece(piece_in(piece)?),
            Body::End(end) => Self::End(end_in(end)?),
            Body::Failed(failed) => Self::Failed(failed_in(failed)?),
            Body::Cancel(cancel) => Self::Cancel(id_in(cancel.id)?),
            Body::Withdraw(withdraw) => Self::Withdraw(id_in(withdraw.id)?),
            Body::Withdrawn(withdrawn) => Self::Withdrawn(protocol::Withdrawn {
                id: id_in(withdrawn.id)?,
                started: withdrawn.started,
            }),
            Body::Ask(ask) => Self::Ask {
                config: ConfigVersion(ask.config),
                want_text: ask.want_text,
            },
            Body::Load(load) => Self::Load(load_in(Some(load))?),
            Body::Text(text) => Self::Text(message::ConfigDocument {
                version: ConfigVersion(text.config),
                text: text.text,
            }),
            Body::Poison(poison) => Self::Poison(message::PoisonNotice {
                fingerprint: Fingerprint(poison.fingerprint),
                crashes: poison.crashes,
            }),
            Body::Refused(refused) => Self::Refused(reason_in(refused.reason)?),
            Body::Watch(_) => Self::Watch,
            Body::Sync(sync) => Self::Sync(convert_sync::sync_in(&sync)?),
            Body::Synced(synced) => Self::Synced(convert_sync::synced_in(synced)?),
            Body::Order(order) => Self::Order(rollout::Order {
                number: FencingNumber(order.number),
                model: ModelName::new(&order.model)?,
                weights: WeightsVersion(order.weights),
            }),
            Body::Ordered(ordered) => Self::Ordered(ordered_in(&ordered)?),
            Body::Hello(_) | Body::Challenge(_) | Body::Proof(_) | Body::Welcome(_) => {
                return Err(ConvertError::MissingField("place for a handshake"));
            }
        })
    }
}

// ---------------------------------------------------------------------------
// Ids and numbers

fn id_out(id: AttemptId) -> generated::AttemptRef {
    let request = id.request.0.to_be_bytes().to_vec();
    generated::AttemptRef {
        request,
        attempt: id.attempt.0,
    }
}

fn id_in(id: Option<generated::AttemptRef>) -> Result<AttemptId, ConvertError> {
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

pub(crate) fn unknown<T>(
    value: Option<T>,
    kind: &'static str,
    from: u32,
) -> Result<T, ConvertError> {
    value.ok_or(ConvertError::UnknownValue {
        kind,
        value: u64::from(from),
    })
}

pub(crate) fn small(value: u32) -> u8 {
    u8::try_from(value).unwrap_or(u8::MAX)
}

fn reason_in(value: u32) -> Result<FailReason, ConvertError> {
    unknown(FailReason::from_repr(small(value)), "reason", value)
}

fn pieces_out(pieces: Pieces) -> u32 {
    u32::try_from(pieces.0).unwrap_or(u32::MAX)
}

fn ordered_in(
    ordered: &generated::Ordered,
) -> Result<Result<(), rollout::OrderFault>, ConvertError> {
    let fault = match ordered.fault {
        0 => return Ok(Ok(())),
        fault => rollout::OrderFault::from_repr(small(fault)),
    };
    Ok(Err(unknown(fault, "order fault", ordered.fault)?))
}

// ---------------------------------------------------------------------------
// Parts of messages

fn load_out(load: &protocol::Load) -> generated::Load {
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

fn load_in(load: Option<generated::Load>) -> Result<protocol::Load, ConvertError> {
    let load = load.ok_or(ConvertError::MissingField("load"))?;
    Ok(protocol::Load {
        boot: BootId(load.boot),
        weights: WeightsVersion(load.weights),
        state: unknown(
            RunnerState::from_repr(small(load.state)),
            "runner state",
            load.state,
        )?,
        queued: load.queued,
        running: load.running,
        backlog: Tokens(load.backlog),
        config: ConfigVersion(load.config),
    })
}

fn headers_out(headers: Vec<protocol::Header>) -> Vec<generated::Header> {
    let out = |header: protocol::Header| generated::Header {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(out).collect()
}

fn headers_in(headers: Vec<generated::Header>) -> Vec<protocol::Header> {
    let checked = |header: generated::Header| protocol::Header {
        name: header.name,
        value: header.value,
    };
    headers.into_iter().map(checked).collect()
}

// ---------------------------------------------------------------------------
// Messages

fn offer_out(offer: protocol::Offer) -> generated::Offer {
    let work = offer.work;
    generated::Offer {
        id: Some(id_out(offer.id)),
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

fn offer_in(offer: generated::Offer) -> Result<protocol::Offer, ConvertError> {
    let model = match offer.model.as_str() {
        "" => None,
        name => Some(ModelName::new(name)?),
    };
    let work = protocol::Work {
        service: ServiceName::new(&offer.service)?,
        model,
        team: TeamName::new(&offer.team)?,
        class: unknown(Class::from_repr(small(offer.class)), "class", offer.class)?,
        weights: WeightsVersion(offer.weights),
        pieces: offer.pieces.into_iter().map(PieceHash).collect(),
        prompt: Tokens(offer.prompt_tokens),
        output: Tokens(offer.output_tokens),
    };
    let budget = time::Duration::from_micros(offer.budget_us);
    Ok(protocol::Offer {
        id: id_in(offer.id)?,
        work,
        budget,
    })
}

fn bid_out(bid: protocol::Bid) -> generated::Bid {
    generated::Bid {
        id: Some(id_out(bid.id)),
        cached: pieces_out(bid.cached),
        wait_us: micros(bid.wait),
        load: Some(load_out(&bid.load)),
    }
}

fn bid_in(bid: generated::Bid) -> Result<protocol::Bid, ConvertError> {
    Ok(protocol::Bid {
        id: id_in(bid.id)?,
        cached: Pieces(u64::from(bid.cached)),
        wait: time::Duration::from_micros(bid.wait_us),
        load: load_in(bid.load)?,
    })
}

fn dispatch_out(dispatch: protocol::Dispatch) -> generated::Dispatch {
    let call = dispatch.call;
    let resume = dispatch.resume.unwrap_or_default();
    generated::Dispatch {
        offer: Some(offer_out(dispatch.offer)),
        boot: dispatch.boot.map_or(0, |boot| boot.0),
        method: call.method,
        path: call.path,
        headers: headers_out(call.headers),
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

fn dispatch_in(dispatch: generated::Dispatch) -> Result<protocol::Dispatch, ConvertError> {
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
        offer: offer_in(dispatch.offer.ok_or(ConvertError::MissingField("offer"))?)?,
        boot: (dispatch.boot != 0).then_some(BootId(dispatch.boot)),
        call: protocol::HttpCall {
            method: dispatch.method,
            path: dispatch.path,
            headers: headers_in(dispatch.headers),
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

fn started_out(started: protocol::Started) -> generated::Started {
    generated::Started {
        id: Some(id_out(started.id)),
        cached: pieces_out(started.cached),
        status: u32::from(started.status),
        headers: headers_out(started.headers),
        load: Some(load_out(&started.load)),
    }
}

fn started_in(started: generated::Started) -> Result<protocol::Started, ConvertError> {
    Ok(protocol::Started {
        id: id_in(started.id)?,
        cached: Pieces(u64::from(started.cached)),
        status: unknown(
            u16::try_from(started.status).ok(),
            "HTTP status",
            started.status,
        )?,
        headers: headers_in(started.headers),
        load: load_in(started.load)?,
    })
}

fn piece_out(piece: protocol::Piece) -> generated::Piece {
    generated::Piece {
        id: Some(id_out(piece.id)),
        boot: piece.boot.0,
        offset: piece.offset,
        data: piece.data,
        text: piece.text,
    }
}

fn piece_in(piece: generated::Piece) -> Result<protocol::Piece, ConvertError> {
    Ok(protocol::Piece {
        id: id_in(piece.id)?,
        boot: BootId(piece.boot),
        offset: piece.offset,
        text: piece.text,
        data: piece.data,
    })
}

fn end_out(end: protocol::End) -> generated::End {
    generated::End {
        id: Some(id_out(end.id)),
        boot: end.boot.0,
        offset: end.offset,
        prompt_tokens: end.usage.prompt.0,
        cached_tokens: end.usage.cached.0,
        output_tokens: end.usage.output.0,
        load: Some(load_out(&end.load)),
    }
}

fn end_in(end: generated::End) -> Result<protocol::End, ConvertError> {
    let usage = protocol::Usage {
        prompt: Tokens(end.prompt_tokens),
        cached: Tokens(end.cached_tokens),
        output: Tokens(end.output_tokens),
    };
    Ok(protocol::End {
        id: id_in(end.id)?,
        boot: BootId(end.boot),
        offset: end.offset,
        usage,
        load: load_in(end.load)?,
    })
}

fn failed_out(failed: protocol::Failed) -> generated::Failed {
    generated::Failed {
        id: Some(id_out(failed.id)),
        outcome: failed.outcome as u32,
        reason: failed.reason as u32,
        retry_us: failed.retry.map_or(0, micros),
        load: Some(load_out(&failed.load)),
    }
}

fn failed_in(failed: generated::Failed) -> Result<protocol::Failed, ConvertError> {
    let retry = time::Duration::from_micros(failed.retry_us);
    Ok(protocol::Failed {
        id: id_in(failed.id)?,
        outcome: unknown(
            Outcome::from_repr(small(failed.outcome)),
            "outcome",
            failed.outcome,
        )?,
        reason: reason_in(failed.reason)?,
        retry: (!retry.is_zero()).then_some(retry),
        load: load_in(failed.load)?,
    })
}
