//! The newcomer's door: a whole market in one process.

pub mod bench;
pub mod capacity;
mod cpu;
mod demo;
mod session;

pub use demo::{Demo, DemoError};
pub use session::{Row, Session};
