//! Parses the chunks of a streamed OpenAI API answer.

use std::borrow::Cow;

use lentil_policy::protocol;
use lentil_types::Tokens;

/// Chunk fields that a sidecar uses.
#[derive(Debug, serde::Deserialize)]
pub(super) struct Chunk<'a> {
    #[serde(borrow, default)]
    pub(super) id: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, serde::Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    delta: Option<Delta<'a>>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

#[derive(Debug, serde::Deserialize)]
struct Delta<'a> {
    #[serde(borrow, default)]
    content: Option<Cow<'a, str>>,
}

#[derive(Debug, serde::Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, serde::Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: Option<u64>,
}

impl Chunk<'_> {
    /// Text that it adds to the answer.
    pub(super) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let content = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        content.or(choice.text.as_deref()).unwrap_or_default()
    }

    /// Token counts, if the chunk has them.
    pub(super) fn usage(&self) -> Option<protocol::Usage> {
        let usage = self.usage.as_ref()?;
        let details = usage.prompt_tokens_details.as_ref();
        let cached = details.and_then(|details| details.cached_tokens);
        Some(protocol::Usage {
            prompt: Tokens(usage.prompt_tokens),
            cached: Tokens(cached.unwrap_or(0)),
            output: Tokens(usage.completion_tokens),
        })
    }
}
