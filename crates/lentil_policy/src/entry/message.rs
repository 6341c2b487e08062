//! Events that an entry's I/O shell reports and commands that it carries out.

use std::time;

use lentil_config::Objective;
use lentil_types::{
    AttemptId, FailReason, Fingerprint, IdempotencyKey, Instant, Outcome, RequestId, RunnerName,
};

use crate::{protocol, route, store};

/// A caller's request after validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// ID of the request.
    pub request: RequestId,
    /// What routing and queueing need to know of it.
    pub work: protocol::Work,
    /// The HTTP request that the backend server gets.
    pub call: protocol::HttpCall,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether it may run at most once.
    pub once: bool,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Identifies the request when it crashes engines.
    pub fingerprint: Fingerprint,
}

/// Input of [`EntryPolicy::on_event`](super::EntryPolicy::on_event).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived from a caller.
    Arrived(Box<Arrival>),
    /// The caller disconnected.
    CallerGone(RequestId),
    /// A sidecar answered an offer.
    Bid(route::RunnerBid),
    /// A backend server has begun to answer.
    Started(RunnerName, protocol::Started),
    /// A piece of an answer arrived.
    Piece(RunnerName, protocol::Piece),
    /// The answer is whole.
    Ended(RunnerName, protocol::End),
    /// A sidecar reported that an attempt failed.
    Failed(RunnerName, protocol::Failed),
    /// A sidecar answered a withdrawal.
    Withdrawn(RunnerName, protocol::Withdrawn),
    /// The exchange with a sidecar broke off.
    Disconnected {
        /// The runner.
        runner: RunnerName,
        /// The attempt.
        id: AttemptId,
        /// Whether any byte of the dispatch may have left this process.
        sent: bool,
    },
    /// A runner reported its state outside any request.
    Load(RunnerName, protocol::Load),
    /// The market's objective changed.
    Objective(Objective),
    /// The set of runners changed.
    Runners(Vec<route::RunnerInfo>),
    /// The time of day, since the Unix epoch. Reported at start and every few
    /// minutes; until then no call is claimed.
    Clock(time::Duration),
    /// A fingerprint crashed engines, here or elsewhere. After one crash it runs
    /// alone, after two it is refused.
    Crashed {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Crashes seen with it.
        crashes: u32,
    },
    /// The object store replied.
    Store(store::StoreReply),
    /// The process shuts down: requests in flight go on, new ones are refused.
    Drain,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller got a whole answer.
    Whole(protocol::Usage),
    /// The caller got no whole answer.
    Failed {
        /// [`Outcome::NotRun`], [`Outcome::Unknown`], or [`Outcome::Done`]
        /// when it ran earlier and its answer is no longer kept.
        outcome: Outcome,
        /// Why.
        reason: FailReason,
        /// Delay before a retry makes sense.
        retry: Option<time::Duration>,
    },
}

/// Output of [`EntryPolicy::tick`](super::EntryPolicy::tick).
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Ask a runner for a bid.
    Offer(RunnerName, protocol::Offer),
    /// Send a request to a runner.
    Dispatch(RunnerName, Box<protocol::Dispatch>),
    /// Cancel an attempt at a runner.
    Cancel(RunnerName, AttemptId),
    /// Ask a runner to prove that an attempt never started.
    Withdraw(RunnerName, AttemptId),
    /// Send the caller the answer's status and headers.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<protocol::Header>,
    },
    /// Send the caller the next piece.
    Emit {
        /// The request.
        request: RequestId,
        /// Index of the piece in the whole answer, from 0.
        offset: u64,
        /// Bytes of the piece.
        data: Vec<u8>,
    },
    /// End the answer. No further command follows for this request.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        ending: Ending,
    },
    /// Call the platform's object API.
    Store(store::StoreCall),
}
