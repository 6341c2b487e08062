//! Handles callers' requests.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use futures_lite::AsyncReadExt as _;
use lentil_policy::{entry, protocol};
use lentil_process::{
    Clock,
    metrics::{Counter, Metrics},
};
use lentil_types::{ConfigVersion, FailReason, Outcome, RequestId, TeamName};
use smol::channel::Sender;
use trillium_http::{Body, Version};

use crate::{
    answer::{AnswerOptions, AnswerReader, Collector, Encode, Passthrough, Sse},
    body, check,
    driver::Input,
    endpoint::Endpoint,
    headers,
    limits::Limits,
    openai,
    recorder::Recorder,
    refusal::Refusal,
    reply::{Reply, ReplyReceiver},
    respond,
    server::Conn,
    state::{ActiveConfig, State},
    transport::Progress,
    wait_group::WaitGroup,
};

/// HTTP status of a complete answer.
const OK: u16 = 200;
/// Bytes of a plain service's answer that are buffered until its end is known.
/// A larger one is streamed, without the outcome in its head.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Largest answer to a caller of HTTP/1.0. It is buffered: a body without a length would end
/// with the connection, so that one that broke off would look complete.
const MAX_UNFRAMED_BYTES: usize = 16 * 1024 * 1024;

/// Handles callers' requests.
pub(crate) struct Api {
    pub(crate) state: Arc<State>,
    pub(crate) inputs: Sender<Input>,
    pub(crate) clock: Clock,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    pub(crate) requests: WaitGroup,
    pub(crate) draining: AtomicBool,
    pub(crate) recorder: Recorder,
}

/// A request in flight.
struct RequestContext {
    request: RequestId,
    active: Arc<ActiveConfig>,
    progress: Progress,
}

/// The head of a backend server's answer.
struct Head {
    status: u16,
    headers: Vec<protocol::Header>,
}

/// Why there is no answer to return.
enum NoAnswer {
    /// The policy gave the request up.
    Failed(entry::Ending),
    /// The caller disconnected.
    CallerGone,
    /// The process stops.
    Stopped,
}

impl Api {
    pub(crate) async fn handle(&self, mut conn: Conn, progress: Progress) -> Conn {
        self.metrics.count(Counter::Requests);
        progress.begin_body();
        let (guard, sent, unread) = (self.requests.add(), progress.clone(), progress.clone());
        conn.after_send(move |_| {
            drop(guard);
            sent.end();
        });
        if self.draining.load(Ordering::Acquire) {
            respond::set_header(&mut conn, "connection", "close");
        }
        let context = RequestContext {
            request: RequestId(rand::random()),
            active: self.state.current(),
            progress,
        };
        respond::set_header(&mut conn, headers::REQUEST, &context.request.to_string());
        if let Err(refusal) = self.answer(&mut conn, &context).await {
            self.metrics.count(Counter::RequestsRefused);
            log::debug!(request:% = context.request, code = refusal.code(); "refused: {refusal}");
            respond::refuse(&mut conn, &refusal);
        }
        if unread.is_in_body() && headers::has_large_body(conn.request_headers()) {
            // What is left of the request would be read before the next one, without a limit.
            respond::set_header(&mut conn, "connection", "close");
            unread.set_unread();
        }
        conn
    }

    async fn answer(&self, conn: &mut Conn, context: &RequestContext) -> Result<(), Refusal> {
        let endpoint = Endpoint::parse(conn.method(), conn.path_and_query())?;
        if context.active.version == ConfigVersion(0) {
            return Err(Refusal::NotReady);
        }
        let team = check::authenticate(&context.active, conn.request_headers())?;
        match endpoint {
            Endpoint::Models => list_models(conn, &context.active),
            Endpoint::Model(name) => show_model(conn, &context.active, &name)?,
            Endpoint::Completion(kind) => self.complete(conn, context, team, kind).await?,
            Endpoint::Plain { service, path } => {
                self.call_plain(conn, context, team, &service, path).await?;
            }
        }
        Ok(())
    }

