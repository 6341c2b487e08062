//! JSON types of the OpenAI API, as far as the entry reads or writes them.
//! Unknown fields are passed through.

use std::collections::BTreeMap;

use lentil_policy::protocol;
use lentil_types::Outcome;
use serde_json::{Map, Value, value::RawValue};

/// A request for a chat completion (with messages) or a text completion (with a
/// prompt).
#[derive(Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Request {
    pub(crate) model: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) messages: Option<Vec<Box<RawValue>>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) prompt: Option<Box<RawValue>>,
    /// Tools that the model may call. Engines put them before the messages.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) tools: Option<Box<RawValue>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) stream: Option<bool>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) stream_options: Option<StreamOptions>,
    /// Maximum number of output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) max_tokens: Option<u64>,
    /// The same limit, as newer clients name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) max_completion_tokens: Option<u64>,
    /// Fields that the entry does not know.
    #[serde(flatten)]
    pub(crate) rest: Map<String, Value>,
}

/// Options of a streamed answer.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct StreamOptions {
    /// Whether the last chunk reports the usage.
    #[serde(default)]
    pub(crate) include_usage: bool,
    /// Fields that the entry does not know.
    #[serde(flatten)]
    pub(crate) rest: Map<String, Value>,
}

/// A chunk of an answer, as far as the assembled answer needs it.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub(crate) struct Chunk {
    /// What the chunk adds to each choice.
    #[serde(default)]
    pub(crate) choices: Vec<Map<String, Value>>,
    /// Fields that the entry does not know.
    #[serde(flatten)]
    pub(crate) rest: Map<String, Value>,
}

/// A chunk of an answer whose fields are not parsed.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub(crate) struct RawChunk<'a>(#[serde(borrow)] pub(crate) BTreeMap<&'a str, &'a RawValue>);

/// Serializes a value once, to be inserted into many chunks.
pub(crate) fn to_raw(value: &impl serde::Serialize) -> Box<RawValue> {
    // Serializing the types that are passed here cannot fail.
    serde_json::value::to_raw_value(value).unwrap_or_default()
}

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(crate) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, serde::Serialize)]
struct PromptDetails {
    cached_tokens: u64,
}

impl From<protocol::Usage> for Usage {
    fn from(usage: protocol::Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt.0,
            completion_tokens: usage.output.0,
            total_tokens: (usage.prompt + usage.output).0,
            prompt_tokens_details: PromptDetails {
                cached_tokens: usage.cached.0,
            },
        }
    }
}

/// An answer that is not streamed.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Completion {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: String,
    pub(crate) choices: Vec<Map<String, Value>>,
    pub(crate) usage: Usage,
    #[serde(flatten)]
    pub(crate) rest: Map<String, Value>,
}

/// The last chunk of an answer, if its caller asked for the usage.
#[derive(Debug, serde::Serialize)]
pub(crate) struct UsageChunk<'a> {
    pub(crate) id: &'a RawValue,
    pub(crate) object: &'a RawValue,
    pub(crate) created: &'a RawValue,
    pub(crate) model: &'a RawValue,
    pub(crate) choices: [(); 0],
    pub(crate) usage: Usage,
}

/// An item of the list of models.
#[derive(Debug, serde::Serialize)]
pub(crate) struct Model<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) owned_by: &'a str,
}

impl<'a> Model<'a> {
    pub(crate) fn new(model: &'a lentil_config::Model) -> Self {
        Self {
            id: &model.name,
            object: "model",
            created: 0,
            owned_by: &model.service,
        }
    }
}

#[derive(Debug, serde::Serialize)]
pub(crate) struct Models<'a> {
    pub(crate) object: &'static str,
    pub(crate) data: Vec<Model<'a>>,
}

#[derive(Debug, serde::Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Debug, serde::Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'a str>,
    code: &'a str,
    outcome: Outcome,
}

/// The error object that clients of the OpenAI API expect, plus the outcome.
pub(crate) fn error_body(status: u16, message: &str, code: &str, outcome: Outcome) -> String {
    let kind = match status {
        401 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let error = ErrorObject {
        message,
        kind,
        param: None,
        code,
        outcome,
    };
    to_json(&ErrorBody { error })
}

/// Serializes a value of a type for which this cannot fail.
pub(crate) fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
