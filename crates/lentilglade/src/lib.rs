//! The newcomer's door: a whole market in one process.

mod demo;
mod session;

pub use demo::{Demo, DemoError};
pub use session::{Row, Session};
