//! Ids, sizes, rates and outcomes that all crates of lentilglade share.
//!
//! Every type here is a newtype or a named enum with `Display` and `FromStr`,
//! so that a request id cannot be passed as an attempt, nor bytes as tokens.
//!
//! ```
//! use lentil_types::{Class, ServiceName};
//!
//! let service: ServiceName = "sortmind".parse()?;
//! assert_eq!(service.to_string(), "sortmind");
//! assert_eq!("urgent".parse::<Class>()?, Class::Urgent);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod class;
mod id;
mod name;
mod outcome;
mod piece;
mod prompt;
mod rate;
mod runner_state;
mod size;
mod table;
mod time;
mod version;

pub use class::Class;
pub use id::{Attempt, AttemptId, BootId, Fingerprint, ParseIdError, RequestId};
pub use name::{
    AdapterName, IdempotencyKey, ModelName, NameError, NodeName, PlaceName, RegionName, RunnerName,
    ScopeName, ServiceName, TeamName,
};
pub use outcome::{FailReason, Outcome};
pub use piece::{PIECE_TOKENS, PieceHash, PieceSeed};
pub use prompt::PromptPieces;
pub use rate::{ParseRateError, RequestRate, TokenRate, UnitRate};
pub use runner_state::RunnerState;
pub use size::{Bytes, ParseSizeError, Pieces, Tokens, Units};
pub use table::Table;
pub use time::Instant;
pub use version::{ConfigVersion, FencingNumber, SoftwareVersion, WeightsVersion};
