//! Parsing of completion requests.

use lentil_types::{Class, PieceHash, Tokens, WeightsVersion};
use trillium::Conn;

/// Approximate bytes of prompt JSON per token.
const TOKEN_BYTES: usize = 4;

/// The format of the answer's chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkFormat {
    /// Chunks of `/v1/chat/completions`.
    Chat,
    /// Chunks of `/v1/completions`.
    Text,
}

/// A completion request.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) id: String,
    pub(super) format: ChunkFormat,
    pub(super) model: String,
    pub(super) class: Class,
    /// Weights that the request was routed for; `None` accepts any.
    pub(super) weights: Option<WeightsVersion>,
    pub(super) salt: String,
    pub(super) pieces: Vec<PieceHash>,
    pub(super) body: String,
    /// Words in the answer.
    pub(super) words: usize,
    /// Index of the first chunk to send; above zero when a stream is resumed.
    pub(super) resume_offset: usize,
    /// The text that was sent before it.
    pub(super) resume_text: String,
    prompt: String,
}

impl Request {
    /// Parses a request. Returns `None` when it is malformed.
    pub(super) fn parse(
        conn: &Conn,
        format: ChunkFormat,
        words: usize,
        body: String,
    ) -> Option<Self> {
        let json: serde_json::Value = serde_json::from_str(&body).ok()?;
        let prompt = match format {
            ChunkFormat::Chat => json.get("messages")?,
            ChunkFormat::Text => json.get("prompt")?,
        };
        let header = |name: &str| conn.request_headers().get_str(name).unwrap_or_default();
        let class = header("x-priority").parse().ok().and_then(Class::from_repr);
        let limit = json["max_tokens"].as_u64().unwrap_or(u64::MAX);
        let hash = |text: &str| u64::from_str_radix(text, 16).ok().map(PieceHash);
        let resume = &json["resume"];
        Some(Self {
            id: header("x-request-id").to_owned(),
            format,
            model: json["model"].as_str()?.to_owned(),
            class: class.unwrap_or_default(),
            weights: header("x-weights").parse().ok(),
            salt: header("x-cache-salt").to_owned(),
            pieces: header("x-cache-pieces")
                .split(',')
                .filter_map(hash)
                .collect(),
            words: words.min(usize::try_from(limit).unwrap_or(usize::MAX)),
            resume_offset: usize::try_from(resume["offset"].as_u64().unwrap_or(0)).ok()?,
            resume_text: resume["text"].as_str().unwrap_or_default().to_owned(),
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

    /// A word of the answer. Every engine gives the same words for the same prompt,
    /// model and weights.
    pub(super) fn word(&self, weights: WeightsVersion, index: usize) -> String {
        let seed = PieceHash(u64::from(weights.0)).chain(self.model.as_bytes());
        let hash = seed
            .chain(self.prompt.as_bytes())
            .chain(&index.to_le_bytes());
        format!("word{} ", hash.0 % 1_000)
    }

    /// Whether the text sent so far is the beginning of this engine's own answer.
    pub(super) fn is_resumable(&self, weights: WeightsVersion) -> bool {
        let words = self.resume_offset.min(self.words);
        let sent: String = (0..words).map(|index| self.word(weights, index)).collect();
        sent == self.resume_text
    }
}
