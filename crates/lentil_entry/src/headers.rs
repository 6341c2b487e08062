//! Headers that the entry reads, and those that it forwards.

use std::time;

use lentil_policy::protocol;
use lentil_types::{Class, IdempotencyKey};
use trillium_http::Headers;

use crate::refusal::Refusal;

/// Class of the request; by default that of its service.
pub(crate) const CLASS: &str = "x-lentil-class";
/// Milliseconds that the caller waits for its answer.
pub(crate) const DEADLINE: &str = "x-lentil-deadline-ms";
/// Idempotency key; required for an at-most-once call.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header with the ID of the request.
pub(crate) const REQUEST: &str = "x-lentil-request";
/// Response header with the outcome of the request.
pub(crate) const OUTCOME: &str = "x-lentil-outcome";

/// Prefix of headers that only an entry reads or writes. They are never forwarded.
const INTERNAL_PREFIX: &str = "x-lentil-";

/// Hop-by-hop headers, and those that the entry handles itself.
const NOT_FORWARDED: [&str; 15] = [
    "authorization",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "server",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The API key in the `authorization` header.
pub(crate) fn api_key(headers: &Headers) -> Option<&str> {
    let value = headers.get_str("authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(key.trim_start())
}

pub(crate) fn class(headers: &Headers) -> Result<Option<Class>, Refusal> {
    match value(headers, CLASS)? {
        Some(class) => class.parse().map(Some).map_err(|_| bad(CLASS)),
        None => Ok(None),
    }
}

/// How long a caller waits for its answer, if it sets a limit.
pub(crate) fn budget(headers: &Headers) -> Result<Option<time::Duration>, Refusal> {
    let Some(text) = value(headers, DEADLINE)? else {
        return Ok(None);
    };
    let ms = text.parse().map_err(|_| bad(DEADLINE))?;
    Ok(Some(time::Duration::from_millis(ms)))
}

pub(crate) fn idempotency_key(headers: &Headers) -> Result<Option<IdempotencyKey>, Refusal> {
    match value(headers, IDEMPOTENCY_KEY)? {
        Some(key) => IdempotencyKey::new(key)
            .map(Some)
            .map_err(|_| bad(IDEMPOTENCY_KEY)),
        None => Ok(None),
    }
}

/// Checks that the length of the body is given unambiguously.
pub(crate) fn check_framing(headers: &Headers) -> Result<(), Refusal> {
    if let Some(lengths) = headers.get_values("content-length") {
        let valid = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if lengths.len() != 1 || !lengths.as_str().is_some_and(valid) {
            return Err(bad("content-length"));
        }
    }
    match value(headers, "transfer-encoding")? {
        Some(coding) if !coding.eq_ignore_ascii_case("chunked") => Err(bad("transfer-encoding")),
        _ => Ok(()),
    }
}

/// Largest body that is discarded to use the connection again, in bytes.
const MAX_DISCARDED_BYTES: u64 = 16 * 1024;

/// Whether the body may be too large to be discarded.
pub(crate) fn has_large_body(headers: &Headers) -> bool {
    let length = headers.get_str("content-length");
    let length = length.map(|text| text.trim().parse::<u64>());
    let is_chunked = headers.get_values("transfer-encoding").is_some();
    is_chunked
        || length.is_some_and(|length| length.is_ok_and(|length| length > MAX_DISCARDED_BYTES))
}

/// Headers that are forwarded to a plain service.
pub(crate) fn forwarded(headers: &Headers) -> Result<Vec<protocol::Header>, Refusal> {
    let connection_options = value(headers, "connection")?.unwrap_or_default();
    let connection_options: Vec<_> = connection_options.split(',').map(str::trim).collect();
    let mut forwarded = Vec::new();
    for (name, values) in headers {
        let name = name.as_ref().to_ascii_lowercase();
        let is_hop_by_hop = connection_options
            .iter()
            .any(|other| other.eq_ignore_ascii_case(&name));
        if is_hop_by_hop || !is_forwarded(&name) {
            continue;
        }
        for value in values {
            let value = value.as_str().ok_or_else(|| bad(&name))?.to_owned();
            let name = name.clone();
            forwarded.push(protocol::Header { name, value });
        }
    }
    Ok(forwarded)
}

/// Whether a header with this lower-case name is forwarded.
pub(crate) fn is_forwarded(name: &str) -> bool {
    !name.starts_with(INTERNAL_PREFIX) && !NOT_FORWARDED.contains(&name)
}

/// The value of a header, if present; refused if it is not UTF-8.
fn value<'a>(headers: &'a Headers, name: &'static str) -> Result<Option<&'a str>, Refusal> {
    if !headers.has_header(name) {
        return Ok(None);
    }
    headers.get_str(name).map(Some).ok_or_else(|| bad(name))
}

fn bad(name: &str) -> Refusal {
    Refusal::BadHeader(name.to_owned())
}
