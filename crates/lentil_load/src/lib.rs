//! A load tool: sends a recorded trace to an entry and reports what callers
//! saw.
//!
//! [`Load::run`] sends each request of a trace at its time, whether or not
//! earlier ones have been answered, and returns a [`Report`]. [`plot::svg`]
//! draws it.

mod answer;
mod caller;
mod load;
pub mod plot;
mod prompt;
mod report;

pub use answer::{Answer, Break, Ending};
pub use load::{Load, LoadError, Settings};
pub use prompt::messages;
pub use report::{ClassReport, Report, Spread, TeamReport};
