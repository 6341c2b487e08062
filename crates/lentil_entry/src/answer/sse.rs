//! An answer as server-sent events.

use std::io::{self, Write as _};

use lentil_policy::entry;
use lentil_types::RequestId;

use crate::{answer::Encode, check, openai, refusal};

/// Bytes of the comment before the first event. Trillium sends the beginning of
/// a body only when it no longer fits into the buffer of the head, so that
/// without it the first event would wait for the second.
const PADDING_BYTES: usize = 1_024;

/// Writes an answer as server-sent events.
pub(crate) struct Sse {
    request: RequestId,
    id: String,
    object: &'static str,
    created: u64,
    model: String,
    include_usage: bool,
}

impl Sse {
    pub(crate) fn new(
        request: RequestId,
        api: check::Api,
        created: u64,
        call: Answered<'_>,
    ) -> Self {
        let (prefix, object) = names(api);
        Self {
            request,
            id: format!("{prefix}-{request}"),
            object,
            created,
            model: call.model.to_owned(),
            include_usage: call.include_usage,
        }
    }

    /// The comment that goes before the first event.
    pub(crate) fn padding() -> Vec<u8> {
        let mut comment = vec![b' '; PADDING_BYTES];
        comment[0] = b':';
        comment.extend_from_slice(b"\n\n");
        comment
    }

    /// Gives a chunk the id, time and model of the whole answer. Returns `None`
    /// for a chunk that only says what the answer took: the entry makes its
    /// own, which counts over every attempt.
    fn chunk(&self, data: &[u8]) -> Option<String> {
        let Ok(mut chunk) = serde_json::from_slice::<openai::Chunk>(data) else {
            return Some(one_line(data));
        };
        let had_usage = chunk.usage.take().is_some();
        if had_usage && chunk.choices.is_empty() {
            return None;
        }
        chunk.id.clone_from(&self.id);
        self.object.clone_into(&mut chunk.object);
        chunk.created = self.created;
        chunk.model.clone_from(&self.model);
        Some(openai::to_json(&chunk))
    }
}

/// Data of an unknown kind, as the data of one event.
fn one_line(data: &[u8]) -> String {
    String::from_utf8_lossy(data).replace(['\r', '\n'], " ")
}

/// What an answer says of its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answered<'a> {
    /// The model, as the caller named it.
    pub(crate) model: &'a str,
    /// Whether the caller wants the usage in the last chunk.
    pub(crate) include_usage: bool,
}

/// What ids begin with and what chunks are called.
fn names(api: check::Api) -> (&'static str, &'static str) {
    match api {
        check::Api::Chat => ("chatcmpl", "chat.completion.chunk"),
        check::Api::Text => ("cmpl", "text_completion"),
    }
}

impl Encode for Sse {
    fn piece(&mut self, offset: u64, data: &[u8], out: &mut Vec<u8>) {
        if let Some(chunk) = self.chunk(data) {
            // Writing to a vector cannot fail.
            let _ = write!(out, "id: {}:{offset}\ndata: {chunk}\n\n", self.request);
        }
    }

    fn end(&mut self, ending: entry::Ending, out: &mut Vec<u8>) -> io::Result<()> {
        match ending {
            entry::Ending::Whole(usage) => {
                if self.include_usage {
                    let chunk = openai::UsageChunk {
                        id: &self.id,
                        object: self.object,
                        created: self.created,
                        model: &self.model,
                        choices: [],
                        usage: usage.into(),
                    };
                    write!(out, "data: {}\n\n", openai::to_json(&chunk))?;
                }
                out.extend_from_slice(b"data: [DONE]\n\n");
            }
            entry::Ending::Failed {
                outcome, reason, ..
            } => {
                let status = refusal::status_of(reason);
                let body = openai::error_body(status, &reason.to_string(), reason.into(), outcome);
                write!(out, "event: error\ndata: {body}\n\n")?;
            }
        }
        Ok(())
    }

    fn idle(&self) -> &'static [u8] {
        b":\n\n"
    }
}
