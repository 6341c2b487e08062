//! Answers to callers.

mod collect;
mod pass;
mod reader;
mod sse;

pub(crate) use collect::Collector;
pub(crate) use pass::Raw;
pub(crate) use reader::{AnswerReader, Encode};
pub(crate) use sse::{Answered, Sse};
