//! Decodes what a runner says of itself in the head of an answer.

use std::time;

use lentil_policy::forward::runners;
use lentil_types::ParseRateError;

use crate::{h1, names};

/// A field that cannot be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum AnnouncementError {
    #[error("invalid limit: {0}")]
    Limit(#[from] ParseRateError),
    #[error("invalid time: {0:?} is not a number of seconds")]
    RetryAfter(String),
}

pub(super) fn decode(
    names: &names::HeaderNames,
    head: &h1::ResponseHead,
) -> Result<runners::Announcement, AnnouncementError> {
    let text = |name| head.headers.text(name).map(str::trim);
    let limit = text(names.limit).map(str::parse).transpose()?;
    // Other statuses carry the field for the caller.
    let retry_after = text(names.retry_after).filter(|_| head.status == 503);
    Ok(runners::Announcement {
        limit,
        is_leaving: text(names.leaving) == Some("1"),
        retry_after: retry_after.map(seconds).transpose()?,
    })
}

fn seconds(text: &str) -> Result<time::Duration, AnnouncementError> {
    let error = || AnnouncementError::RetryAfter(text.to_owned());
    let seconds: f64 = text.parse().map_err(|_| error())?;
    if seconds.is_nan() || seconds < 0.0 {
        return Err(error());
    }
    // Too large for a duration: any bound applies.
    Ok(time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX))
}
