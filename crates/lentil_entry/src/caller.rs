//! What callers send and get: the OpenAI API.

use std::time;

use lentil_config::{Market, ServiceKind};
use lentil_policy::{entry, protocol};
use lentil_types::{
    Class, FailReason, Fingerprint, IdempotencyKey, Instant, Outcome, PieceHash, PieceSeed,
    RequestId, ServiceName, TeamName, Tokens, WeightsVersion,
};
use sha2::Digest as _;

/// Time that a request has when it names no deadline.
const DEFAULT_BUDGET: time::Duration = time::Duration::from_secs(120);
/// Bytes of a prompt that make about one token.
const TOKEN_BYTES: usize = 4;
/// Tokens of an answer when the request names no limit.
const DEFAULT_OUTPUT: Tokens = Tokens(256);

/// A request that is refused before it reaches the policy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("no team has this API key")]
    Unauthorized,
    #[error("the body is no JSON object: {0}")]
    BadBody(String),
    #[error("{0:?} is missing")]
    Missing(&'static str),
    #[error("header {0} has a value that is not allowed")]
    BadHeader(&'static str),
    #[error("no model {0:?}")]
    NoModel(String),
    #[error("no service {0:?}")]
    NoService(String),
}

impl Refusal {
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::BadBody(_) | Self::Missing(_) | Self::BadHeader(_) => 400,
            Self::NoModel(_) | Self::NoService(_) => 404,
        }
    }

    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::Unauthorized => "invalid_api_key",
            Self::BadBody(_) => "invalid_json",
            Self::Missing(_) => "missing_field",
            Self::BadHeader(_) => "invalid_header",
            Self::NoModel(_) => "model_not_found",
            Self::NoService(_) => "service_not_found",
        }
    }
}

/// Headers that the system reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHeaders {
    pub(crate) authorization: Option<String>,
    pub(crate) class: Option<String>,
    pub(crate) deadline_ms: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) content_type: Option<String>,
}

/// The team whose API key this is.
pub(crate) fn team_of(market: &Market, headers: &CallHeaders) -> Result<TeamName, Refusal> {
    let authorization = headers.authorization.as_deref().unwrap_or_default();
    let key = authorization
        .strip_prefix("Bearer ")
        .ok_or(Refusal::Unauthorized)?;
    let digest = sha2::Sha256::digest(key.as_bytes());
    let hash: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let team = market
        .teams
        .iter()
        .find(|team| team.keys.iter().any(|key| key.0 == hash));
    team.map(|team| team.name.clone())
        .ok_or(Refusal::Unauthorized)
}

/// A model request, checked.
pub(crate) struct ModelCall {
    pub(crate) arrival: Box<entry::Arrival>,
    pub(crate) stream: bool,
    pub(crate) model: String,
}

/// Checks a chat completion.
pub(crate) fn chat(
    market: &Market,
    now: Instant,
    request: RequestId,
    headers: &CallHeaders,
    body: &[u8],
) -> Result<ModelCall, Refusal> {
    let team = team_of(market, headers)?;
    let bad_body = |error: serde_json::Error| Refusal::BadBody(error.to_string());
    let mut body: serde_json::Value = serde_json::from_slice(body).map_err(bad_body)?;
    let name = body["model"]
        .as_str()
        .ok_or(Refusal::Missing("model"))?
        .to_owned();
    let model = market
        .model(&name)
        .ok_or_else(|| Refusal::NoModel(name.clone()))?;
    let messages = body["messages"]
        .as_array()
        .ok_or(Refusal::Missing("messages"))?;
    let texts: Vec<String> = messages.iter().map(ToString::to_string).collect();
    let seed = seed(market, &team, model);
    let prompt_bytes: usize = texts.iter().map(String::len).sum();
    let output = body["max_tokens"].as_u64().map_or(DEFAULT_OUTPUT, Tokens);
    let stream = body["stream"].as_bool().unwrap_or(false);
    body["stream"] = true.into();
    body["stream_options"] = serde_json::json!({ "include_usage": true });
    let work = protocol::Work {
        service: model.service.clone(),
        model: Some(model.name.clone()),
        team,
        class: class(market, &model.service, headers)?,
        weights: model.weights,
        pieces: pieces(seed, &texts).into(),
        prompt: Tokens((prompt_bytes / TOKEN_BYTES) as u64),
        output,
    };
    let body = body.to_string();
    let fingerprint = Fingerprint(PieceHash(0).chain(body.as_bytes()).0);
    let call = protocol::HttpCall {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: vec![
            header("content-type", "application/json"),
            header("x-cache-salt", &seed.to_string()),
        ],
        body: body.into_bytes().into(),
    };
    let deadline = now + budget(headers)?;
    let (once, key) = (false, None);
    let arrival = entry::Arrival {
        request,
        work,
        call,
        deadline,
        once,
        key,
        fingerprint,
    };
    Ok(ModelCall {
        arrival: Box::new(arrival),
        stream,
        model: name,
    })
}

