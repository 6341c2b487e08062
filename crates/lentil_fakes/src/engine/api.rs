//! The HTTP API of an engine stand-in.

use std::{sync::Arc, time};

use futures_lite::AsyncWriteExt as _;
use lentil_types::{FencingNumber, PieceHash, Tokens, WeightsVersion};
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt as _};

use super::{
    answer::{self, Run, Running},
    request::{ChunkFormat, Request},
    state::{AppliedOrder, Order, State},
};

/// Bytes of cache events buffered for their reader.
const EVENT_PIPE_BYTES: usize = 64 * 1024;

/// Routes the paths of the API.
pub(super) fn handler(state: &Arc<State>) -> impl Handler {
    Router::new()
        .get("/status", with(state, status))
        .get("/cache", with(state, list_cache))
        .get("/cache/events", with(state, cache_events))
        .post("/kv/export", with(state, export))
        .post("/kv/import", with(state, import))
        .post("/orders", with(state, order))
        .post("/requests/:id/cancel", with(state, cancel))
        .post("/v1/chat/completions", with(state, chat))
        .post("/v1/completions", with(state, completion))
}

/// Wraps a handler so that it waits while the engine is frozen.
fn with<F, R>(state: &Arc<State>, respond: F) -> impl Handler
where
    F: Fn(Arc<State>, Conn) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Conn> + Send + 'static,
{
    let state = state.clone();
    move |conn: Conn| {
        let (state, respond) = (state.clone(), respond.clone());
        async move {
            state.gate.pass().await;
            respond(state, conn).await
        }
    }
}

// ---------------------------------------------------------------------------
// State

async fn status(state: Arc<State>, conn: Conn) -> Conn {
    let body = state.boot(|boot| {
        serde_json::json!({
            "boot": boot.id, "weights": boot.weights, "running": boot.running,
            "waiting_tokens": boot.waiting, "leaving": boot.leaving,
        })
    });
    // The state was read before the delay, so the answer is this old on arrival.
    smol::Timer::after(state.settings.status_delay).await;
    json(conn, Status::Ok, &body)
}

async fn list_cache(state: Arc<State>, conn: Conn) -> Conn {
    let body = state.boot(|boot| {
        serde_json::json!({
            "boot": boot.id, "number": boot.last_event, "pieces": boot.cache.pieces(),
        })
    });
    json(conn, Status::Ok, &body)
}

