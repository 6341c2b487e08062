//! Streams the answer to one request.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task, time,
};

use futures_lite::{AsyncRead, AsyncWriteExt as _};
use lentil_types::{Tokens, WeightsVersion};

use super::{
    request::{ChunkFormat, Request},
    slots::Slot,
    state::{State, StreamFault},
};

/// Bytes of an answer buffered for its reader.
const PIPE_BYTES: usize = 64 * 1024;
/// Interval at which an answer checks whether the engine has crashed.
const CRASH_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Body of a streamed answer. If its writer stops before it has set `ended`, the
/// connection is aborted.
pub(super) struct AnswerBody {
    reader: piper::Reader,
    ended: Arc<AtomicBool>,
}

impl AsyncRead for AnswerBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let read = task::ready!(Pin::new(&mut self.reader).poll_read(context, buffer))?;
        if read == 0 && !self.ended.load(Ordering::Acquire) {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        task::Poll::Ready(Ok(read))
    }
}

/// A request whose prompt is prefilled and whose answer can be streamed.
pub(super) struct Run {
    pub(super) request: Request,
    pub(super) weights: WeightsVersion,
    /// Leading pieces of the prompt that were cached.
    pub(super) cached: usize,
    pub(super) fault: Option<StreamFault>,
    pub(super) _slot: Slot,
    pub(super) _running: Running,
}

/// Guard that counts a request as running until it is dropped.
pub(super) struct Running(Arc<State>);

impl Running {
    pub(super) fn new(state: &Arc<State>) -> Self {
        state.boot(|boot| boot.running += 1);
        state.counters(|counters| counters.runs += 1);
        Self(state.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0
            .boot(|boot| boot.running = boot.running.saturating_sub(1));
    }
}

/// Streams an answer in the background, until it is complete, its reader is gone,
/// the request is cancelled or the engine crashes.
pub(super) fn start(state: &Arc<State>, run: Run) -> AnswerBody {
    let (reader, writer) = piper::pipe(PIPE_BYTES);
    let ended = Arc::new(AtomicBool::new(false));
    let body = AnswerBody {
        reader,
        ended: ended.clone(),
    };
    let (cancel, cancelled) = smol::channel::bounded::<()>(1);
    let id = run.request.id.clone();
    let state = state.clone();
    state
        .cancels
        .lock()
        .expect("no holder panics")
        .push((id.clone(), cancel));
    let boot = state.boot(|boot| boot.id);
    smol::spawn(async move {
        let mut answer = Writer {
            state: state.clone(),
            run,
            writer,
            ended,
        };
        let write = async { answer.write().await.is_ok() };
        let cancel = async {
            if cancelled.recv().await.is_err() {
                // Another request with the same id has ended.
                smol::future::pending::<()>().await;
            }
            false
        };
        let crashed = async {
            while state.boot(|boot| boot.id) == boot {
                smol::Timer::after(CRASH_CHECK_INTERVAL).await;
            }
            true
        };
        let written = smol::future::or(write, smol::future::or(cancel, crashed)).await;
        if !written {
            state.counters(|counters| counters.cancelled += 1);
        }
        let mut cancels = state.cancels.lock().expect("no holder panics");
        cancels.retain(|(other, _)| *other != id);
    })
    .detach();
    body
}

struct Writer {
    state: Arc<State>,
    run: Run,
    writer: piper::Writer,
    ended: Arc<AtomicBool>,
}

impl Writer {
    async fn write(&mut self) -> io::Result<()> {
        let words = self.run.request.words;
        let tokens = self.run.request.prompt_tokens();
        let cached = self.run.request.cached_tokens(self.run.cached);
        for offset in self.run.request.resume_offset..words + 2 {
            self.state.gate.pass().await;
            if offset < words {
                smol::Timer::after(self.pace()).await;
            }
            let chunk = match offset.checked_sub(words) {
                None => self.word_chunk(offset),
                Some(0) => self.chunk("", Some("stop")),
                Some(_) => self.usage_chunk(tokens, cached),
            };
            let foreign = self.foreign_chunk();
            match self.run.fault {
                Some(StreamFault::Cut(at)) if at == offset => return Ok(()),
                Some(StreamFault::End(at)) if at == offset => return self.end(),
                Some(StreamFault::Stall(at)) if at == offset => smol::future::pending().await,
                Some(StreamFault::Skip(at)) if at == offset => {}
                Some(StreamFault::Swap(at)) if at == offset => self.send(offset, &foreign).await?,
                Some(StreamFault::Duplicate(at)) if at == offset => {
                    self.send(offset, &chunk).await?;
                    self.send(offset, &chunk).await?;
                }
                _ => self.send(offset, &chunk).await?,
            }
        }
        self.writer.write_all(b"data: [DONE]\n\n").await?;
        self.end()
    }

    fn end(&mut self) -> io::Result<()> {
        self.ended.store(true, Ordering::Release);
        Ok(())
    }

    fn pace(&self) -> time::Duration {
        let overridden = self.state.switches(|switches| switches.pace);
        overridden.unwrap_or(self.state.settings.pace)
    }

    fn word_chunk(&self, offset: usize) -> serde_json::Value {
        self.chunk(&self.run.request.word(self.run.weights, offset), None)
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> serde_json::Value {
        let request = &self.run.request;
        let choice = match request.format {
            ChunkFormat::Chat => {
                let delta = match text {
                    "" => serde_json::json!({}),
                    text => serde_json::json!({ "content": text }),
                };
                serde_json::json!({ "index": 0, "delta": delta, "finish_reason": finish })
            }
            ChunkFormat::Text => {
                serde_json::json!({ "index": 0, "text": text, "finish_reason": finish })
            }
        };
        serde_json::json!({
            "id": request.id, "object": self.object(), "model": request.model,
            "choices": [choice],
        })
    }

    fn usage_chunk(&self, tokens: Tokens, cached: Tokens) -> serde_json::Value {
        let request = &self.run.request;
        serde_json::json!({
            "id": request.id, "object": self.object(), "model": request.model, "choices": [],
            "usage": {
                "prompt_tokens": tokens.0,
                "completion_tokens": request.words,
                "total_tokens": tokens.0 + request.words as u64,
                "prompt_tokens_details": { "cached_tokens": cached.0 },
            },
        })
    }

    /// A chunk with the id of another request.
    fn foreign_chunk(&self) -> serde_json::Value {
        let mut chunk = self.chunk("crossed ", None);
        chunk["id"] = "another-request".into();
        chunk
    }

    fn object(&self) -> &'static str {
        match self.run.request.format {
            ChunkFormat::Chat => "chat.completion.chunk",
            ChunkFormat::Text => "text_completion",
        }
    }

    async fn send(&mut self, offset: usize, chunk: &serde_json::Value) -> io::Result<()> {
        let event = format!("id: {offset}\ndata: {chunk}\n\n");
        self.writer.write_all(event.as_bytes()).await
    }
}