    async fn complete(
        &self,
        conn: &mut Conn,
        context: &RequestContext,
        team: TeamName,
        kind: check::CompletionKind,
    ) -> Result<(), Refusal> {
        let body = self.read_body(conn, context).await?;
        let checker = self.checker(context, conn);
        let call = checker.model_call(kind, team, &body)?;
        let replies = self.submit(call.arrival);
        let options = AnswerOptions {
            model: &call.model,
            include_usage: call.include_usage,
        };
        let answer = match wait_head(conn, replies).await {
            Ok((head, replies)) if head.status != OK => pass_through(conn, head, replies).await,
            Ok((_, replies)) if call.stream => stream(conn, kind, options, replies).await,
            Ok((_, replies)) => collect(conn, kind, options, replies).await,
            Err(no_answer) => Err(no_answer),
        };
        self.respond_on_failure(conn, context, &answer);
        Ok(())
    }

    async fn call_plain(
        &self,
        conn: &mut Conn,
        context: &RequestContext,
        team: TeamName,
        service: &str,
        path: String,
    ) -> Result<(), Refusal> {
        let body = self.read_body(conn, context).await?;
        let call = protocol::HttpCall {
            method: conn.method().to_string(),
            path,
            headers: headers::forwarded(conn.request_headers())?,
            body: body.into(),
        };
        let arrival = self
            .checker(context, conn)
            .plain_call(team, service, call)?;
        let replies = self.submit(arrival);
        let answer = match wait_head(conn, replies).await {
            Ok((head, replies)) => pass_through(conn, head, replies).await,
            Err(no_answer) => Err(no_answer),
        };
        self.respond_on_failure(conn, context, &answer);
        Ok(())
    }

    fn submit(&self, arrival: Box<entry::Arrival>) -> ReplyReceiver {
        self.recorder.record(&arrival);
        ReplyReceiver::submit(&self.inputs, arrival)
    }

    async fn read_body(
        &self,
        conn: &mut Conn,
        context: &RequestContext,
    ) -> Result<Vec<u8>, Refusal> {
        let body = body::read(conn, &context.progress, &self.limits).await?;
        context.progress.begin_answer();
        Ok(body)
    }

