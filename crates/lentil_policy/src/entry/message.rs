//! Events that an entry's shell reports and commands that it carries out.

use std::time;

use lentil_config::Objective;
use lentil_types::{
    AttemptId, FailReason, Fingerprint, IdempotencyKey, Instant, Outcome, RequestId, RunnerName,
};

use crate::{protocol, route, store};

/// A caller's request, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Names the request from here on.
    pub request: RequestId,
    /// What it asks of a runner.
    pub work: protocol::Work,
    /// What the backend server is sent.
    pub call: protocol::HttpCall,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Whether it may run at most once.
    pub once: bool,
    /// The caller's key.
    pub key: Option<IdempotencyKey>,
    /// What the request is known by when it crashes engines.
    pub fingerprint: Fingerprint,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller sent a request.
    Arrived(Box<Arrival>),
    /// A caller hung up.
    CallerGone(RequestId),
    /// A sidecar answered an offer.
    Bid(route::RunnerBid),
    /// A backend server has begun to answer.
    Started(RunnerName, protocol::Started),
    /// A piece of an answer came.
    Piece(RunnerName, protocol::Piece),
    /// An answer is whole.
    Ended(RunnerName, protocol::End),
    /// A sidecar said that an attempt has failed.
    Failed(RunnerName, protocol::Failed),
    /// An answer to a withdrawal.
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
    /// A runner said how it is, outside any request.
    Load(RunnerName, protocol::Load),
    /// What the market is run for changed.
    Objective(Objective),
    /// The set of runners changed.
    Runners(Vec<route::RunnerInfo>),
    /// The time of day, since the Unix epoch. Told at the start and every few
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
    /// The store answered.
    Store(store::StoreReply),
    /// The process stops: what is in flight goes on, nothing new begins.
    Drain,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is whole.
    Whole(protocol::Usage),
    /// There is no whole answer.
    Failed {
        /// [`Outcome::NotRun`], [`Outcome::Unknown`], or [`Outcome::Done`]
        /// when it ran earlier and its answer is no longer kept.
        outcome: Outcome,
        /// Why.
        reason: FailReason,
        /// When another try is worth while.
        retry: Option<time::Duration>,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Ask a runner for a bid.
    Offer(RunnerName, protocol::Offer),
    /// Send a request to a runner.
    Dispatch(RunnerName, Box<protocol::Dispatch>),
    /// Tell a runner to stop an attempt.
    Cancel(RunnerName, AttemptId),
    /// Ask a runner for proof that an attempt never started.
    Withdraw(RunnerName, AttemptId),
    /// Give the caller the answer's status and headers.
    Head {
        /// The request.
        request: RequestId,
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<protocol::Header>,
    },
    /// Give the caller the next piece.
    Emit {
        /// The request.
        request: RequestId,
        /// Place of the piece in the whole answer, from 0.
        offset: u64,
        /// The piece.
        data: Vec<u8>,
    },
    /// Give the caller the end of its answer. Nothing follows for this request.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        ending: Ending,
    },
    /// Call the platform's object API.
    Store(store::StoreCall),
}
