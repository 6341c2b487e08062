//! Reads request bodies.

use std::io;

use trillium_http::Error;

use crate::{headers, limits::Limits, refusal::Refusal, server::Conn, transport::Progress};

/// Reads a request's body within the size and time limits.
pub(crate) async fn read(
    conn: &mut Conn,
    progress: &Progress,
    limits: &Limits,
) -> Result<Vec<u8>, Refusal> {
    headers::check_framing(conn.request_headers())?;
    progress.begin_body();
    let body = async {
        let body = conn.request_body().await;
        let bytes = body.with_max_len(limits.body_bytes as u64).read_bytes();
        bytes.await.map_err(|error| refusal_of(&error, limits))
    };
    let timeout = async {
        smol::Timer::after(limits.body_time).await;
        Err(Refusal::Timeout)
    };
    smol::future::or(body, timeout).await
}

fn refusal_of(error: &Error, limits: &Limits) -> Refusal {
    match error {
        Error::ReceivedBodyTooLong(_) => Refusal::BodyTooLarge(limits.body_bytes),
        // Trillium reports a chunked body that is too long as unsupported.
        Error::Io(error) if error.kind() == io::ErrorKind::Unsupported => {
            Refusal::BodyTooLarge(limits.body_bytes)
        }
        _ => Refusal::BodyTruncated,
    }
}
