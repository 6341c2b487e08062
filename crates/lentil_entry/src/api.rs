//! What callers can ask for.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time,
};

use lentil_policy::{entry, protocol};
use lentil_process::{
    Clock,
    metrics::{Counter, Metrics},
};
use lentil_types::{ConfigVersion, Outcome, RequestId, TeamName};
use smol::channel::Sender;
use trillium_http::Body;

use crate::{
    answer::{AnswerReader, Answered, Collector, Raw, Sse},
    body, check,
    driver::Input,
    gate::Gate,
    headers,
    limits::Limits,
    openai,
    path::Target,
    recorder::Recorder,
    refusal::Refusal,
    reply::{Replies, Reply},
    respond,
    server::Conn,
    state::{Current, State},
    transport::Progress,
};

/// HTTP status of a whole answer.
const OK: u16 = 200;
/// Bytes of a plain service's answer that are held back until its end is known.
/// A larger one is passed on as it comes, without the outcome in its head.
const HELD_BYTES: usize = 64 * 1024;

/// Answers callers.
pub(crate) struct Api {
    pub(crate) state: Arc<State>,
    pub(crate) inputs: Sender<Input>,
    pub(crate) clock: Clock,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    pub(crate) requests: Gate,
    pub(crate) draining: AtomicBool,
    pub(crate) recorder: Recorder,
}

/// A request that is being handled.
struct Session {
    request: RequestId,
    current: Arc<Current>,
    progress: Progress,
}

/// The head of a backend server's answer.
struct Head {
    status: u16,
    headers: Vec<protocol::Header>,
}

/// Why there is no answer to pass on.
enum NoAnswer {
    /// The policy gave the request up.
    Failed(entry::Ending),
    /// The caller hung up.
    CallerGone,
    /// The process stops.
    Stopped,
}

impl Api {
    /// Handles one request.
    pub(crate) async fn handle(&self, mut conn: Conn, progress: Progress) -> Conn {
        self.metrics.count(Counter::Requests);
        progress.begin_body();
        let (pass, sent) = (self.requests.enter(), progress.clone());
        conn.after_send(move |_| {
            drop(pass);
            sent.end();
        });
        if self.draining.load(Ordering::Acquire) {
            respond::set_header(&mut conn, "connection", "close");
        }
        let session = Session {
            request: RequestId(rand::random()),
            current: self.state.current(),
            progress,
        };
        respond::set_header(&mut conn, headers::REQUEST, &session.request.to_string());
        if let Err(refusal) = self.answer(&mut conn, &session).await {
            self.metrics.count(Counter::RequestsRefused);
            log::debug!(request:% = session.request, code = refusal.code(); "refused: {refusal}");
            respond::refuse(&mut conn, &refusal);
        }
        conn
    }

    async fn answer(&self, conn: &mut Conn, session: &Session) -> Result<(), Refusal> {
        let target = Target::of(conn.method(), conn.path_and_query())?;
        if session.current.version == ConfigVersion(0) {
            return Err(Refusal::NotReady);
        }
        let team = check::team(&session.current, conn.request_headers())?;
        match target {
            Target::Models => list_models(conn, &session.current),
            Target::Model(name) => show_model(conn, &session.current, &name)?,
            Target::Completion(api) => self.complete(conn, session, team, api).await?,
            Target::Plain { service, path } => {
                self.call_plain(conn, session, team, &service, path).await?;
            }
        }
        Ok(())
    }

    async fn complete(
        &self,
        conn: &mut Conn,
        session: &Session,
        team: TeamName,
        api: check::Api,
    ) -> Result<(), Refusal> {
        let body = self.read_body(conn, session).await?;
        let checker = self.checker(session, conn);
        let call = checker.model_call(api, team, &body)?;
        let replies = self.submit(call.arrival);
        let answered = Answered {
            model: &call.model,
            include_usage: call.include_usage,
        };
        let answer = match wait_head(conn, replies).await {
            Ok((head, replies)) if head.status != OK => pass(conn, head, replies).await,
            Ok((_, replies)) if call.stream => {
                stream(conn, api, answered, replies);
                Ok(())
            }
            Ok((_, replies)) => collect(conn, api, answered, replies).await,
            Err(no_answer) => Err(no_answer),
        };
        self.conclude(conn, session, &answer);
        Ok(())
    }

    async fn call_plain(
        &self,
        conn: &mut Conn,
        session: &Session,
        team: TeamName,
        service: &str,
        path: String,
    ) -> Result<(), Refusal> {
        let body = self.read_body(conn, session).await?;
        let call = protocol::HttpCall {
            method: conn.method().to_string(),
            path,
            headers: headers::passed_on(conn.request_headers())?,
            body: body.into(),
        };
        let arrival = self
            .checker(session, conn)
            .plain_call(team, service, call)?;
        let replies = self.submit(arrival);
        let answer = match wait_head(conn, replies).await {
            Ok((head, replies)) => pass(conn, head, replies).await,
            Err(no_answer) => Err(no_answer),
        };
        self.conclude(conn, session, &answer);
        Ok(())
    }

