//! A load generator: sends a recorded trace to an entry and reports endings and
//! latencies.
//!
//! [`Load::run`] sends each request of a trace at its time, whether or not
//! earlier ones have been answered, and returns a [`Report`]. [`plot::svg`]
//! plots it.

mod answer;
mod caller;
mod load;
pub mod plot;
mod prompt;
mod report;

pub use answer::{Answer, AnswerError, Ending};
pub use load::{Load, LoadError, Settings};
pub use prompt::messages;
pub use report::{ClassReport, LatencySummary, Report, TeamReport};
