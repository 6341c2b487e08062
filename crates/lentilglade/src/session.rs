//! A scripted session with every kind of request.

use std::{net, time};

use lentil_config::{Config, Service, ServiceKind};
use lentil_types::Class;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

/// Status of a successful answer.
const OK: u16 = 200;
/// Status of a request whose deadline has passed.
const GATEWAY_TIMEOUT: u16 = 504;

/// One request of a session and its result.
#[derive(Clone, Debug)]
pub struct Row {
    /// Description of the request.
    pub request: String,
    /// HTTP status; 0 when there was no answer.
    pub status: u16,
    /// Value of `x-lentil-outcome`; empty for a stream, whose end shows its outcome.
    pub outcome: String,
    /// Whether the answer has the expected status and content.
    pub is_expected: bool,
    /// Time until the answer was complete.
    pub elapsed: time::Duration,
}

/// The expected answer to a request.
struct Expected {
    status: u16,
    /// Text that the body contains.
    body: &'static str,
}

impl Expected {
    const CALL: Self = Self::ok("\"call\"");

    const fn ok(body: &'static str) -> Self {
        Self { status: OK, body }
    }
}

/// Sends one request of every class, streamed and not, both kinds of plain call,
/// and requests that must be refused.
pub struct Session {
    client: Client,
    base: String,
    key: String,
}

impl Session {
    /// A session of the first team of the configuration at an entry.
    pub fn new(entry: net::SocketAddr, config: &Config) -> Self {
        let team = config
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

    /// Sends the requests one after the other and returns a row for each.
    pub async fn run(&self, config: &Config) -> Vec<Row> {
        let mut rows = Vec::new();
        for model in &config.models {
            for class in [Class::Urgent, Class::Normal, Class::Patient] {
                for stream in [false, true] {
                    rows.push(self.chat(&model.name, class, stream).await);
                }
            }
            rows.push(self.completion(&model.name).await);
            rows.push(self.expired_chat(&model.name).await);
        }
        let is_plain = |service: &&Service| service.kind == ServiceKind::Plain;
        for service in config.services.iter().filter(is_plain) {
            self.plain_calls(service, &mut rows).await;
        }
        rows.push(self.without_key().await);
        rows.push(self.unknown_model().await);
        rows
    }

    // -----------------------------------------------------------------------
    // Models

    async fn chat(&self, model: &str, class: Class, stream: bool) -> Row {
        let (kind, ending) = match stream {
            true => ("streamed", "data: [DONE]"),
            false => ("whole", "\"finish_reason\":\"stop\""),
        };
        let conn = self
            .post("/v1/chat/completions", &question(model, stream))
            .with_request_header("x-lentil-class", class.to_string());
        self.send(format!("chat {class} {kind}"), conn, &Expected::ok(ending))
            .await
    }

    async fn completion(&self, model: &str) -> Row {
        let body = serde_json::json!({ "model": model, "prompt": "classify lot 1" });
        let conn = self.post("/v1/completions", &body);
        let expected = Expected::ok("\"text_completion\"");
        self.send("completion".to_owned(), conn, &expected).await
    }

    async fn expired_chat(&self, model: &str) -> Row {
        let conn = self
            .post("/v1/chat/completions", &question(model, false))
            .with_request_header("x-lentil-deadline-ms", "0");
        let expected = Expected {
            status: GATEWAY_TIMEOUT,
            body: "\"deadline\"",
        };
        self.send("chat past its deadline".to_owned(), conn, &expected)
            .await
    }

    async fn unknown_model(&self) -> Row {
        let conn = self.post("/v1/chat/completions", &question("no-model", false));
        let expected = Expected {
            status: 404,
            body: "\"model_not_found\"",
        };
        self.send("unknown model".to_owned(), conn, &expected).await
    }

    async fn without_key(&self) -> Row {
        let conn = self.client.get(format!("{}/v1/models", self.base).as_str());
        let expected = Expected {
            status: 401,
            body: "\"invalid_api_key\"",
        };
        self.send_as("no API key".to_owned(), conn, None, &expected)
            .await
    }

    // -----------------------------------------------------------------------
    // Plain services

    async fn plain_calls(&self, service: &Service, rows: &mut Vec<Row>) {
        let name = &service.name;
        let lookup = self.plain("GET", name, "/lookup", None, "");
        let row = self.send(format!("GET {name}/lookup"), lookup, &Expected::CALL);
        rows.push(row.await);
        for call in &service.once_calls {
            let key = format!("{}-demo-{name}", unix_seconds());
            let request = format!("{} {name}{}", call.method, call.path);
            let other_body = Expected {
                status: 422,
                body: "\"key_reused\"",
            };
            let no_key = Expected {
                status: 400,
                body: "\"missing_field\"",
            };
            for (note, key, body, expected) in [
                ("", Some(key.as_str()), "lot 1", Expected::CALL),
                (", again", Some(key.as_str()), "lot 1", Expected::CALL),
                (", other body", Some(key.as_str()), "lot 2", other_body),
                (", no key", None, "lot 1", no_key),
            ] {
                let conn = self.plain(&call.method, name, &call.path, key, body);
                let row = self.send(format!("{request}{note}"), conn, &expected);
                rows.push(row.await);
            }
        }
    }

    fn plain(
        &self,
        method: &str,
        service: &str,
        path: &str,
        key: Option<&str>,
        body: &'static str,
    ) -> Conn {
        let url = format!("{}/services/{service}{path}", self.base);
        let mut conn = self.client.build_conn(method, url.as_str());
        if let Some(key) = key {
            conn.request_headers_mut()
                .insert("idempotency-key", key.to_owned());
        }
        conn.with_body(body)
    }

    // -----------------------------------------------------------------------
    // Sending

    fn post(&self, path: &str, body: &serde_json::Value) -> Conn {
        let url = format!("{}{path}", self.base);
        self.client.post(url.as_str()).with_body(body.to_string())
    }

    async fn send(&self, request: String, conn: Conn, expected: &Expected) -> Row {
        self.send_as(request, conn, Some(&self.key), expected).await
    }

    async fn send_as(
        &self,
        request: String,
        mut conn: Conn,
        key: Option<&str>,
        expected: &Expected,
    ) -> Row {
        let start = time::Instant::now();
        if let Some(key) = key {
            conn.request_headers_mut()
                .insert("authorization", format!("Bearer {key}"));
        }
        let (status, outcome, answer) = match conn.await {
            Ok(mut conn) => {
                let status = conn.status().map_or(0, |status| status as u16);
                let outcome = conn.response_headers().get_str("x-lentil-outcome");
                let outcome = outcome.unwrap_or_default().to_owned();
                let answer = conn.response_body().read_string().await.unwrap_or_default();
                (status, outcome, answer)
            }
            Err(error) => (0, String::new(), error.to_string()),
        };
        Row {
            request,
            status,
            outcome,
            is_expected: status == expected.status && answer.contains(expected.body),
            elapsed: start.elapsed(),
        }
    }
}

fn question(model: &str, stream: bool) -> serde_json::Value {
    serde_json::json!({
        "model": model, "stream": stream,
        "messages": [{ "role": "user", "content": "classify lot 1" }],
    })
}

/// The current Unix time, with which an idempotency key begins.
fn unix_seconds() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
