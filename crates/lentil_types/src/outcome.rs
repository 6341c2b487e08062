//! Outcomes of requests and reasons for failures.

/// Outcome of a request, as reported to its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::FromRepr,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Outcome {
    /// It ran and the caller has the complete answer.
    Done = 0,
    /// Proven not executed: it did not run and never will.
    NotRun = 1,
    /// It may have run, completely or in part.
    Unknown = 2,
}

/// Why an attempt or a request has no complete answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::FromRepr,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
#[non_exhaustive]
pub enum FailReason {
    /// No runner of the service can take the request.
    NoRunner = 1,
    /// The predicted wait exceeds the deadline, or a queue is full.
    Overloaded = 2,
    /// The deadline passed.
    Deadline = 3,
    /// The runner is leaving or stopping.
    Leaving = 4,
    /// The engine restarted or ended after its bid.
    StaleBoot = 5,
    /// The engine serves other weights than the request was routed for.
    StaleWeights = 6,
    /// The engine crashed while the request ran.
    EngineDied = 7,
    /// The backend server answered with an error or broke its protocol.
    Backend = 8,
    /// The connection to the sidecar or its backend server was lost.
    Disconnected = 9,
    /// The caller disconnected or cancelled.
    Cancelled = 10,
    /// The attempt was withdrawn before it started.
    Withdrawn = 11,
    /// The request has crashed engines and is refused everywhere.
    Poison = 12,
    /// The platform's store cannot record a call that may not be repeated.
    StoreDown = 13,
    /// The idempotency key was used with another body.
    KeyReused = 14,
    /// The idempotency key is older than the retention time.
    KeyExpired = 15,
    /// The stream had a gap or ended early and could not be resumed.
    BrokenStream = 16,
    /// The team has used up its retries or its share.
    RateLimited = 17,
    /// Another call with the idempotency key is still running.
    InProgress = 18,
    /// The process has no configuration yet.
    NotReady = 19,
    /// The request is malformed.
    BadRequest = 20,
}
