//! The HTTP interface for callers.

use std::sync::Arc;

use futures_lite::AsyncWriteExt as _;
use lentil_config::Market;
use lentil_policy::{entry, protocol};
use lentil_process::Clock;
use lentil_types::{Outcome, RequestId};
use smol::channel::Sender;
use trillium::{Conn, KnownHeaderName};
use trillium_router::{Router, RouterConnExt as _};

use crate::{
    caller,
    driver::Input,
    reply::{Replies, Reply},
};

/// Bytes of an answer that may wait for a slow caller.
const CALLER_BUFFER_BYTES: usize = 64 * 1024;

struct Api {
    market: Arc<Market>,
    inputs: Sender<Input>,
    clock: Clock,
}

/// The handler of every path.
pub(crate) fn handler(
    market: Arc<Market>,
    inputs: Sender<Input>,
    clock: Clock,
) -> impl trillium::Handler {
    let api = Arc::new(Api {
        market,
        inputs,
        clock,
    });
    let (models, chat, plain) = (api.clone(), api.clone(), api);
    Router::new()
        .get("/v1/models", move |conn: Conn| {
            let api = models.clone();
            async move { api.models(conn) }
        })
        .post("/v1/chat/completions", move |conn: Conn| {
            let api = chat.clone();
            async move { api.chat(conn).await }
        })
        .any(
            &["get", "post", "put", "delete", "patch"],
            "/services/:service/*",
            move |conn: Conn| {
                let api = plain.clone();
                async move { api.plain(conn).await }
            },
        )
}

impl Api {
    fn models(&self, conn: Conn) -> Conn {
        let model = |model: &lentil_config::Model| serde_json::json!({ "id": model.name, "object": "model", "owned_by": model.service });
        let data: Vec<_> = self.market.models.iter().map(model).collect();
        json(
            conn,
            200,
            &serde_json::json!({ "object": "list", "data": data }),
        )
    }

    async fn chat(&self, mut conn: Conn) -> Conn {
        let request = RequestId(rand::random());
        let headers = headers(&conn);
        let body = match conn.request_body_string().await {
            Ok(body) => body,
            Err(error) => return refuse(conn, &caller::Refusal::BadBody(error.to_string())),
        };
        let checked = caller::chat(
            &self.market,
            self.clock.now(),
            request,
            &headers,
            body.as_bytes(),
        );
        let call = match checked {
            Ok(call) => call,
            Err(refusal) => return refuse(conn, &refusal),
        };
        let mut replies = self.submit(call.arrival).await;
        let first = replies.next().await;
        if let Some(Reply::End(entry::Ending::Failed {
            outcome,
            reason,
            retry,
        })) = first
        {
            return fail(conn, request, outcome, reason, retry);
        }
        if call.stream {
            stream(conn, request, replies)
        } else {
            collect(conn, request, &call.model, replies).await
        }
    }

    async fn plain(&self, mut conn: Conn) -> Conn {
        let request = RequestId(rand::random());
        let headers = headers(&conn);
        let service = conn.param("service").unwrap_or_default().to_owned();
        let path = format!("/{}", conn.wildcard().unwrap_or_default());
        let body = match conn.request_body_string().await {
            Ok(body) => body,
            Err(error) => return refuse(conn, &caller::Refusal::BadBody(error.to_string())),
        };
        let content_type = headers.content_type.clone().map(|value| protocol::Header {
            name: "content-type".to_owned(),
            value,
        });
        let call = protocol::HttpCall {
            method: conn.method().to_string(),
            path,
            headers: content_type.into_iter().collect(),
            body: body.into_bytes().into(),
        };
        let now = self.clock.now();
        match caller::plain(&self.market, now, request, &headers, &service, call) {
            Ok(arrival) => pass(conn, request, self.submit(arrival).await).await,
            Err(refusal) => refuse(conn, &refusal),
        }
    }

    async fn submit(&self, arrival: Box<entry::Arrival>) -> Replies {
        let (outbox, inbox) = smol::channel::unbounded();
        let replies = Replies::new(arrival.request, inbox, self.inputs.clone());
        // When the driver is gone the reply channel closes, which ends the reply.
        let _ = self.inputs.send(Input::Arrived(arrival, outbox)).await;
        replies
    }
}

// ---------------------------------------------------------------------------
// Replies

