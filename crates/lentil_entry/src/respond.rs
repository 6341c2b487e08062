//! Writes responses whose body is not streamed.

use lentil_policy::entry;
use lentil_types::{FailReason, Outcome};

use crate::{
    headers,
    refusal::{self, Refusal},
    server::Conn,
};

/// Ending of a request that the shutdown of the process interrupted.
pub(crate) fn shutdown_ending() -> entry::Ending {
    entry::Ending::Failed {
        outcome: Outcome::Unknown,
        reason: FailReason::Leaving,
        retry: None,
    }
}

/// Responds to a request that the policy gave up.
pub(crate) fn fail(conn: &mut Conn, ending: entry::Ending) {
    let (outcome, reason, retry) = match ending {
        entry::Ending::Failed {
            outcome,
            reason,
            retry,
        } => (outcome, reason, retry),
        // A backend server that ends without a head has failed.
        entry::Ending::Whole(_) => (Outcome::Unknown, FailReason::Backend, None),
    };
    let status = refusal::status_of(reason);
    set_header(conn, headers::OUTCOME, outcome.into());
    if let Some(seconds) = refusal::retry_seconds(status, retry) {
        set_header(conn, "retry-after", &seconds.to_string());
    }
    json(conn, status, refusal::failed_body(outcome, reason));
}

/// Responds to a request that was refused before it reached the policy.
pub(crate) fn refuse(conn: &mut Conn, refusal: &Refusal) {
    let status = refusal.status();
    set_header(conn, headers::OUTCOME, Outcome::NotRun.into());
    if let Refusal::MethodNotAllowed(allowed) = refusal {
        set_header(conn, "allow", allowed);
    }
    if let Some(seconds) = refusal::retry_seconds(status, None) {
        set_header(conn, "retry-after", &seconds.to_string());
    }
    if matches!(refusal, Refusal::Timeout | Refusal::BodyTruncated) {
        // The rest of the body is not read, so the connection cannot be reused.
        set_header(conn, "connection", "close");
    }
    json(conn, status, refusal.body());
}

pub(crate) fn json(conn: &mut Conn, status: u16, body: String) {
    set_header(conn, "content-type", "application/json");
    conn.set_status(status);
    conn.set_response_body(body);
}

pub(crate) fn set_header(conn: &mut Conn, name: &'static str, value: &str) {
    conn.response_headers_mut().insert(name, value.to_owned());
}
