//! The operators' text: one TOML document that says what exists.
//!
//! [`Config::parse`] reads and checks it. The rest of the system sees only a
//! checked [`Config`], in which every name that is used is also defined.
//! [`diff`] says what changes between two of them, and [`mod@reference`] lists every
//! key that a text may have.
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
    Call, ClassRule, Config, KeyHash, Model, Objective, Place, Role, Runner, Service, ServiceKind,
    Team,
};
pub use fault::{Fault, FaultKind, Faults};
