//! The newcomer's door: a whole market in one process.

pub mod bench;
mod demo;
mod session;

pub use demo::{Demo, DemoError};
pub use session::{Row, Session};
