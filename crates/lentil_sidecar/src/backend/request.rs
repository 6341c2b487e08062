//! Sends HTTP requests to the backend server.

use lentil_policy::protocol;
use lentil_types::AttemptId;
use trillium_client::{Conn, Method, Url};

use super::{Backend, error::BackendError};

/// Hop-by-hop headers, not forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request ID of an attempt at the engine.
pub(super) fn engine_id(id: AttemptId) -> String {
    format!("{}-{}", id.request, id.attempt)
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn send(
    backend: &Backend,
    call: &protocol::HttpCall,
    extra: Vec<(&'static str, String)>,
    body: Vec<u8>,
) -> Result<Conn, BackendError> {
    let method = Method::try_from(call.method.as_str()).map_err(|_| BackendError::Malformed {
        what: "method",
        value: call.method.clone(),
    })?;
    let mut conn = backend.single.build_conn(method, url(backend, &call.path)?);
    for header in &call.headers {
        conn.request_headers_mut()
            .append(header.name.clone(), header.value.clone());
    }
    for (name, value) in extra {
        conn.request_headers_mut().insert(name, value);
    }
    conn.set_request_body(body);
    Ok(conn.await?)
}

/// URL of a path at the backend server, never at another host.
fn url(backend: &Backend, path: &str) -> Result<Url, BackendError> {
    let malformed = || BackendError::Malformed {
        what: "path",
        value: path.to_owned(),
    };
    if !path.starts_with('/') || path.contains(|c: char| c.is_ascii_control()) {
        return Err(malformed());
    }
    let (path, query) = match path.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (path, None),
    };
    let mut url = backend.base.clone();
    url.set_path(path);
    url.set_query(query);
    Ok(url)
}

/// Headers of an answer to forward, without those that are not UTF-8.
pub(super) fn answer_headers(conn: &Conn) -> Vec<protocol::Header> {
    let mut headers = Vec::new();
    for (name, values) in conn.response_headers() {
        let name = name.to_string().to_ascii_lowercase();
        if CONNECTION_HEADERS.contains(&name.as_str()) {
            continue;
        }
        for value in values.iter().filter_map(|value| value.as_str()) {
            headers.push(protocol::Header {
                name: name.clone(),
                value: value.to_owned(),
            });
        }
    }
    headers
}

/// HTTP status of an answer; 0 if there is none.
pub(super) fn answer_status(conn: &Conn) -> u16 {
    conn.status().map_or(0, |status| status as u16)
}
