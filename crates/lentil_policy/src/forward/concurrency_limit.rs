//! How many requests one router has at one runner at the same time.
//!
//! Load: more requests than the runners' slots and memory, sent by many routers that do not
//! see each other's latest requests. A runner that rejects a request because it is full
//! shows that they count each other's work wrongly, and the rejection is final for a
//! request that may be sent once. So each router learns how many requests of its own a
//! runner takes: one more for each round of answers, and a part less for a rejection, as
//! in TCP congestion control. Routers with the same runner approach equal shares without
//! knowing of each other.

use lentil_types::Instant;

/// Factor of a limit after a rejection. A half would leave slots empty until it has grown
/// again; with more, routers keep on being rejected while the load rises.
const DECREASE: f64 = 0.7;

/// Limit on a router's own requests in flight at a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConcurrencyLimit {
    /// `None` until the first rejection.
    limit: Option<f64>,
    reduced_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Whether another request may be sent while `in_flight` are.
    pub fn allows(&self, in_flight: u32) -> bool {
        self.limit
            .is_none_or(|limit| f64::from(in_flight) + 1.0 <= limit)
    }

    /// The limit; `None` if there is none yet.
    pub fn limit(&self) -> Option<u32> {
        // At least 1 and at most a count of requests.
        self.limit.map(|limit| limit as u32)
    }

    /// A full runner rejected a request that was sent at `sent_at`, while `in_flight`
    /// requests, this one included, were there. Returns whether this lowered the limit:
    /// a request sent before the last decrease says nothing about the new limit.
    pub fn on_rejected(&mut self, now: Instant, sent_at: Instant, in_flight: u32) -> bool {
        if self
            .reduced_at
            .is_some_and(|reduced_at| sent_at < reduced_at)
        {
            return false;
        }
        let tried = f64::from(in_flight);
        let used = self.limit.map_or(tried, |limit| limit.min(tried));
        self.limit = Some((used * DECREASE).max(1.0));
        self.reduced_at = Some(now);
        true
    }

    /// The runner answered a request.
    pub fn on_answered(&mut self) {
        if let Some(limit) = &mut self.limit {
            *limit += 1.0 / *limit;
        }
    }
}

/// Why a runner rejected a request that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectionKind {
    /// It has no room.
    Full,
    /// It changes its weights.
    ChangingWeights,
    /// It named a time before which it wants nothing.
    Deferred,
    /// Another runner has its address.
    WrongRunner,
    /// It has other weights than the request requires.
    WrongVersion,
    /// The request's deadline has passed, or is too close.
    Deadline,
    /// Any other reason.
    Other,
}

/// What a router knows of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the answer says when the runner wants requests again.
    pub has_retry: bool,
    /// Whether the answer names the runner that was asked; `None` if it names none.
    pub is_own: Option<bool>,
    /// Whether the request named the weights that it needs.
    pub names_weights: bool,
    /// Whether the runner changes its weights, by its last status.
    pub is_changing: bool,
}

impl Rejection {
    /// Whether it proves that another runner has the address. One with other weights than
    /// the request names answers with the same status, and may not give its name.
    pub fn is_by_other(&self) -> bool {
        self.status == 421 && !self.is_own.unwrap_or(self.names_weights)
    }

    /// The reason.
    pub fn kind(&self) -> RejectionKind {
        match self.status {
            503 if self.has_retry => RejectionKind::Deferred,
            503 if self.is_changing => RejectionKind::ChangingWeights,
            503 => RejectionKind::Full,
            // The runner is the right one, so what it lacks is the weights.
            421 if self.is_own == Some(true) => RejectionKind::WrongVersion,
            421 => RejectionKind::WrongRunner,
            409 | 412 => RejectionKind::WrongVersion,
            408 | 504 => RejectionKind::Deadline,
            _ => RejectionKind::Other,
        }
    }
}
