//! The configuration text: one TOML document that lists everything that exists.
//!
//! [`Config::parse`] parses and validates it. The rest of the system sees only a
//! valid [`Config`], in which every name that is used is also defined. [`diff`]
//! compares two configurations; [`mod@reference`] lists all keys.
//!
//! ```
//! let text = r#"
//! region = "nw-georgia"
//!
//! [[place]]
//! name = "hall-intake"
//!
//! [[service]]
//! name = "dockdesk"
//! kind = "plain"
//! runners = [{ name = "dockdesk-1", place = "hall-intake", address = "127.0.0.1:7101" }]
//! "#;
//! let config = lentil_config::Config::parse(text)?;
//! assert_eq!(config.services.len(), 1);
//! # Ok::<(), lentil_config::Faults>(())
//! ```

mod change;
mod check;
mod config;
mod fault;
mod parse;
mod reader;
pub mod reference;

pub use change::{Change, diff};
pub use config::{
    Call, ClassRule, Config, KeyHash, LimitUnit, Model, Objective, Place, Role, Runner, Service,
    ServiceKind, Team, TeamLimit,
};
pub use fault::{Fault, FaultKind, Faults};
