//! JSON form of a request.

use std::borrow::Cow;

use lentil_types::{Class, IdempotencyKey, Instant, ModelName, ServiceName, TeamName, Tokens};

#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Line<'a> {
    /// Microseconds since the start of the trace.
    pub(crate) at: Instant,
    pub(crate) team: Cow<'a, TeamName>,
    pub(crate) class: Class,
    pub(crate) service: Cow<'a, ServiceName>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) model: Option<Cow<'a, ModelName>>,
    /// Number of an earlier request, and of its pieces that this one shares.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) base: Option<(usize, usize)>,
    /// The remaining pieces.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) pieces: Vec<String>,
    pub(crate) prompt: Tokens,
    pub(crate) output: Tokens,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) key: Option<Cow<'a, IdempotencyKey>>,
}
