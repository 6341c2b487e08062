//! What a trace says of its source and of each request.

use compact_str::CompactString;
use lentil_types::{
    Class, IdempotencyKey, Instant, ModelName, PieceHash, ServiceName, TeamName, Tokens,
};

/// Name of the format.
pub const FORMAT: &str = "lentilglade-trace";
/// Version of the format that is written.
pub const VERSION: u32 = 1;

/// First line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: CompactString,
    /// Version of the format.
    pub version: u32,
    /// Where the trace comes from, for people.
    pub source: CompactString,
}

impl Header {
    /// A header of the present version.
    pub fn new(source: &str) -> Self {
        Self {
            format: FORMAT.into(),
            version: VERSION,
            source: source.into(),
        }
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// When it came, since the start of the trace.
    pub at: Instant,
    /// Whose it was.
    pub team: TeamName,
    /// How urgent it was.
    pub class: Class,
    /// The service asked.
    pub service: ServiceName,
    /// The model asked, at an engine service.
    pub model: Option<ModelName>,
    /// Hashes of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// Size of the prompt.
    pub prompt: Tokens,
    /// Size of the answer.
    pub output: Tokens,
    /// Key of a call that may run at most once.
    pub key: Option<IdempotencyKey>,
}