/// Streams an answer as server-sent events.
fn stream(conn: Conn, request: RequestId, mut replies: Replies) -> Conn {
    let (reader, mut writer) = piper::pipe(CALLER_BUFFER_BYTES);
    smol::spawn(async move {
        while let Some(reply) = replies.next().await {
            let event = match reply {
                Reply::Head { .. } => continue,
                Reply::Piece { offset, data } => {
                    format!(
                        "id: {request}:{offset}\ndata: {}\n\n",
                        String::from_utf8_lossy(&data)
                    )
                }
                Reply::End(entry::Ending::Whole(_)) => "data: [DONE]\n\n".to_owned(),
                Reply::End(entry::Ending::Failed {
                    outcome, reason, ..
                }) => {
                    let body = caller::error_body(&reason.to_string(), reason.into(), outcome);
                    format!("event: error\ndata: {body}\n\n")
                }
            };
            if writer.write_all(event.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .detach();
    conn.with_response_header("x-lentil-request", request.to_string())
        .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .with_response_header(KnownHeaderName::CacheControl, "no-cache")
        .ok(trillium::Body::new_streaming(reader, None))
}

/// Gathers an answer and sends it as one object.
async fn collect(conn: Conn, request: RequestId, model: &str, mut replies: Replies) -> Conn {
    let mut text = String::new();
    let mut finish = serde_json::Value::Null;
    while let Some(reply) = replies.next().await {
        match reply {
            Reply::Head { .. } => {}
            Reply::Piece { data, .. } => {
                let chunk: serde_json::Value = serde_json::from_slice(&data).unwrap_or_default();
                let choice = &chunk["choices"][0];
                text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
                if choice["finish_reason"].is_string() {
                    finish = choice["finish_reason"].clone();
                }
            }
            Reply::End(entry::Ending::Whole(usage)) => {
                let body = serde_json::json!({
                    "id": format!("chatcmpl-{request}"), "object": "chat.completion",
                    "model": model,
                    "choices": [{
                        "index": 0, "finish_reason": finish,
                        "message": { "role": "assistant", "content": text },
                    }],
                    "usage": {
                        "prompt_tokens": usage.prompt.0,
                        "completion_tokens": usage.output.0,
                        "total_tokens": usage.prompt.0 + usage.output.0,
                        "prompt_tokens_details": { "cached_tokens": usage.cached.0 },
                    },
                });
                return json(done(conn, request), 200, &body);
            }
            Reply::End(entry::Ending::Failed {
                outcome,
                reason,
                retry,
            }) => {
                return fail(conn, request, outcome, reason, retry);
            }
        }
    }
    gone(conn, request)
}

/// Passes a plain service's answer on.
async fn pass(mut conn: Conn, request: RequestId, mut replies: Replies) -> Conn {
    let mut body = Vec::new();
    let mut code = 200;
    while let Some(reply) = replies.next().await {
        match reply {
            Reply::Head { status, headers } => {
                code = status;
                for header in headers {
                    conn.response_headers_mut()
                        .insert(header.name, header.value);
                }
            }
            Reply::Piece { data, .. } => body.extend_from_slice(&data),
            Reply::End(entry::Ending::Whole(_)) => {
                return done(conn, request).with_status(code).with_body(body).halt();
            }
            Reply::End(entry::Ending::Failed {
                outcome,
                reason,
                retry,
            }) => {
                return fail(conn, request, outcome, reason, retry);
            }
        }
    }
    gone(conn, request)
}

fn done(conn: Conn, request: RequestId) -> Conn {
    conn.with_response_header("x-lentil-request", request.to_string())
        .with_response_header("x-lentil-outcome", Outcome::Done.to_string())
}

fn fail(
    conn: Conn,
    request: RequestId,
    outcome: Outcome,
    reason: lentil_types::FailReason,
    retry: Option<std::time::Duration>,
) -> Conn {
    let body = caller::error_body(&reason.to_string(), reason.into(), outcome);
    let mut conn = conn
        .with_response_header("x-lentil-request", request.to_string())
        .with_response_header("x-lentil-outcome", outcome.to_string());
    if let Some(retry) = retry {
        let seconds = retry.as_secs().max(1).to_string();
        conn.response_headers_mut()
            .insert(KnownHeaderName::RetryAfter, seconds);
    }
    json(conn, caller::status_of(reason), &body)
}

/// The process stops and its driver is gone.
fn gone(conn: Conn, request: RequestId) -> Conn {
    fail(
        conn,
        request,
        Outcome::Unknown,
        lentil_types::FailReason::Leaving,
        None,
    )
}

fn refuse(conn: Conn, refusal: &caller::Refusal) -> Conn {
    let body = caller::error_body(&refusal.to_string(), refusal.code(), Outcome::NotRun);
    let conn = conn.with_response_header("x-lentil-outcome", Outcome::NotRun.to_string());
    json(conn, refusal.status(), &body)
}

fn json(conn: Conn, status: u16, body: &serde_json::Value) -> Conn {
    conn.with_response_header(KnownHeaderName::ContentType, "application/json")
        .with_status(status)
        .with_body(body.to_string())
        .halt()
}

fn headers(conn: &Conn) -> caller::CallHeaders {
    let get = |name: &str| conn.request_headers().get_str(name).map(str::to_owned);
    caller::CallHeaders {
        authorization: get("authorization"),
        class: get("x-lentil-class"),
        deadline_ms: get("x-lentil-deadline-ms"),
        key: get("idempotency-key"),
        content_type: get("content-type"),
    }
}
