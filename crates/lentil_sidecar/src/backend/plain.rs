//! Runs a call at a plain HTTP service.

use futures_lite::AsyncReadExt as _;
use lentil_policy::protocol;
use lentil_types::Pieces;

use super::{Backend, error::BackendError, report::Reporter, request, sse::READ_BYTES};

pub(super) async fn run(
    backend: &Backend,
    dispatch: &protocol::Dispatch,
    reporter: &Reporter,
) -> Result<protocol::Usage, BackendError> {
    let call = &dispatch.call;
    let key = dispatch.key.as_ref().map(ToString::to_string);
    let extra = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    let mut conn = request::send(backend, call, extra, call.body.to_vec()).await?;
    let (status, headers) = (
        request::answer_status(&conn),
        request::answer_headers(&conn),
    );
    reporter.started(Pieces(0), status, headers).await;
    let mut body = lentil_http::Body::new(conn.response_body());
    let mut offset = 0;
    loop {
        let mut data = vec![0; READ_BYTES];
        let read = body.read(&mut data).await;
        match read.map_err(BackendError::AnswerCut)? {
            0 => return Ok(protocol::Usage::default()),
            read => data.truncate(read),
        }
        reporter.piece(offset, String::new(), data).await;
        offset += 1;
    }
}