async fn cache_events(state: Arc<State>, conn: Conn) -> Conn {
    let events = state.subscribe_events();
    let (reader, mut writer) = piper::pipe(EVENT_PIPE_BYTES);
    smol::spawn(async move {
        while let Ok(event) = events.recv().await {
            let delay = state.switches(|switches| switches.event_delay);
            smol::Timer::after(delay).await;
            state.gate.pass().await;
            let text = format!("id: {}\ndata: {}\n\n", event.number, event.data);
            if writer.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .detach();
    conn.with_response_header("content-type", "text/event-stream")
        .ok(trillium::Body::new_streaming(reader, None))
}

// ---------------------------------------------------------------------------
// KV cache and orders

#[derive(serde::Deserialize, serde::Serialize)]
struct KvTransfer {
    weights: WeightsVersion,
    salt: String,
    pieces: Vec<PieceHash>,
}

/// Exports the cached prefix of the requested pieces.
async fn export(state: Arc<State>, mut conn: Conn) -> Conn {
    let Some(mut kv) = read_json::<KvTransfer>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let cached = state.boot(|boot| {
        (boot.weights == kv.weights).then(|| boot.cache.cached_prefix(&kv.salt, &kv.pieces))
    });
    let Some(cached) = cached else {
        return conn.with_status(Status::Conflict).halt();
    };
    kv.pieces.truncate(cached);
    json(conn, Status::Ok, &serde_json::json!(kv))
}

async fn import(state: Arc<State>, mut conn: Conn) -> Conn {
    let Some(kv) = read_json::<KvTransfer>(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    if state.boot(|boot| boot.weights) != kv.weights {
        return conn.with_status(Status::Conflict).halt();
    }
    state.store(&kv.salt, &kv.pieces);
    conn.with_status(Status::NoContent).halt()
}

#[derive(serde::Deserialize)]
struct OrderBody {
    fencing: FencingNumber,
    order: Order,
}

async fn order(state: Arc<State>, mut conn: Conn) -> Conn {
    let Some(OrderBody { fencing, order }) = read_json(&mut conn).await else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let highest = state.boot(|boot| boot.orders.iter().map(|order| order.fencing).max());
    if state.settings.checks_fencing && highest.is_some_and(|highest| fencing < highest) {
        return json(
            conn,
            Status::Conflict,
            &serde_json::json!({ "fencing": highest }),
        );
    }
    if let Order::Weights { version, .. } = &order {
        smol::Timer::after(state.settings.load_time).await;
        state.load_weights(*version);
    }
    state.boot(|boot| boot.orders.push(AppliedOrder { fencing, order }));
    conn.with_status(Status::NoContent).halt()
}

// ---------------------------------------------------------------------------
// Requests

async fn cancel(state: Arc<State>, conn: Conn) -> Conn {
    let id = conn.param("id").unwrap_or_default().to_owned();
    let mut cancels = state.cancels.lock().expect("no holder panics");
    cancels.retain(|(other, cancel)| {
        if *other == id {
            // Fails only if the run has already ended.
            let _ = cancel.try_send(());
        }
        *other != id
    });
    drop(cancels);
    conn.with_status(Status::NoContent).halt()
}

async fn chat(state: Arc<State>, conn: Conn) -> Conn {
    complete(state, conn, ChunkFormat::Chat).await
}

async fn completion(state: Arc<State>, conn: Conn) -> Conn {
    complete(state, conn, ChunkFormat::Text).await
}

async fn complete(state: Arc<State>, mut conn: Conn, format: ChunkFormat) -> Conn {
    if let Some(status) = state.switches(|switches| switches.refusals.pop_front()) {
        return refuse(conn, status, "refused");
    }
    if state.boot(|boot| boot.leaving) {
        return refuse(conn, 503, "leaving");
    }
    let Ok(body) = conn.request_body_string().await else {
        return refuse(conn, 400, "the body is not UTF-8");
    };
    let Some(request) = Request::parse(&conn, format, state.settings.words, body) else {
        return refuse(conn, 400, "malformed request");
    };
    let poison = state.switches(|switches| switches.poison.clone());
    if poison.is_some_and(|poison| request.body.contains(&poison)) {
        let _ = state.crash.send(()).await;
        smol::future::pending::<()>().await;
    }
    let run = match prefill(&state, request).await {
        Ok(run) => run,
        Err(Refusal::Weights) => return refuse(conn, 412, "other weights are loaded"),
        Err(Refusal::Text) => {
            return refuse(conn, 409, "the text said is not how this answer begins");
        }
    };
    let cached = run.cached.to_string();
    let body = trillium::Body::new_streaming(answer::start(&state, run), None);
    conn.with_response_header("content-type", "text/event-stream")
        .with_response_header("x-cached-pieces", cached)
        .ok(body)
}

/// Why a request is not run.
enum Refusal {
    /// Weights other than those it was routed for are loaded.
    Weights,
    /// The text to resume from is not a prefix of this engine's answer.
    Text,
}

/// Waits for a slot and prefills the uncached tokens of a prompt.
async fn prefill(state: &Arc<State>, request: Request) -> Result<Run, Refusal> {
    let waiting = WaitingTokens::new(state, request.prompt_tokens());
    let slot = state.slots.acquire(request.class).await;
    let running = Running::new(state);
    let (weights, cached) = state.boot(|boot| {
        let cached = boot.cache.cached_prefix(&request.salt, &request.pieces);
        (boot.weights, cached)
    });
    if request.weights.is_some_and(|wanted| wanted != weights) {
        return Err(Refusal::Weights);
    }
    if !request.is_resumable(weights) {
        return Err(Refusal::Text);
    }
    let uncached = request.prompt_tokens().0 - request.cached_tokens(cached).0;
    smol::Timer::after(prefill_time(state, uncached)).await;
    state.counters(|counters| counters.prefilled.0 += uncached);
    drop(waiting);
    state.store(&request.salt, &request.pieces);
    let (fault, delay) =
        state.switches(|switches| (switches.stream_faults.pop_front(), switches.delay));
    smol::Timer::after(delay).await;
    Ok(Run {
        request,
        weights,
        cached,
        fault,
        _slot: slot,
        _running: running,
    })
}

fn prefill_time(state: &State, tokens: u64) -> time::Duration {
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    state.settings.prefill.saturating_mul(tokens)
}

/// Guard that counts a prompt's tokens as waiting until it is dropped.
struct WaitingTokens(Arc<State>, Tokens);

impl WaitingTokens {
    fn new(state: &Arc<State>, tokens: Tokens) -> Self {
        state.boot(|boot| boot.waiting.0 += tokens.0);
        Self(state.clone(), tokens)
    }
}

impl Drop for WaitingTokens {
    fn drop(&mut self) {
        let tokens = self.1.0;
        self.0
            .boot(|boot| boot.waiting.0 = boot.waiting.0.saturating_sub(tokens));
    }
}

// ---------------------------------------------------------------------------
// Bodies

async fn read_json<T: serde::de::DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let body = conn.request_body_string().await.ok()?;
    serde_json::from_str(&body).ok()
}

fn json(conn: Conn, status: Status, body: &serde_json::Value) -> Conn {
    conn.with_response_header("content-type", "application/json")
        .with_status(status)
        .with_body(body.to_string())
        .halt()
}

fn refuse(conn: Conn, status: u16, message: &str) -> Conn {
    let body = serde_json::json!({ "error": { "message": message } });
    let status = Status::try_from(status).unwrap_or(Status::InternalServerError);
    json(conn, status, &body)
}
