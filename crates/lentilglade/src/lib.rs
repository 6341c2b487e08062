//! The newcomer's door: a whole market in one process.

pub mod bench;
mod demo;
mod session;
mod store;

pub use demo::{Demo, DemoError};
pub use session::{Row, Session};