/// Checks a call to a plain service.
pub(crate) fn plain(
    market: &Market,
    now: Instant,
    request: RequestId,
    headers: &CallHeaders,
    service: &str,
    call: protocol::HttpCall,
) -> Result<Box<entry::Arrival>, Refusal> {
    let team = team_of(market, headers)?;
    let found = market
        .service(service)
        .filter(|service| service.kind == ServiceKind::Plain);
    let service = found.ok_or_else(|| Refusal::NoService(service.to_owned()))?;
    let once = service.is_once(&call.method, &call.path);
    let key = match headers.key.as_deref() {
        Some(key) => {
            Some(IdempotencyKey::new(key).map_err(|_| Refusal::BadHeader("idempotency-key"))?)
        }
        None if once => return Err(Refusal::Missing("idempotency-key")),
        None => None,
    };
    let work = protocol::Work {
        service: service.name.clone(),
        model: None,
        team,
        class: class(market, &service.name, headers)?,
        weights: WeightsVersion(0),
        pieces: Vec::new().into(),
        prompt: Tokens(0),
        output: Tokens(0),
    };
    let fingerprint = Fingerprint(PieceHash(0).chain(&call.body).0);
    let deadline = now + budget(headers)?;
    Ok(Box::new(entry::Arrival {
        request,
        work,
        call,
        deadline,
        once,
        key,
        fingerprint,
    }))
}

fn seed(market: &Market, team: &TeamName, model: &lentil_config::Model) -> PieceSeed {
    let scope = &market
        .team(team)
        .expect("a caller's team is in the text")
        .scope;
    PieceSeed::new(scope, &model.name, model.weights)
}

/// Hashes of the whole pieces: messages, cut where they are longer than one.
fn pieces(seed: PieceSeed, texts: &[String]) -> Vec<PieceHash> {
    let piece_bytes = lentil_types::PIECE_TOKENS as usize * TOKEN_BYTES;
    let mut hashes = Vec::new();
    let mut last = seed.0;
    for part in texts
        .iter()
        .flat_map(|text| text.as_bytes().chunks(piece_bytes))
    {
        last = last.chain(part);
        hashes.push(last);
    }
    hashes
}

fn class(market: &Market, service: &ServiceName, headers: &CallHeaders) -> Result<Class, Refusal> {
    match headers.class.as_deref() {
        Some(class) => class
            .parse()
            .map_err(|_| Refusal::BadHeader("x-lentil-class")),
        None => Ok(market
            .service(service)
            .map_or(Class::Normal, |service| service.class)),
    }
}

fn budget(headers: &CallHeaders) -> Result<time::Duration, Refusal> {
    match headers.deadline_ms.as_deref().map(str::parse) {
        None => Ok(DEFAULT_BUDGET),
        Some(Ok(ms)) => Ok(time::Duration::from_millis(ms)),
        Some(Err(_)) => Err(Refusal::BadHeader("x-lentil-deadline-ms")),
    }
}

fn header(name: &str, value: &str) -> protocol::Header {
    protocol::Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

/// HTTP status for a request that has no whole answer.
pub(crate) fn status_of(reason: FailReason) -> u16 {
    match reason {
        FailReason::Deadline => 504,
        FailReason::RateLimited => 429,
        FailReason::KeyReused | FailReason::KeyExpired | FailReason::Poison => 422,
        FailReason::InProgress => 409,
        FailReason::BadRequest => 400,
        FailReason::Backend | FailReason::BrokenStream | FailReason::EngineDied => 502,
        _ => 503,
    }
}

/// The usual JSON error object.
pub(crate) fn error_body(message: &str, code: &str, outcome: Outcome) -> serde_json::Value {
    let kind = if outcome == Outcome::NotRun {
        "not_run"
    } else {
        "unknown"
    };
    serde_json::json!({
        "error": { "message": message, "type": kind, "code": code, "outcome": outcome },
    })
}
