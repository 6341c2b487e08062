//! Runs a request at an engine and streams its answer.

use futures_lite::AsyncReadExt as _;
use lentil_policy::protocol;
use lentil_types::{PieceHash, Pieces};
use trillium_client::Conn;

use super::{
    Backend,
    chunk::Chunk,
    error::BackendError,
    report::Reporter,
    request,
    sse::{EventReader, Limits},
};

/// Data of the event that ends a stream.
const DONE_DATA: &str = "[DONE]";
/// Largest error body forwarded, in bytes; the rest is cut off.
const MAX_ERROR_BYTES: u64 = 256 * 1024;

pub(super) async fn run(
    backend: &Backend,
    dispatch: &protocol::Dispatch,
    reporter: &Reporter,
) -> Result<protocol::Usage, BackendError> {
    let body = match &dispatch.resume {
        None => dispatch.call.body.to_vec(),
        Some(resume) => resumed_body(&dispatch.call.body, resume)?,
    };
    let mut conn = request::send(backend, &dispatch.call, headers(dispatch), body).await?;
    match request::answer_status(&conn) {
        200 => stream(&mut conn, dispatch, reporter).await,
        // 409: the engine cannot resume the answer. 412: other weights are loaded.
        status @ (409 | 412 | 429 | 503) => Err(BackendError::Refused(status)),
        400..500 if dispatch.resume.is_none() => forward_error(&mut conn, reporter).await,
        status => Err(BackendError::Status(status)),
    }
}

fn headers(dispatch: &protocol::Dispatch) -> Vec<(&'static str, String)> {
    let work = &dispatch.offer.work;
    let pieces: Vec<_> = work.pieces.iter().map(PieceHash::to_string).collect();
    vec![
        ("x-request-id", request::engine_id(dispatch.offer.id)),
        ("x-priority", (work.class as u8).to_string()),
        ("x-weights", work.weights.to_string()),
        ("x-cache-pieces", pieces.join(",")),
    ]
}

/// Request body that asks the engine to resume an answer.
fn resumed_body(body: &[u8], resume: &protocol::Resume) -> Result<Vec<u8>, BackendError> {
    let malformed = || BackendError::Malformed {
        what: "body",
        value: String::from_utf8_lossy(body).chars().take(80).collect(),
    };
    let mut body: serde_json::Value = serde_json::from_slice(body).map_err(|_| malformed())?;
    let fields = body.as_object_mut().ok_or_else(malformed)?;
    let resume = serde_json::json!({ "offset": resume.offset, "text": resume.text });
    fields.insert("resume".to_owned(), resume);
    Ok(body.to_string().into_bytes())
}

/// Forwards the engine's error answer.
async fn forward_error(
    conn: &mut Conn,
    reporter: &Reporter,
) -> Result<protocol::Usage, BackendError> {
    let (status, headers) = (request::answer_status(conn), request::answer_headers(conn));
    let mut data = Vec::new();
    let body = lentil_http::Body::new(conn.response_body());
    let mut body = body.take(MAX_ERROR_BYTES);
    let read = body.read_to_end(&mut data).await;
    read.map_err(BackendError::AnswerCut)?;
    reporter.started(Pieces(0), status, headers).await;
    reporter.piece(0, String::new(), data).await;
    Ok(protocol::Usage::default())
}

async fn stream(
    conn: &mut Conn,
    dispatch: &protocol::Dispatch,
    reporter: &Reporter,
) -> Result<protocol::Usage, BackendError> {
    let cached = conn.response_headers().get_str("x-cached-pieces");
    let cached = cached.and_then(|cached| cached.parse().ok()).unwrap_or(0);
    let headers = request::answer_headers(conn);
    reporter.started(Pieces(cached), 200, headers).await;
    let request_id = request::engine_id(dispatch.offer.id);
    let mut next_offset = dispatch.resume.as_ref().map_or(0, |resume| resume.offset);
    let mut usage = protocol::Usage::default();
    let mut events = EventReader::new(conn.response_body(), Limits::default());
    while let Some(event) = events.next().await? {
        if event.data == DONE_DATA {
            return Ok(usage);
        }
        let offset = event.id.parse().unwrap_or(next_offset);
        let text = {
            let chunk: Chunk<'_> =
                serde_json::from_str(&event.data).map_err(BackendError::Chunk)?;
            check_request_id(&chunk, &request_id)?;
            usage = chunk.usage().unwrap_or(usage);
            chunk.text().to_owned()
        };
        if offset > next_offset {
            let (expected, got) = (next_offset, offset);
            return Err(BackendError::Gap { expected, got });
        }
        next_offset = offset + 1;
        // The policy drops repeated pieces.
        reporter.piece(offset, text, event.data.into_bytes()).await;
    }
    Err(BackendError::Incomplete)
}

/// Rejects a chunk with the ID of another request.
fn check_request_id(chunk: &Chunk<'_>, request_id: &str) -> Result<(), BackendError> {
    match chunk.id.as_deref() {
        Some(id) if id != request_id => Err(BackendError::OtherRequest(id.to_owned())),
        _ => Ok(()),
    }
}
