//! Stand-in for an engine that speaks the OpenAI API.

use std::{net, sync::Arc, time};

use futures_lite::{AsyncRead, io};
use lentil_types::{BootId, WeightsVersion};
use trillium::Conn;
use trillium_router::Router;

/// Settings of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// Which life of the engine this is.
    pub boot: BootId,
    /// Weights that it has loaded.
    pub weights: WeightsVersion,
    /// Words in each answer.
    pub words: usize,
    /// Time between two words.
    pub pace: time::Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            boot: BootId(1),
            weights: WeightsVersion(1),
            words: 8,
            pace: time::Duration::from_millis(1),
        }
    }
}

/// Stand-in for an engine. It stops when dropped.
pub struct Engine {
    address: net::SocketAddr,
    handle: trillium_server_common::ServerHandle,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let listener = net::TcpListener::bind(settings.address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let settings = Arc::new(settings);
        let router = Router::new()
            .get("/status", status(settings.clone()))
            .post("/v1/chat/completions", complete(settings));
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(trillium_smol::async_net::TcpListener::try_from(listener)?)
            .spawn(router);
        Ok(Self { address, handle })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

fn status(settings: Arc<EngineSettings>) -> impl trillium::Handler {
    move |conn: Conn| {
        let settings = settings.clone();
        async move {
            let body = serde_json::json!({ "boot": settings.boot, "weights": settings.weights });
            conn.with_response_header("content-type", "application/json")
                .ok(body.to_string())
        }
    }
}

fn complete(settings: Arc<EngineSettings>) -> impl trillium::Handler {
    move |mut conn: Conn| {
        let settings = settings.clone();
        async move {
            let Ok(body) = conn.request_body_string().await else {
                return conn.with_status(400);
            };
            let Ok(request) = serde_json::from_str::<serde_json::Value>(&body) else {
                return conn.with_status(400);
            };
            let model = request["model"].as_str().unwrap_or_default().to_owned();
            let reader = answer(&settings, model, body.len());
            conn.with_response_header("content-type", "text/event-stream")
                .ok(trillium::Body::new_streaming(reader, None))
        }
    }
}

fn answer(
    settings: &EngineSettings,
    model: String,
    prompt_bytes: usize,
) -> impl AsyncRead + Send + Sync + 'static + use<> {
    let (reader, mut writer) = piper::pipe(64 * 1024);
    let (words, pace) = (settings.words, settings.pace);
    smol::spawn(async move {
        for word in 0..words {
            smol::Timer::after(pace).await;
            let delta = serde_json::json!({ "content": format!("word{word} ") });
            write_chunk(&mut writer, &model, &delta, None).await?;
        }
        write_chunk(&mut writer, &model, &serde_json::json!({}), Some("stop")).await?;
        let usage = serde_json::json!({
            "object": "chat.completion.chunk", "model": model, "choices": [],
            "usage": {
                "prompt_tokens": prompt_bytes / 4,
                "completion_tokens": words,
                "total_tokens": prompt_bytes / 4 + words,
            },
        });
        write_event(&mut writer, &usage.to_string()).await?;
        write_event(&mut writer, "[DONE]").await
    })
    .detach();
    reader
}

async fn write_chunk(
    writer: &mut piper::Writer,
    model: &str,
    delta: &serde_json::Value,
    finish: Option<&str>,
) -> io::Result<()> {
    let chunk = serde_json::json!({
        "object": "chat.completion.chunk", "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    });
    write_event(writer, &chunk.to_string()).await
}

async fn write_event(writer: &mut piper::Writer, data: &str) -> io::Result<()> {
    use futures_lite::AsyncWriteExt as _;
    writer
        .write_all(format!("data: {data}\n\n").as_bytes())
        .await
}
