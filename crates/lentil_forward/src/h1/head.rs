//! Parsing of request and response heads.

use std::{ops, time};

use bytes::Bytes;
use compact_str::CompactString;

use super::{
    body::Framing,
    error::{BadHead, ReadError},
    headers::Headers,
};

/// Most header fields of a head.
const MAX_FIELDS: usize = 100;
/// Status codes of HTTP. Others have no meaning that a caller could rely on.
const STATUSES: ops::RangeInclusive<u16> = 100..=599;

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method.
    pub method: CompactString,
    /// Request target as sent: path and query, or an absolute URL.
    pub target: CompactString,
    /// Whether the connection may be reused after the answer.
    pub keep_alive: bool,
    /// Whether the caller accepts chunked answers: HTTP/1.1, not 1.0.
    pub chunked: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: CompactString,
    /// Whether the connection may be reused after the answer.
    pub keep_alive: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Length that the head names, which may be that of a body that does not follow.
    pub length: Option<u64>,
}

impl RequestHead {
    /// Parses a whole head, including the empty line.
    ///
    /// # Errors
    /// [`BadHead`] when it is invalid or parsers could read it differently.
    pub fn parse(head: &Bytes) -> Result<Self, BadHead> {
        check_lines(head)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(head) {
            Ok(httparse::Status::Complete(size)) if size == head.len() => {}
            _ => return Err(BadHead::Syntax),
        }
        let version = request.version.ok_or(BadHead::Syntax)?;
        let headers = to_headers(head, request.headers);
        if headers.all("host").count() != 1 {
            return Err(BadHead::Repeated);
        }
        let framing = match body_framing(&headers)? {
            Some(framing) => framing,
            None => Framing::Empty,
        };
        Ok(Self {
            method: request.method.ok_or(BadHead::Syntax)?.into(),
            target: request.path.ok_or(BadHead::Syntax)?.into(),
            keep_alive: keeps_alive(version, &headers),
            chunked: version == 1,
            framing,
            headers,
        })
    }

    /// Path of the target, without the query.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        let target = match target.split_once("://") {
            Some((_, rest)) if !target.starts_with('/') => {
                rest.find('/').map_or("/", |start| &rest[start..])
            }
            _ => target,
        };
        target.split(['?', '#']).next().unwrap_or(target)
    }

    /// The query of the target, empty if it has none.
    pub fn query(&self) -> &str {
        let target = self.target.split('#').next().unwrap_or_default();
        target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Value of the `Host` field, without the port.
    pub fn host(&self) -> Option<&str> {
        let host = self.headers.text("host")?.trim();
        Some(host.split(':').next().unwrap_or(host))
    }
}

impl ResponseHead {
    /// Parses the whole head of an answer to a request with `method`, including the
    /// empty line.
    ///
    /// # Errors
    /// [`BadHead`] when it is invalid or parsers could read it differently.
    pub fn parse(head: &Bytes, method: &str) -> Result<Self, BadHead> {
        check_lines(head)?;
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        match response.parse(head) {
            Ok(httparse::Status::Complete(size)) if size == head.len() => {}
            _ => return Err(BadHead::Syntax),
        }
        let version = response.version.ok_or(BadHead::Syntax)?;
        let status = response.code.filter(|status| STATUSES.contains(status));
        let status = status.ok_or(BadHead::Syntax)?;
        let headers = to_headers(head, response.headers);
        let named = body_framing(&headers)?;
        let framing = match (status, named) {
            (204 | 304, _) => Framing::Empty,
            _ if method == "HEAD" => Framing::Empty,
            (_, Some(framing)) => framing,
            (_, None) => Framing::UntilClose,
        };
        let length = match named {
            Some(Framing::Length(length)) if status != 204 => Some(length),
            _ => None,
        };
        Ok(Self {
            status,
            reason: response.reason.unwrap_or_default().into(),
            keep_alive: keeps_alive(version, &headers) && framing != Framing::UntilClose,
            headers,
            framing,
            length,
        })
    }

    /// How long the server keeps an idle connection, from `Keep-Alive: timeout`.
    /// `None`: it does not say.
    pub fn idle_time(&self) -> Option<time::Duration> {
        let text = self.headers.text("keep-alive")?;
        let fields = text.split(',').map(str::trim);
        let mut times = fields.filter_map(|field| field.strip_prefix("timeout="));
        let seconds = times.next()?.trim().parse().ok()?;
        Some(time::Duration::from_secs(seconds))
    }
}

/// Size of the head, including the empty line. `None`: it is incomplete.
pub(super) fn head_size(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// Checks that every line ends with CR LF: other parsers would end the head at an
/// empty line of bare line feeds.
pub(super) fn check_lines(bytes: &[u8]) -> Result<(), BadHead> {
    let is_bare = |index: usize| index == 0 || bytes[index - 1] != b'\r';
    let line_feeds = bytes.iter().enumerate().filter(|(_, b)| **b == b'\n');
    if line_feeds.into_iter().any(|(index, _)| is_bare(index)) {
        return Err(BadHead::LineEnd);
    }
    Ok(())
}

fn to_headers(head: &Bytes, fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, head.slice_ref(field.value));
    }
    headers
}

fn keeps_alive(version: u8, headers: &Headers) -> bool {
    match version {
        1 => !headers.lists("connection", "close"),
        _ => headers.lists("connection", "keep-alive"),
    }
}

/// How header fields frame the body. `None`: none does.
fn body_framing(headers: &Headers) -> Result<Option<Framing>, BadHead> {
    let mut lengths = headers.all("content-length");
    let mut codings = headers.all("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(BadHead::Framing);
    }
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(length), None) => parse_length(length).map(|n| Some(Framing::Length(n))),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(BadHead::Framing),
    }
}

fn parse_length(text: &[u8]) -> Result<u64, BadHead> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(BadHead::Framing);
    }
    let text = std::str::from_utf8(text).map_err(|_| BadHead::Framing)?;
    text.parse().map_err(|_| BadHead::Framing)
}

impl From<httparse::Error> for BadHead {
    fn from(_: httparse::Error) -> Self {
        Self::Syntax
    }
}

impl From<BadHead> for std::io::Error {
    fn from(error: BadHead) -> Self {
        Self::new(std::io::ErrorKind::InvalidData, error)
    }
}

pub(super) fn too_large(limit: usize) -> ReadError {
    ReadError::HeadTooLarge(limit)
}
