//! A completion request as the engine reads it.

use lentil_types::{Class, PieceHash, Tokens, WeightsVersion};
use trillium::Conn;

/// Bytes of a prompt that make about one token.
const TOKEN_BYTES: usize = 4;

/// What the answer is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// Chunks of `/v1/chat/completions`.
    Chat,
    /// Chunks of `/v1/completions`.
    Text,
}

/// A completion request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) id: String,
    pub(super) shape: Shape,
    pub(super) model: String,
    pub(super) class: Class,
    /// Weights that the request was routed for.
    pub(super) weights: Option<WeightsVersion>,
    pub(super) salt: String,
    pub(super) pieces: Vec<PieceHash>,
    pub(super) body: String,
    pub(super) words: usize,
    /// Offset of the first piece wanted.
    pub(super) start: usize,
    /// What was said before it.
    pub(super) said: String,
    prompt: String,
}

impl Request {
    /// Reads a request, or returns `None` when it is malformed.
    pub(super) fn read(conn: &Conn, shape: Shape, words: usize, body: String) -> Option<Self> {
        let json: serde_json::Value = serde_json::from_str(&body).ok()?;
        let prompt = match shape {
            Shape::Chat => json.get("messages")?,
            Shape::Text => json.get("prompt")?,
        };
        let header = |name: &str| conn.request_headers().get_str(name).unwrap_or_default();
        let class = header("x-priority").parse().ok().and_then(Class::from_repr);
        let limit = json["max_tokens"].as_u64().unwrap_or(u64::MAX);
        let hash = |text: &str| u64::from_str_radix(text, 16).ok().map(PieceHash);
        let resume = &json["resume"];
        Some(Self {
            id: header("x-request-id").to_owned(),
            shape,
            model: json["model"].as_str()?.to_owned(),
            class: class.unwrap_or_default(),
            weights: header("x-weights").parse().ok(),
            salt: header("x-cache-salt").to_owned(),
            pieces: header("x-cache-pieces")
                .split(',')
                .filter_map(hash)
                .collect(),
            words: words.min(usize::try_from(limit).unwrap_or(usize::MAX)),
            start: usize::try_from(resume["offset"].as_u64().unwrap_or(0)).ok()?,
            said: resume["text"].as_str().unwrap_or_default().to_owned(),
            prompt: prompt.to_string(),
            body,
        })
    }

    pub(super) fn prompt_tokens(&self) -> Tokens {
        Tokens((self.prompt.len() / TOKEN_BYTES) as u64)
    }

    /// Tokens of the first `cached` pieces.
    pub(super) fn cached_tokens(&self, cached: usize) -> Tokens {
        let pieces = self.pieces.len().max(1) as u64;
        Tokens(self.prompt_tokens().0 * cached as u64 / pieces)
    }

    /// A word of the answer. The same prompt, model and weights give the same
    /// words at every engine.
    pub(super) fn word(&self, weights: WeightsVersion, index: usize) -> String {
        let seed = PieceHash(u64::from(weights.0)).chain(self.model.as_bytes());
        let hash = seed
            .chain(self.prompt.as_bytes())
            .chain(&index.to_le_bytes());
        format!("word{} ", hash.0 % 1_000)
    }

    /// Whether what was said is how this engine's own answer begins.
    pub(super) fn is_resumable(&self, weights: WeightsVersion) -> bool {
        let words = self.start.min(self.words);
        let said: String = (0..words).map(|index| self.word(weights, index)).collect();
        said == self.said
    }
}
