//! Validates callers' requests and builds [`entry::Arrival`]s from them.

use lentil_config::{Config, Model, ServiceKind};
use lentil_policy::{entry, protocol};
use lentil_types::{
    Class, Fingerprint, Instant, PieceHash, PieceSeed, PromptPieces, RequestId, ServiceName,
    TeamName, Tokens, WeightsVersion,
};
use serde_json::value::RawValue;
use trillium_http::Headers;

use crate::{headers, limits::Limits, openai, refusal::Refusal, state::ActiveConfig};

/// Output tokens assumed for a request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: Tokens = Tokens(256);

/// The completion API of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionKind {
    fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// Validates one request.
pub(crate) struct Checker<'a> {
    pub(crate) active: &'a ActiveConfig,
    pub(crate) limits: &'a Limits,
    pub(crate) now: Instant,
    pub(crate) request: RequestId,
    pub(crate) headers: &'a Headers,
}

/// A valid model request.
#[derive(Debug)]
pub(crate) struct ModelCall {
    pub(crate) arrival: Box<entry::Arrival>,
    /// The model, as the caller named it.
    pub(crate) model: String,
    pub(crate) stream: bool,
    /// Whether the caller wants the usage in the last chunk.
    pub(crate) include_usage: bool,
}

/// The team that the caller's API key belongs to.
pub(crate) fn authenticate(active: &ActiveConfig, headers: &Headers) -> Result<TeamName, Refusal> {
    let key = headers::api_key(headers).ok_or(Refusal::Unauthorized)?;
    let team = active.keys.team(key).ok_or(Refusal::Unauthorized)?;
    Ok(team.clone())
}

impl Checker<'_> {
    pub(crate) fn model_call(
        &self,
        kind: CompletionKind,
        team: TeamName,
        body: &[u8],
    ) -> Result<ModelCall, Refusal> {
        let mut request: openai::Request =
            serde_json::from_slice(body).map_err(|error| Refusal::BadBody(error.to_string()))?;
        let name = request.model.clone();
        let model = self.config().model(&name);
        let model = model.ok_or_else(|| Refusal::UnknownModel(name.clone()))?;
        let seed = self.seed(&team, model)?;
        let prompt = prompt(kind, seed, &request)?;
        let stream = request.stream.unwrap_or(false);
        let options = request.stream_options.take().unwrap_or_default();
        let include_usage = options.include_usage;
        let output = request.max_completion_tokens.or(request.max_tokens);
        let work = protocol::Work {
            service: model.service.clone(),
            model: Some(model.name.clone()),
            team,
            class: self.class(&model.service)?,
            weights: model.weights,
            prompt: prompt.tokens(),
            pieces: prompt.finish().into(),
            output: output.map_or(DEFAULT_OUTPUT_TOKENS, Tokens),
        };
        // The engine always streams and always reports the usage.
        request.stream = Some(true);
        request.stream_options = Some(openai::StreamOptions {
            include_usage: true,
            ..options
        });
        let call = protocol::HttpCall {
            method: "POST".to_owned(),
            path: kind.path().to_owned(),
            headers: vec![
                header("content-type", "application/json"),
                header("x-cache-salt", &seed.to_string()),
            ],
            body: openai::to_json(&request).into_bytes().into(),
        };
        Ok(ModelCall {
            arrival: self.arrival(work, call, false, None)?,
            model: name,
            stream,
            include_usage,
        })
    }

    pub(crate) fn plain_call(
        &self,
        team: TeamName,
        service: &str,
        call: protocol::HttpCall,
    ) -> Result<Box<entry::Arrival>, Refusal> {
        let found = self
            .config()
            .service(service)
            .filter(|service| service.kind == ServiceKind::Plain);
        let service = found.ok_or_else(|| Refusal::UnknownService(service.to_owned()))?;
        let path = call.path.split('?').next().unwrap_or_default();
        let once = service.is_once(&call.method, path);
        let key = headers::idempotency_key(self.headers)?;
        if once && key.is_none() {
            return Err(Refusal::MissingField(headers::IDEMPOTENCY_KEY));
        }
        let work = protocol::Work {
            service: service.name.clone(),
            model: None,
            team,
            class: self.class(&service.name)?,
            weights: WeightsVersion(0),
            pieces: Vec::new().into(),
            prompt: Tokens(0),
            output: Tokens(0),
        };
        self.arrival(work, call, once, key)
    }

    fn arrival(
        &self,
        work: protocol::Work,
        call: protocol::HttpCall,
        once: bool,
        key: Option<lentil_types::IdempotencyKey>,
    ) -> Result<Box<entry::Arrival>, Refusal> {
        let requested = headers::budget(self.headers)?;
        let budget = requested.unwrap_or_else(|| self.config().deadline(work.class));
        let deadline = self.now + budget.min(self.limits.max_budget);
        let fingerprint = fingerprint(&work.service, &call);
        Ok(Box::new(entry::Arrival {
            request: self.request,
            work,
            call,
            deadline,
            once,
            key,
            fingerprint,
        }))
    }

    fn config(&self) -> &Config {
        &self.active.config
    }

    fn seed(&self, team: &TeamName, model: &Model) -> Result<PieceSeed, Refusal> {
        let scope = &self.config().team(team).ok_or(Refusal::Unauthorized)?.scope;
        let teams = self.config().scope_teams(scope);
        Ok(PieceSeed::new(scope, &teams, &model.name, model.weights))
    }

    fn class(&self, service: &ServiceName) -> Result<Class, Refusal> {
        let default = || self.config().service(service).map(|service| service.class);
        let requested = headers::class(self.headers)?;
        Ok(requested.or_else(default).unwrap_or_default())
    }
}

/// The pieces of a prompt: the tools first, then each message.
fn prompt(
    kind: CompletionKind,
    seed: PieceSeed,
    request: &openai::Request,
) -> Result<PromptPieces, Refusal> {
    let mut pieces = PromptPieces::new(seed);
    let mut push = |json: &RawValue| pieces.push(json.get().as_bytes());
    if let Some(tools) = &request.tools {
        push(tools);
    }
    match kind {
        CompletionKind::Chat => {
            let messages = request.messages.as_ref();
            let messages = messages.ok_or(Refusal::MissingField("messages"))?;
            messages.iter().for_each(|message| push(message));
        }
        CompletionKind::Text => push(
            request
                .prompt
                .as_ref()
                .ok_or(Refusal::MissingField("prompt"))?,
        ),
    }
    Ok(pieces)
}

/// Identifies a request by its content, independent of its caller.
fn fingerprint(service: &ServiceName, call: &protocol::HttpCall) -> Fingerprint {
    let hash = PieceHash::default()
        .chain(service.as_bytes())
        .chain(call.method.as_bytes())
        .chain(call.path.as_bytes())
        .chain(&call.body);
    Fingerprint(hash.0)
}

fn header(name: &str, value: &str) -> protocol::Header {
    protocol::Header {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}
