//! What a caller does and sees.

use std::{net, time};

use eventsource_stream::Eventsource as _;
use futures_lite::{AsyncRead, AsyncReadExt as _, Stream, StreamExt as _, stream};
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::{MODEL, wait};

/// Bytes read at once.
const READ_BYTES: usize = 4_096;

/// A caller of one team at one entry.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    base: String,
    team: String,
    deadline: Option<time::Duration>,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// HTTP status; 0 when the connection broke off before the head.
    pub status: u16,
    /// What became of the request, as the entry says.
    pub outcome: String,
    /// Content type.
    pub content: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A streamed answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    /// HTTP status.
    pub status: u16,
    /// The text, joined.
    pub text: String,
    /// Prompt tokens that were cached.
    pub cached: u64,
    /// The error event or error body, if any.
    pub error: Option<serde_json::Value>,
    /// Whether `[DONE]` came.
    pub done: bool,
}

impl Streamed {
    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.done && self.error.is_none()
    }

    /// The code of the error, if any.
    pub fn code(&self) -> &str {
        let error = self.error.as_ref();
        error
            .and_then(|error| error["error"]["code"].as_str())
            .unwrap_or_default()
    }
}

impl Caller {
    /// A caller of `team`.
    pub fn new(entry: net::SocketAddr, team: &str) -> Self {
        Self {
            client: Client::new(ClientConfig::new()),
            base: format!("http://{entry}"),
            team: team.to_owned(),
            deadline: None,
        }
    }

    /// The same caller, who waits no longer than this for the end of a plain
    /// call.
    #[must_use]
    pub fn with_deadline(self, deadline: time::Duration) -> Self {
        Self {
            deadline: Some(deadline),
            ..self
        }
    }

    /// Streams the answer to a prompt up to its end.
    pub async fn stream(&self, prompt: &str) -> Streamed {
        self.stream_with(prompt, |_| {}).await
    }

    /// Streams the answer to a prompt and tells `on_piece` the number of pieces
    /// so far after each.
    pub async fn stream_with(&self, prompt: &str, mut on_piece: impl FnMut(usize)) -> Streamed {
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
        let mut pieces = 0;
        while let Some(Ok(event)) = wait::within("a piece", events.next()).await {
            streamed.take_in(&event.event, &event.data);
            pieces += 1;
            on_piece(pieces);
        }
        streamed
    }

    /// Calls a plain service.
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
            content: header("content-type"),
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
    fn take_in(&mut self, event: &str, data: &str) {
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

fn chunks<'a>(body: impl AsyncRead + Send + Unpin + 'a) -> impl Stream<Item = Chunk> + Send + 'a {
    stream::unfold(body, |mut body| async move {
        let mut buffer = vec![0; READ_BYTES];
        let read = body.read(&mut buffer).await.unwrap_or(0);
        buffer.truncate(read);
        (read > 0).then_some((Ok(buffer), body))
    })
}
