//! Encodes an answer as server-sent events.

use std::io::{self, Write as _};

use lentil_policy::entry;
use lentil_types::RequestId;
use serde_json::value::RawValue;

use crate::{answer::Encode, check, openai, refusal};

/// Size of the comment before the first event, in bytes. Trillium sends the start
/// of a body only when it no longer fits into the buffer of the head, so without
/// the comment the first event would wait for the second.
const PADDING_BYTES: usize = 1_024;

/// JSON of an empty list of choices.
const NO_CHOICES: &str = "[]";

/// Encodes an answer as server-sent events.
pub(crate) struct Sse {
    request: RequestId,
    shared: SharedFields,
    include_usage: bool,
}

/// Fields that are the same in every chunk of an answer.
struct SharedFields {
    id: Box<RawValue>,
    object: Box<RawValue>,
    created: Box<RawValue>,
    model: Box<RawValue>,
}

/// Options of a request that shape its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerOptions<'a> {
    /// The model, as the caller named it.
    pub(crate) model: &'a str,
    /// Whether the caller wants the usage in the last chunk.
    pub(crate) include_usage: bool,
}

impl SharedFields {
    fn new(request: RequestId, kind: check::CompletionKind, created: u64, model: &str) -> Self {
        let (prefix, object) = match kind {
            check::CompletionKind::Chat => ("chatcmpl", "chat.completion.chunk"),
            check::CompletionKind::Text => ("cmpl", "text_completion"),
        };
        Self {
            id: openai::to_raw(&format!("{prefix}-{request}")),
            object: openai::to_raw(&object),
            created: openai::to_raw(&created),
            model: openai::to_raw(&model),
        }
    }
}

impl Sse {
    pub(crate) fn new(
        request: RequestId,
        kind: check::CompletionKind,
        created: u64,
        options: AnswerOptions<'_>,
    ) -> Self {
        Self {
            request,
            shared: SharedFields::new(request, kind, created, options.model),
            include_usage: options.include_usage,
        }
    }

    /// A comment of [`PADDING_BYTES`], sent before the first event.
    pub(crate) fn padding() -> Vec<u8> {
        let mut comment = vec![b' '; PADDING_BYTES];
        comment[0] = b':';
        comment.extend_from_slice(b"\n\n");
        comment
    }

    /// Writes a chunk's event, with the id, time and model of the whole answer.
    /// A chunk that only reports the usage is left out: the entry sends its own,
    /// which counts every attempt.
    fn write_event(&self, offset: u64, data: &[u8], out: &mut Vec<u8>) -> io::Result<()> {
        let chunk = serde_json::from_slice::<openai::RawChunk<'_>>(data);
        let Ok(openai::RawChunk(mut fields)) = chunk else {
            return write!(
                out,
                "id: {}:{offset}\ndata: {}\n\n",
                self.request,
                single_line(data)
            );
        };
        let usage = fields.remove("usage");
        let choices = fields.get("choices");
        if usage.is_some() && choices.is_none_or(|choices| choices.get() == NO_CHOICES) {
            return Ok(());
        }
        fields.insert("id", &self.shared.id);
        fields.insert("object", &self.shared.object);
        fields.insert("created", &self.shared.created);
        fields.insert("model", &self.shared.model);
        write!(out, "id: {}:{offset}\ndata: ", self.request)?;
        serde_json::to_writer(&mut *out, &openai::RawChunk(fields))?;
        out.extend_from_slice(b"\n\n");
        Ok(())
    }
}

/// Data that is not a chunk, as one line.
fn single_line(data: &[u8]) -> String {
    String::from_utf8_lossy(data).replace(['\r', '\n'], " ")
}

impl Encode for Sse {
    fn piece(&mut self, offset: u64, data: &[u8], out: &mut Vec<u8>) {
        // Writing to a vector cannot fail.
        let _ = self.write_event(offset, data, out);
    }

    fn end(&mut self, ending: entry::Ending, out: &mut Vec<u8>) -> io::Result<()> {
        match ending {
            entry::Ending::Whole(usage) => {
                if self.include_usage {
                    let chunk = openai::UsageChunk {
                        id: &self.shared.id,
                        object: &self.shared.object,
                        created: &self.shared.created,
                        model: &self.shared.model,
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
                let body = refusal::failed_body(outcome, reason);
                write!(out, "event: error\ndata: {body}\n\n")?;
            }
        }
        Ok(())
    }

    fn keep_alive(&self) -> &'static [u8] {
        b":\n\n"
    }
}
