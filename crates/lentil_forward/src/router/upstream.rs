//! Builds requests to runners and filters the headers of their answers.

use std::{fmt::Write as _, net, time};

use bytes::{BufMut as _, BytesMut};
use compact_str::CompactString;
use lentil_policy::forward::{placement, runners};

use super::plan::{Plan, Request};
use crate::{h1, names::HeaderNames};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields that differ between attempts.
#[derive(Clone, Copy)]
pub(super) struct AttemptFields<'a> {
    /// Deadline of the runner.
    pub(super) time_left: time::Duration,
    /// Id of the event after which the stream resumes.
    pub(super) last_event: Option<&'a CompactString>,
    /// Store to which the runner saves its prefilled segment.
    pub(super) save_to: Option<net::SocketAddr>,
}

pub(super) fn request_bytes(
    names: &HeaderNames,
    plan: &Plan,
    request: &Request,
    choice: &placement::Choice,
    fields: AttemptFields<'_>,
) -> BytesMut {
    let AttemptFields {
        time_left,
        last_event,
        save_to,
    } = fields;
    let head = &request.head;
    let mut out = BytesMut::with_capacity(1_024 + request.body.len());
    // Writing into memory cannot fail.
    let _ = write!(out, "{} {} HTTP/1.1\r\n", head.method, head.target);
    for (name, value) in head.headers.iter() {
        let is_replaced = last_event.is_some() && is_same_name(name, names.last_event);
        if is_forwarded(names, &head.headers, name) && !is_replaced {
            write_field(&mut out, name, value);
        }
    }
    if let Some(last_event) = last_event {
        write_field(&mut out, names.last_event, last_event.as_bytes());
    }
    let _ = write!(
        out,
        "{}: {}\r\n",
        names.deadline,
        time_left.as_millis().max(1)
    );
    let _ = write!(
        out,
        "{}: {}\r\n",
        names.expect_runner, choice.incarnation.name
    );
    if let Some(team) = &plan.team {
        let _ = write!(out, "{}: {}\r\n", names.team, team.name);
    }
    if let Some(version) = choice.version {
        let _ = write!(out, "{}: {version}\r\n", names.expect_weights);
        let salt = runners::salt(version, &choice.cache_group);
        let _ = write!(out, "{}: {salt}\r\n", names.cache_salt);
        let _ = write!(out, "{}: {}\r\n", names.priority, plan.priority);
    }
    if let Some(source) = choice.source {
        let _ = write!(out, "{}: {source}\r\n", names.fetch_from);
    }
    if let Some(store) = save_to {
        let _ = write!(out, "{}: {store}\r\n", names.save_to);
    }
    if head.framing != h1::Framing::Empty || !request.body.is_empty() {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.put_slice(b"\r\n");
    out.put_slice(&request.body);
    out
}

/// Headers of a runner's answer that the caller gets.
pub(super) fn answer_headers(names: &HeaderNames, headers: &h1::Headers) -> h1::Headers {
    let mut out = h1::Headers::default();
    for (name, value) in headers.iter() {
        let is_internal = [names.load, names.runner, names.not_run, "content-length"];
        if is_hop_by_hop(headers, name)
            || is_internal
                .iter()
                .any(|internal| is_same_name(name, internal))
        {
            continue;
        }
        out.push(name, value.clone());
    }
    out
}

fn is_forwarded(names: &HeaderNames, headers: &h1::Headers, name: &str) -> bool {
    if names
        .always_forwarded
        .iter()
        .any(|kept| is_same_name(name, kept))
    {
        return true;
    }
    let dropped = ["content-length", "expect", names.deadline, names.key];
    let is_own = names.reserved.iter().any(|own| is_same_name(name, own));
    !is_own
        && !dropped.iter().any(|other| is_same_name(name, other))
        && !is_hop_by_hop(headers, name)
}

fn is_hop_by_hop(headers: &h1::Headers, name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| is_same_name(name, hop)) || headers.lists("connection", name)
}

fn is_same_name(name: &str, other: &str) -> bool {
    name.eq_ignore_ascii_case(other)
}

fn write_field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
