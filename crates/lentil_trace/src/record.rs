//! The header and the requests of a trace.

use compact_str::CompactString;
use lentil_types::{
    Class, IdempotencyKey, Instant, ModelName, PieceHash, ServiceName, TeamName, Tokens,
};

/// Name of the format in the header.
pub const FORMAT: &str = "lentilglade-trace";
/// Version that is written and read.
pub const VERSION: u32 = 1;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Header {
    /// [`FORMAT`] in a valid trace.
    pub format: CompactString,
    /// Version of the format.
    pub version: u32,
    /// Origin of the trace, as text for people.
    pub source: CompactString,
}

impl Header {
    /// A header of the current version.
    pub fn new(source: &str) -> Self {
        Self {
            format: FORMAT.into(),
            version: VERSION,
            source: source.into(),
        }
    }
}

/// One recorded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Arrival time since the start of the trace.
    pub at: Instant,
    /// The team that sent it.
    pub team: TeamName,
    /// Its priority class.
    pub class: Class,
    /// The service that it was sent to.
    pub service: ServiceName,
    /// The model requested; `None` at a plain service.
    pub model: Option<ModelName>,
    /// Hash chain of the prompt's pieces.
    pub pieces: Vec<PieceHash>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Length of the answer.
    pub output: Tokens,
    /// Key of a call that may run at most once.
    pub key: Option<IdempotencyKey>,
}
