//! A demo of a whole region in one process, and the benchmarks.

pub mod bench;
pub mod capacity;
mod cpu;
mod demo;
mod session;

pub use demo::{Demo, DemoError};
pub use session::{Row, Session};