    fn checker<'a>(&'a self, context: &'a RequestContext, conn: &'a Conn) -> check::Checker<'a> {
        check::Checker {
            active: &context.active,
            limits: &self.limits,
            now: self.clock.now(),
            request: context.request,
            headers: conn.request_headers(),
        }
    }

    /// Responds with the reason if there is no answer.
    fn respond_on_failure(
        &self,
        conn: &mut Conn,
        context: &RequestContext,
        answer: &Result<(), NoAnswer>,
    ) {
        match answer {
            Ok(()) => {}
            Err(NoAnswer::Failed(ending)) => respond::fail(conn, *ending),
            Err(NoAnswer::Stopped) => respond::fail(conn, respond::shutdown_ending()),
            Err(NoAnswer::CallerGone) => {
                self.metrics.count(Counter::CallersGone);
                log::debug!(request:% = context.request; "the caller disconnected");
                respond::set_header(conn, "connection", "close");
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Models

fn list_models(conn: &mut Conn, active: &ActiveConfig) {
    let models = active.config.models.iter();
    let list = openai::Models {
        object: "list",
        data: models.map(openai::Model::new).collect(),
    };
    respond::json(conn, OK, openai::to_json(&list));
}

fn show_model(conn: &mut Conn, active: &ActiveConfig, name: &str) -> Result<(), Refusal> {
    let model = active.config.model(name);
    let model = model.ok_or_else(|| Refusal::UnknownModel(name.to_owned()))?;
    respond::json(conn, OK, openai::to_json(&openai::Model::new(model)));
    Ok(())
}

// ---------------------------------------------------------------------------
// Answers

/// Waits until the backend server has begun to answer.
async fn wait_head(
    conn: &mut Conn,
    mut replies: ReplyReceiver,
) -> Result<(Head, ReplyReceiver), NoAnswer> {
    match next(conn, &mut replies).await? {
        Reply::Head { status, headers } => Ok((Head { status, headers }, replies)),
        Reply::End(ending) => Err(NoAnswer::Failed(ending)),
        // The policy sends the head before any piece.
        Reply::Piece { .. } => Err(NoAnswer::Stopped),
    }
}

async fn next(conn: &mut Conn, replies: &mut ReplyReceiver) -> Result<Reply, NoAnswer> {
    let reply = conn.cancel_on_disconnect(replies.next()).await;
    reply.ok_or(NoAnswer::CallerGone)?.ok_or(NoAnswer::Stopped)
}

/// Whether a body without a length cannot be framed for the caller.
fn is_unframed(conn: &Conn) -> bool {
    conn.http_version() == Version::Http1_0
}

/// Reads the rest of an answer.
async fn read_whole<E: Encode>(reader: AnswerReader<E>) -> Result<Vec<u8>, NoAnswer> {
    let mut body = Vec::new();
    let mut limited = reader.take(MAX_UNFRAMED_BYTES as u64 + 1);
    match limited.read_to_end(&mut body).await {
        Ok(size) if size <= MAX_UNFRAMED_BYTES => Ok(body),
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Err(NoAnswer::CallerGone),
        Ok(_) | Err(_) => Err(NoAnswer::Failed(entry::Ending::Failed {
            outcome: Outcome::Unknown,
            reason: FailReason::Backend,
            retry: None,
        })),
    }
}

/// Streams an answer as server-sent events.
async fn stream(
    conn: &mut Conn,
    kind: check::CompletionKind,
    options: AnswerOptions<'_>,
    replies: ReplyReceiver,
) -> Result<(), NoAnswer> {
    let encoder = Sse::new(replies.request(), kind, unix_seconds(), options);
    let reader = AnswerReader::new(
        replies,
        encoder,
        Sse::padding(),
        conn.transport().disconnected(),
    );
    let body = match is_unframed(conn) {
        true => read_whole(reader).await?.into(),
        false => Body::new_streaming(reader, None),
    };
    respond::set_header(conn, "content-type", "text/event-stream");
    respond::set_header(conn, "cache-control", "no-cache");
    conn.set_status(OK);
    conn.set_response_body(body);
    Ok(())
}

/// Assembles an answer and sends it as one object.
async fn collect(
    conn: &mut Conn,
    kind: check::CompletionKind,
    options: AnswerOptions<'_>,
    mut replies: ReplyReceiver,
) -> Result<(), NoAnswer> {
    let mut collector = Collector::new();
    let created = unix_seconds();
    let usage = loop {
        match next(conn, &mut replies).await? {
            Reply::Head { .. } => {}
            Reply::Piece { data, .. } => collector.push(&data),
            Reply::End(entry::Ending::Whole(usage)) => break usage,
            Reply::End(ending) => return Err(NoAnswer::Failed(ending)),
        }
    };
    let model = options.model.to_owned();
    let completion = collector.finish(kind, replies.request(), created, model, usage);
    respond::set_header(conn, headers::OUTCOME, Outcome::Done.into());
    respond::json(conn, OK, openai::to_json(&completion));
    Ok(())
}

/// Passes a backend server's answer through unchanged.
async fn pass_through(
    conn: &mut Conn,
    head: Head,
    mut replies: ReplyReceiver,
) -> Result<(), NoAnswer> {
    let mut buffered = Vec::new();
    let mut is_complete = false;
    while !is_complete && !is_event_stream(&head) && buffered.len() < MAX_BUFFERED_BYTES {
        match next(conn, &mut replies).await? {
            Reply::Head { .. } => {}
            Reply::Piece { data, .. } => buffered.extend_from_slice(&data),
            Reply::End(entry::Ending::Whole(_)) => is_complete = true,
            Reply::End(ending) => return Err(NoAnswer::Failed(ending)),
        }
    }
    let body = if is_complete {
        buffered.into()
    } else {
        let disconnected = conn.transport().disconnected();
        let reader = AnswerReader::new(replies, Passthrough, buffered, disconnected);
        is_complete = is_unframed(conn);
        match is_complete {
            true => read_whole(reader).await?.into(),
            false => Body::new_streaming(reader, None),
        }
    };
    for header in head.headers {
        if headers::is_forwarded(&header.name) {
            let values = conn.response_headers_mut();
            values.append(header.name, header.value);
        }
    }
    conn.set_status(head.status);
    if is_complete {
        respond::set_header(conn, headers::OUTCOME, Outcome::Done.into());
    }
    conn.set_response_body(body);
    Ok(())
}

fn is_event_stream(head: &Head) -> bool {
    let is_match = |header: &protocol::Header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    };
    head.headers.iter().any(is_match)
}

fn unix_seconds() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}
