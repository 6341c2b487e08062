//! An OpenAI client for tests.

use std::{net, time};

use eventsource_stream::Eventsource as _;
use futures_lite::{AsyncRead, AsyncReadExt as _, Stream, StreamExt as _, stream};
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::{MODEL, wait};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4_096;

/// A client with the API key of one team, for one entry.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base: String,
    team: String,
    deadline: Option<time::Duration>,
}

/// The answer to a plain call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 when the connection failed before the response head.
    pub status: u16,
    /// Value of `x-lentil-outcome`.
    pub outcome: String,
    /// Value of `content-type`.
    pub content_type: String,
    /// Body as received; empty when it could not be read.
    pub body: Vec<u8>,
}

/// A streamed chat answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    /// HTTP status; 0 when the connection failed before the response head.
    pub status: u16,
    /// Text of all chunks.
    pub text: String,
    /// Cached prompt tokens according to the usage chunk.
    pub cached: u64,
    /// Error event or error body.
    pub error: Option<serde_json::Value>,
    /// Whether `[DONE]` was received.
    pub done: bool,
}

impl Streamed {
    /// Whether the answer arrived completely and without an error.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.done && self.error.is_none()
    }

    /// The error's code; empty without an error.
    pub fn code(&self) -> &str {
        let error = self.error.as_ref();
        error
            .and_then(|error| error["error"]["code"].as_str())
            .unwrap_or_default()
    }
}

impl Caller {
    /// A caller with the demo API key of `team`.
    pub fn new(entry: net::SocketAddr, team: &str) -> Self {
        Self {
            client: Client::new(ClientConfig::new()),
            base: format!("http://{entry}"),
            team: team.to_owned(),
            deadline: None,
        }
    }

    /// The same caller, which sends this deadline with its plain calls.
    #[must_use]
    pub fn with_deadline(self, deadline: time::Duration) -> Self {
        Self {
            deadline: Some(deadline),
            ..self
        }
    }

    /// Streams the answer to a prompt until it ends.
    pub async fn stream(&self, prompt: &str) -> Streamed {
        self.stream_with(prompt, |_| {}).await
    }

    /// Streams the answer to a prompt and calls `on_event` after each event with the
    /// number of events so far.
    pub async fn stream_with(&self, prompt: &str, mut on_event: impl FnMut(usize)) -> Streamed {
        let body = serde_json::json!({
            "model": MODEL, "stream": true, "stream_options": { "include_usage": true },
            "messages": [{ "role": "user", "content": prompt }],
        });
        let conn = self
            .client
            .post(format!("{}/v1/chat/completions", self.base).as_str())
            .with_request_header("authorization", self.authorization())
            .with_body(body.to_string());
        let mut streamed = Streamed::default();
        let Ok(mut conn) = wait::within("the head of a stream", conn).await else {
            return streamed;
        };
        streamed.status = conn.status().map_or(0, |status| status as u16);
        if streamed.status != 200 {
            let body = conn.response_body().read_bytes().await;
            streamed.error = body
                .ok()
                .and_then(|body| serde_json::from_slice(&body).ok());
            return streamed;
        }
        let mut events = Box::pin(chunks(conn.response_body()).eventsource());
        let mut count = 0;
        while let Some(Ok(event)) = wait::within("an event", events.next()).await {
            streamed.record_event(&event.event, &event.data);
            count += 1;
            on_event(count);
        }
        streamed
    }

    /// Calls the plain service `desk`, with an idempotency key if there is one.
    pub async fn plain(&self, method: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
        let url = format!("{}/services/desk{path}", self.base);
        let mut conn = self
            .client
            .build_conn(method, url.as_str())
            .with_request_header("authorization", self.authorization())
            .with_body(body.to_owned());
        if let Some(key) = key {
            conn.request_headers_mut()
                .insert("idempotency-key", key.to_owned());
        }
        if let Some(deadline) = self.deadline {
            let ms = deadline.as_millis().to_string();
            conn.request_headers_mut()
                .insert("x-lentil-deadline-ms", ms);
        }
        let Ok(mut conn) = wait::within("an answer", conn).await else {
            return Answer::default();
        };
        let header = |name: &str| {
            let value = conn.response_headers().get_str(name);
            value.unwrap_or_default().to_owned()
        };
        let mut answer = Answer {
            status: conn.status().map_or(0, |status| status as u16),
            outcome: header("x-lentil-outcome"),
            content_type: header("content-type"),
            body: Vec::new(),
        };
        answer.body = conn.response_body().read_bytes().await.unwrap_or_default();
        answer
    }

    fn authorization(&self) -> String {
        format!("Bearer demo-{}", self.team)
    }
}

impl Streamed {
    fn record_event(&mut self, event: &str, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let data: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if event == "error" || data.get("error").is_some() {
            self.error = Some(data);
            return;
        }
        let content = data["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(content.unwrap_or_default());
        let cached = data["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64();
        self.cached = cached.unwrap_or(self.cached);
    }
}

type Chunk = Result<Vec<u8>, std::io::Error>;

/// The body as a stream of byte chunks. A read error ends the stream.
fn chunks<'a>(body: impl AsyncRead + Send + Unpin + 'a) -> impl Stream<Item = Chunk> + Send + 'a {
    stream::unfold(body, |mut body| async move {
        let mut buffer = vec![0; READ_BYTES];
        let read = body.read(&mut buffer).await.unwrap_or(0);
        buffer.truncate(read);
        (read > 0).then_some((Ok(buffer), body))
    })
}
