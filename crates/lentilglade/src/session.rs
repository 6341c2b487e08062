//! A scripted session of every kind of request.

use std::{net, time};

use lentil_config::{Market, ServiceKind};
use lentil_types::Class;
use trillium_client::Client;
use trillium_smol::ClientConfig;

/// One request of a session and what came of it.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was asked.
    pub request: String,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Whether the whole answer came.
    pub whole: bool,
    /// Time to the whole answer.
    pub took: time::Duration,
}

/// Sends one request of every class, streamed and not, and both kinds of plain
/// call.
pub struct Session {
    client: Client,
    base: String,
    key: String,
}

impl Session {
    /// A session of the demo's first team at an entry.
    pub fn new(entry: net::SocketAddr, market: &Market) -> Self {
        let team = market
            .teams
            .first()
            .map(|team| team.name.to_string())
            .unwrap_or_default();
        Self {
            client: Client::new(ClientConfig::new()).with_default_pool(),
            base: format!("http://{entry}"),
            key: format!("demo-{team}"),
        }
    }

    /// Sends the whole session, one request after the other.
    pub async fn run(&self, market: &Market) -> Vec<Row> {
        let mut rows = Vec::new();
        for model in &market.models {
            for class in [Class::Urgent, Class::Normal, Class::Patient] {
                for stream in [false, true] {
                    rows.push(self.chat(&model.name, class, stream).await);
                }
            }
        }
        for service in market
            .services
            .iter()
            .filter(|service| service.kind == ServiceKind::Plain)
        {
            rows.push(self.plain("GET", &service.name, "/lookup", None).await);
            for call in &service.once_calls {
                let key = format!("{}-demo", unix_seconds());
                let row = self.plain(&call.method, &service.name, &call.path, Some(&key));
                rows.push(row.await);
            }
        }
        rows
    }

    async fn chat(&self, model: &str, class: Class, stream: bool) -> Row {
        let body = serde_json::json!({
            "model": model, "stream": stream,
            "messages": [{ "role": "user", "content": "classify lot 1" }],
        });
        let kind = if stream { "streamed" } else { "whole" };
        let conn = self
            .client
            .post(format!("{}/v1/chat/completions", self.base).as_str())
            .with_request_header("x-lentil-class", class.to_string())
            .with_body(body.to_string());
        self.send(format!("chat {class} {kind}"), conn, |answer| {
            let ending = if stream {
                "data: [DONE]"
            } else {
                "\"finish_reason\":\"stop\""
            };
            answer.contains(ending)
        })
        .await
    }

    async fn plain(&self, method: &str, service: &str, path: &str, key: Option<&str>) -> Row {
        let url = format!("{}/services/{service}{path}", self.base);
        let mut conn = self.client.build_conn(method, url.as_str());
        if let Some(key) = key {
            conn.request_headers_mut()
                .insert("idempotency-key", key.to_owned());
        }
        let name = format!("{method} {service}{path}");
        self.send(name, conn, |answer| answer.contains("\"call\""))
            .await
    }

    async fn send(
        &self,
        request: String,
        conn: trillium_client::Conn,
        is_whole: impl Fn(&str) -> bool,
    ) -> Row {
        let begin = time::Instant::now();
        let conn = conn.with_request_header("authorization", format!("Bearer {}", self.key));
        let (status, answer) = match conn.await {
            Ok(mut conn) => {
                let status = conn.status().map_or(0, |status| status as u16);
                let answer = conn.response_body().read_string().await.unwrap_or_default();
                (status, answer)
            }
            Err(error) => (0, error.to_string()),
        };
        let whole = status == 200 && is_whole(&answer);
        Row {
            request,
            status,
            whole,
            took: begin.elapsed(),
        }
    }
}

/// The time with which an idempotency key made now begins.
fn unix_seconds() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
