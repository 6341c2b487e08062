//! Reads request bodies.

use std::io;

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
        let body = body.with_max_len(limits.body_bytes as u64);
        let bytes = lentil_http::read_all(body, limits.body_bytes).await;
        bytes.map_err(|error| refusal_of(&error, limits))
    };
    let timeout = async {
        smol::Timer::after(limits.body_time).await;
        Err(Refusal::Timeout)
    };
    let body = smol::future::or(body, timeout).await?;
    progress.begin_answer();
    Ok(body)
}

fn refusal_of(error: &io::Error, limits: &Limits) -> Refusal {
    match error.kind() {
        // Trillium reports a body that is too long as unsupported.
        io::ErrorKind::FileTooLarge | io::ErrorKind::Unsupported => {
            Refusal::BodyTooLarge(limits.body_bytes)
        }
        _ => Refusal::BodyTruncated,
    }
}