    fn submit(&self, arrival: Box<entry::Arrival>) -> Replies {
        self.recorder.note(&arrival);
        Replies::submit(&self.inputs, arrival)
    }

    async fn read_body(&self, conn: &mut Conn, session: &Session) -> Result<Vec<u8>, Refusal> {
        let body = body::read(conn, &session.progress, &self.limits).await?;
        session.progress.begin_answer();
        Ok(body)
    }

    fn checker<'a>(&'a self, session: &'a Session, conn: &'a Conn) -> check::Checker<'a> {
        check::Checker {
            current: &session.current,
            limits: &self.limits,
            now: self.clock.now(),
            request: session.request,
            headers: conn.request_headers(),
        }
    }

    /// Tells the caller why there is no answer, where there is none.
    fn conclude(&self, conn: &mut Conn, session: &Session, answer: &Result<(), NoAnswer>) {
        match answer {
            Ok(()) => {}
            Err(NoAnswer::Failed(ending)) => respond::fail(conn, *ending),
            Err(NoAnswer::Stopped) => respond::fail(conn, respond::stopped()),
            Err(NoAnswer::CallerGone) => {
                self.metrics.count(Counter::CallersGone);
                log::debug!(request:% = session.request; "the caller hung up");
                respond::set_header(conn, "connection", "close");
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Models

fn list_models(conn: &mut Conn, current: &Current) {
    let models = current.config.models.iter();
    let list = openai::Models {
        object: "list",
        data: models.map(openai::Model::new).collect(),
    };
    respond::json(conn, OK, openai::to_json(&list));
}

fn show_model(conn: &mut Conn, current: &Current, name: &str) -> Result<(), Refusal> {
    let model = current.config.model(name);
    let model = model.ok_or_else(|| Refusal::NoModel(name.to_owned()))?;
    respond::json(conn, OK, openai::to_json(&openai::Model::new(model)));
    Ok(())
}

// ---------------------------------------------------------------------------
// Answers

/// Waits until the backend server has begun to answer.
async fn wait_head(conn: &mut Conn, mut replies: Replies) -> Result<(Head, Replies), NoAnswer> {
    match next(conn, &mut replies).await? {
        Reply::Head { status, headers } => Ok((Head { status, headers }, replies)),
        Reply::End(ending) => Err(NoAnswer::Failed(ending)),
        // The policy gives the head before any piece.
        Reply::Piece { .. } => Err(NoAnswer::Stopped),
    }
}

async fn next(conn: &mut Conn, replies: &mut Replies) -> Result<Reply, NoAnswer> {
    let reply = conn.cancel_on_disconnect(replies.next()).await;
    reply.ok_or(NoAnswer::CallerGone)?.ok_or(NoAnswer::Stopped)
}

/// Streams an answer as server-sent events.
fn stream(conn: &mut Conn, api: check::Api, answered: Answered<'_>, replies: Replies) {
    let encoder = Sse::new(replies.request(), api, unix_seconds(), answered);
    let reader = AnswerReader::new(replies, encoder, Sse::padding(), conn.transport().hang_up());
    respond::set_header(conn, "content-type", "text/event-stream");
    respond::set_header(conn, "cache-control", "no-cache");
    conn.set_status(OK);
    conn.set_response_body(Body::new_streaming(reader, None));
}

/// Gathers an answer and sends it as one object.
async fn collect(
    conn: &mut Conn,
    api: check::Api,
    answered: Answered<'_>,
    mut replies: Replies,
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
    let model = answered.model.to_owned();
    let whole = collector.finish(api, replies.request(), created, model, usage);
    respond::set_header(conn, headers::OUTCOME, Outcome::Done.into());
    respond::json(conn, OK, openai::to_json(&whole));
    Ok(())
}

/// Passes a backend server's answer on as it is.
async fn pass(conn: &mut Conn, head: Head, mut replies: Replies) -> Result<(), NoAnswer> {
    let mut held = Vec::new();
    let mut whole = false;
    while !whole && !is_event_stream(&head) && held.len() < HELD_BYTES {
        match next(conn, &mut replies).await? {
            Reply::Head { .. } => {}
            Reply::Piece { data, .. } => held.extend_from_slice(&data),
            Reply::End(entry::Ending::Whole(_)) => whole = true,
            Reply::End(ending) => return Err(NoAnswer::Failed(ending)),
        }
    }
    for header in head.headers {
        if headers::is_passed_on(&header.name) {
            let values = conn.response_headers_mut();
            values.append(header.name, header.value);
        }
    }
    conn.set_status(head.status);
    if whole {
        respond::set_header(conn, headers::OUTCOME, Outcome::Done.into());
        conn.set_response_body(held);
    } else {
        let reader = AnswerReader::new(replies, Raw, held, conn.transport().hang_up());
        conn.set_response_body(Body::new_streaming(reader, None));
    }
    Ok(())
}

fn is_event_stream(head: &Head) -> bool {
    let is_it = |header: &protocol::Header| {
        header.name == "content-type" && header.value.starts_with("text/event-stream")
    };
    head.headers.iter().any(is_it)
}

fn unix_seconds() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
