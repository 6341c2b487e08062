//! Encodes answers for callers.

mod collect;
mod passthrough;
mod reader;
mod sse;

pub(crate) use collect::Collector;
pub(crate) use passthrough::Passthrough;
pub(crate) use reader::{AnswerReader, Encode};
pub(crate) use sse::{AnswerOptions, Sse};
