//! Sends one request and times its answer.

use std::{fmt, io, time};

use eventsource_stream::{EventStreamError, Eventsource as _};
use futures_lite::{AsyncReadExt as _, StreamExt as _, stream};
use lentil_trace::Record;
use lentil_types::{Outcome, Tokens};
use trillium_client::{Client, Conn};

use crate::{Answer, AnswerError, Ending, prompt};

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

/// HTTP client for one entry.
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) base_url: String,
    pub(crate) key_prefix: String,
}

impl Caller {
    /// Sends the request of a record and waits for its answer.
    pub(crate) async fn call(&self, record: &Record) -> Answer {
        let mut timer = AnswerTimer::new(record);
        let ending = match record.model {
            Some(_) => self.stream_completion(record, &mut timer).await,
            None => self.call_service(record).await,
        };
        timer.answer.duration = timer.start.elapsed();
        timer.answer.ending = ending.unwrap_or_else(Ending::Broken);
        timer.answer
    }

    async fn stream_completion(
        &self,
        record: &Record,
        timer: &mut AnswerTimer,
    ) -> Result<Ending, AnswerError> {
        let body = serde_json::json!({
            "model": record.model,
            "messages": prompt::messages(&record.pieces, record.prompt),
            "max_tokens": record.output.0,
            "stream": true,
            "stream_options": { "include_usage": true },
        });
        let conn = self
            .build_request("POST", "/v1/chat/completions", record)
            .with_body(body.to_string());
        let mut conn = conn.await.map_err(connection)?;
        if let Some(ending) = error_response(&conn) {
            return Ok(ending);
        }
        let chunks = stream::unfold(conn.response_body(), |mut body| async move {
            let mut buffer = vec![0; READ_BYTES];
            match body.read(&mut buffer).await {
                Ok(0) => None,
                Ok(read) => {
                    buffer.truncate(read);
                    Some((Ok(buffer), body))
                }
                Err(error) => Some((Err(error), body)),
            }
        });
        let mut events = Box::pin(chunks.eventsource());
        while let Some(event) = events.next().await {
            let event = event.map_err(stream_error)?;
            if event.data == "[DONE]" {
                return Ok(Ending::Whole);
            }
            let value: serde_json::Value = serde_json::from_str(&event.data).map_err(invalid)?;
            if let Some(error) = value.get("error") {
                return Ok(Ending::Error {
                    outcome: outcome_of(error),
                    status: 200,
                });
            }
            timer.on_chunk(&value);
        }
        Err(AnswerError::NoEnd)
    }

    async fn call_service(&self, record: &Record) -> Result<Ending, AnswerError> {
        let path = format!("/services/{}/", record.service);
        let method = if record.key.is_some() { "POST" } else { "GET" };
        let mut conn = self.build_request(method, &path, record);
        if let Some(key) = &record.key {
            conn.request_headers_mut()
                .insert("idempotency-key", key.to_string());
        }
        let mut conn = conn.await.map_err(connection)?;
        if let Some(ending) = error_response(&conn) {
            return Ok(ending);
        }
        conn.response_body()
            .read_bytes()
            .await
            .map_err(connection)?;
        Ok(Ending::Whole)
    }

    fn build_request(&self, method: &str, path: &str, record: &Record) -> Conn {
        let url = format!("{}{path}", self.base_url);
        self.client
            .build_conn(method, url.as_str())
            .with_request_header(
                "authorization",
                format!("Bearer {}{}", self.key_prefix, record.team),
            )
            .with_request_header("x-lentil-class", record.class.to_string())
    }
}

/// Times an answer while it is received.
struct AnswerTimer {
    start: time::Instant,
    last_piece: Option<time::Instant>,
    answer: Answer,
}

impl AnswerTimer {
    fn new(record: &Record) -> Self {
        let answer = Answer {
            team: record.team.clone(),
            class: record.class,
            ending: Ending::Broken(AnswerError::NoEnd),
            first_piece: None,
            longest_gap: None,
            duration: time::Duration::ZERO,
            prompt: Tokens(0),
            cached: Tokens(0),
            output: Tokens(0),
        };
        Self {
            start: time::Instant::now(),
            last_piece: None,
            answer,
        }
    }

    fn on_chunk(&mut self, chunk: &serde_json::Value) {
        let usage = &chunk["usage"];
        if usage.is_object() {
            let tokens = |value: &serde_json::Value| Tokens(value.as_u64().unwrap_or(0));
            self.answer.prompt = tokens(&usage["prompt_tokens"]);
            self.answer.cached = tokens(&usage["prompt_tokens_details"]["cached_tokens"]);
            self.answer.output = tokens(&usage["completion_tokens"]);
        }
        let has_text = chunk["choices"][0]["delta"]["content"].is_string();
        if !has_text {
            return;
        }
        let now = time::Instant::now();
        match self.last_piece.replace(now) {
            None => self.answer.first_piece = Some(now - self.start),
            Some(last) => self.answer.longest_gap = self.answer.longest_gap.max(Some(now - last)),
        }
    }
}

fn connection(error: impl fmt::Display) -> AnswerError {
    AnswerError::Connection(error.to_string())
}

fn invalid(error: impl fmt::Display) -> AnswerError {
    AnswerError::Invalid(error.to_string())
}

fn stream_error(error: EventStreamError<io::Error>) -> AnswerError {
    match error {
        EventStreamError::Transport(error) => connection(error),
        other => invalid(other),
    }
}

/// The ending of an answer with an error status.
fn error_response(conn: &Conn) -> Option<Ending> {
    let status = conn.status().map_or(0, |status| status as u16);
    if (200..300).contains(&status) {
        return None;
    }
    let header = conn.response_headers().get_str("x-lentil-outcome");
    let outcome = header
        .and_then(|text| text.parse().ok())
        .unwrap_or(Outcome::Unknown);
    Some(Ending::Error { outcome, status })
}

fn outcome_of(error: &serde_json::Value) -> Outcome {
    let outcome = error["outcome"].as_str().and_then(|text| text.parse().ok());
    outcome.unwrap_or(Outcome::Unknown)
}
