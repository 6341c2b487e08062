//! The operators' text: one TOML document that says what exists.
//!
//! [`Market::parse`] reads and checks it. The rest of the system sees only a
//! checked [`Market`], in which every name that is used is also defined.
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
//! let market = lentil_config::Market::parse(text)?;
//! assert_eq!(market.services.len(), 1);
//! # Ok::<(), lentil_config::Faults>(())
//! ```

mod change;
mod check;
mod fault;
mod market;
mod parse;
mod reader;
pub mod reference;

pub use change::{Change, diff};
pub use fault::{Fault, FaultKind, Faults};
pub use market::{
    Call, ClassRule, KeyHash, Market, Model, Objective, Place, Role, Runner, Service, ServiceKind,
    Team,
};
