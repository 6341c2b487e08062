//! Requests that are refused before they reach the policy.

use std::time;

use lentil_types::{FailReason, Outcome};

use crate::openai;

/// Delay before a retry, where the policy gives none.
const DEFAULT_RETRY: time::Duration = time::Duration::from_secs(1);

/// A request that is refused before it reaches the policy. It did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    #[error("no team has this API key")]
    Unauthorized,
    #[error("the head is not well-formed HTTP/1.1")]
    BadHead,
    #[error("the head is larger than allowed")]
    HeadTooLarge,
    #[error("the request took too long to arrive")]
    Timeout,
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    #[error("the body broke off")]
    BodyTruncated,
    #[error("the body is no valid request: {0}")]
    BadBody(String),
    #[error("{0:?} is missing")]
    MissingField(&'static str),
    #[error("header {0} has a value that is not allowed")]
    BadHeader(String),
    #[error("no model {0:?}")]
    UnknownModel(String),
    #[error("no service {0:?}")]
    UnknownService(String),
    #[error("nothing is at this path")]
    UnknownPath,
    #[error("this path takes only {0}")]
    MethodNotAllowed(&'static str),
    #[error("no configuration is known yet")]
    NotReady,
}

impl Refusal {
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::BadHead
            | Self::BodyTruncated
            | Self::BadBody(_)
            | Self::MissingField(_)
            | Self::BadHeader(_) => 400,
            Self::Unauthorized => 401,
            Self::UnknownModel(_) | Self::UnknownService(_) | Self::UnknownPath => 404,
            Self::MethodNotAllowed(_) => 405,
            Self::Timeout => 408,
            Self::BodyTooLarge(_) => 413,
            Self::HeadTooLarge => 431,
            Self::NotReady => 503,
        }
    }

    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::BadHead => "bad_request",
            Self::BodyTruncated => "body_broke_off",
            Self::BadBody(_) => "invalid_body",
            Self::MissingField(_) => "missing_field",
            Self::BadHeader(_) => "invalid_header",
            Self::Unauthorized => "invalid_api_key",
            Self::UnknownModel(_) => "model_not_found",
            Self::UnknownService(_) => "service_not_found",
            Self::UnknownPath => "not_found",
            Self::MethodNotAllowed(_) => "method_not_allowed",
            Self::Timeout => "request_timeout",
            Self::BodyTooLarge(_) => "body_too_large",
            Self::HeadTooLarge => "headers_too_large",
            Self::NotReady => "not_ready",
        }
    }

    pub(crate) fn body(&self) -> String {
        openai::error_body(
            self.status(),
            &self.to_string(),
            self.code(),
            Outcome::NotRun,
        )
    }

    /// The serialized response, for a connection that is closed after it.
    pub(crate) fn whole_response(&self) -> String {
        let body = self.body();
        let status = trillium_http::Status::try_from(self.status())
            .unwrap_or(trillium_http::Status::BadRequest);
        format!(
            "HTTP/1.1 {} {}\r\nconnection: close\r\ncontent-type: application/json\r\n\
             x-lentil-outcome: {}\r\ncontent-length: {}\r\n\r\n{body}",
            status as u16,
            status.canonical_reason(),
            Outcome::NotRun,
            body.len(),
        )
    }
}

/// HTTP status of a request that the policy gave up.
pub(crate) fn status_of(reason: FailReason) -> u16 {
    match reason {
        FailReason::Deadline => 504,
        FailReason::RateLimited => 429,
        FailReason::KeyReused | FailReason::KeyExpired | FailReason::Poison => 422,
        FailReason::InProgress => 409,
        FailReason::BadRequest => 400,
        FailReason::Backend | FailReason::BrokenStream | FailReason::EngineDied => 502,
        _ => 503,
    }
}

/// Error body of a request that the policy gave up.
pub(crate) fn failed_body(outcome: Outcome, reason: FailReason) -> String {
    let what = match outcome {
        Outcome::Done => "the request ran earlier and its answer is no longer kept",
        Outcome::NotRun => "the request did not run",
        Outcome::Unknown => "it is not known whether the request ran",
    };
    let message = format!("{what}: {reason}");
    openai::error_body(status_of(reason), &message, reason.into(), outcome)
}

/// Value of the `retry-after` header, in whole seconds; `None` for no header.
pub(crate) fn retry_seconds(status: u16, retry: Option<time::Duration>) -> Option<u64> {
    let retry = match (status, retry) {
        (_, Some(retry)) => retry,
        (409 | 429 | 503, None) => DEFAULT_RETRY,
        (_, None) => return None,
    };
    let seconds = retry.as_secs() + u64::from(retry.subsec_nanos() > 0);
    Some(seconds.max(1))
}
