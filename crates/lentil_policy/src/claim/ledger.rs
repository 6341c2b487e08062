//! Commits claims to the store, several in one write.

use std::time;

use compact_str::{CompactString, format_compact};
use lentil_types::{AttemptId, IdempotencyKey, Instant, RunnerName, ServiceName, Table, TeamName};
use xxhash_rust::xxh3;

use crate::{claim, protocol, store};

use super::shard::{PendingOp, Settlement, Shard, WaitingRequest};

/// Kind of claim objects in the store.
const OBJECT_KIND: &str = "claims";

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long keys are valid. Older ones are refused.
    pub retention: time::Duration,
    /// Keys created within one span share an object.
    pub key_span: time::Duration,
    /// Objects per span.
    pub shards: u64,
    /// Least time between two writes of an object; calls meanwhile share one.
    pub write_interval: time::Duration,
    /// How long the record of an end may wait to share a write.
    pub settle_wait: time::Duration,
    /// Retry delay of recording an end while the store is down.
    pub retry_interval: time::Duration,
    /// How long after the start of its write a claim may be acted on unread.
    pub grant_validity: time::Duration,
    /// How long to wait for a reply of the store.
    pub reply_timeout: time::Duration,
    /// Most idle objects cached in memory.
    pub max_idle: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(400 * 24 * 3_600),
            key_span: time::Duration::from_secs(1),
            shards: 1,
            write_interval: time::Duration::from_millis(50),
            settle_wait: time::Duration::from_secs(1),
            retry_interval: time::Duration::from_millis(500),
            grant_validity: time::Duration::from_secs(5),
            reply_timeout: time::Duration::from_secs(2),
            max_idle: 32,
        }
    }
}

/// A request for the right to run a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The attempt to run.
    pub id: AttemptId,
    /// The service called.
    pub service: ServiceName,
    /// Owner of the key.
    pub team: TeamName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// [Digest](Self::digest_of) of the call.
    pub digest: u128,
    /// Where the attempt is to run.
    pub runner: RunnerName,
    /// The attempt, proven not run, whose claim this one replaces.
    pub replaces: Option<AttemptId>,
}

impl ClaimRequest {
    /// Hash of method, path and body; calls with the same one are the same call.
    pub fn digest_of(call: &protocol::HttpCall) -> u128 {
        let mut hash = xxh3::Xxh3::new();
        for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.digest128()
    }
}

/// Result of a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is committed: send the call now.
    Granted,
    /// The call ran; its answer, if still kept.
    Done(Option<claim::Answer>),
    /// Another attempt holds the claim.
    Held {
        /// Where it runs.
        runner: RunnerName,
        /// The attempt.
        id: AttemptId,
        /// Time since it was claimed.
        age: time::Duration,
    },
    /// It may have run; the outcome is unknown.
    Unknown,
    /// The key belongs to another call.
    KeyReused,
    /// The key is older than the retention.
    KeyExpired,
    /// The key does not begin with a time, or with one in the future.
    KeyInvalid,
    /// The object has reached its size limit.
    Full,
    /// The store or the time of day is unavailable. Nothing was sent.
    StoreDown,
}

/// The verdict on one claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub request: ClaimRequest,
    /// Its result.
    pub verdict: ClaimVerdict,
}

/// The claims of an entry process, with a cache of claim objects.
#[derive(Debug)]
pub struct Ledger {
    pub(super) settings: Settings,
    pub(super) shards: Table<store::ObjectKey, Shard>,
    /// Time since the Unix epoch at an instant.
    pub(super) clock: Option<(Instant, time::Duration)>,
    pub(super) next_op: u64,
    pub(super) calls: Vec<store::StoreCall>,
    pub(super) decisions: Vec<Decision>,
}

impl Ledger {
    /// A ledger with no cached object.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            shards: Table::new(),
            clock: None,
            next_op: 0,
            calls: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// Sets the time of day. Until then no call is claimed.
    pub fn set_clock(&mut self, now: Instant, unix: time::Duration) {
        self.clock = Some((now, unix));
    }

    /// Requests a claim. [`Ledger::tick`] returns the decision.
    pub fn request(&mut self, now: Instant, request: ClaimRequest) {
        let Some(unix) = self.unix(now) else {
            self.decide(request, ClaimVerdict::StoreDown);
            return;
        };
        let created = match claim::age_of(&request.key, unix, self.settings.retention) {
            claim::KeyAge::Valid(created) => created,
            claim::KeyAge::Expired => return self.decide(request, ClaimVerdict::KeyExpired),
            claim::KeyAge::Invalid => return self.decide(request, ClaimVerdict::KeyInvalid),
        };
        let key = record_key(&request.team, &request.key);
        let object = self.object_of(&request.service, created, &key);
        if let Some(verdict) = self.cached_verdict(&object, &key, &request, unix) {
            self.decide(request, verdict);
            return;
        }
        let waiting = WaitingRequest {
            request,
            key,
            requested_at: now,
            maybe_committed: false,
        };
        self.shard(now, object).requests.push(waiting);
    }

    /// A verdict that no later version of the object can change.
    fn cached_verdict(
        &self,
        object: &store::ObjectKey,
        key: &str,
        request: &ClaimRequest,
        unix: time::Duration,
    ) -> Option<ClaimVerdict> {
        let (_, cached) = self.shards.get(object)?.cached.as_ref()?;
        let record = cached.records.get(key)?;
        let is_settled = record.state != claim::State::Sent;
        verdict_on(request, record, unix).filter(|_| is_settled)
    }

    /// Withdraws a request whose caller stopped waiting. A possibly committed
    /// claim is released.
    pub fn abandon(&mut self, id: AttemptId) {
        let mut settlements = Vec::new();
        for (_, shard) in self.shards.iter_mut() {
            let mut keep_others = |waiting: &WaitingRequest| {
                let is_abandoned = waiting.request.id == id;
                if is_abandoned && waiting.maybe_committed {
                    settlements.push(not_run(waiting));
                }
                !is_abandoned
            };
            shard.requests.retain(&mut keep_others);
            if let Some(PendingOp::Write { requests, .. }) = &mut shard.pending {
                let gone = requests.extract_if(.., |waiting| waiting.request.id == id);
                settlements.extend(gone.map(|waiting| not_run(&waiting)));
            }
            shard.settlements.append(&mut settlements);
        }
    }

    /// Records how a claimed attempt ended.
    pub fn settle(
        &mut self,
        now: Instant,
        request: &ClaimRequest,
        id: AttemptId,
        settled: claim::Settled,
    ) {
        let Some(unix) = self.unix(now) else { return };
        let claim::KeyAge::Valid(created) =
            claim::age_of(&request.key, unix, self.settings.retention)
        else {
            return;
        };
        let key = record_key(&request.team, &request.key);
        let object = self.object_of(&request.service, created, &key);
        let due = now + self.settings.settle_wait;
        let shard = self.shard(now, object);
        if shard.settlements.is_empty() {
            shard.settle_due = due;
        }
        shard.settlements.push(Settlement { key, id, settled });
    }

    /// Handles a reply of the store.
    pub fn on_reply(&mut self, now: Instant, reply: store::StoreReply) {
        let op = op_of(&reply);
        let is_waiting = |(key, shard): (&store::ObjectKey, &Shard)| {
            let is_match = shard
                .pending
                .as_ref()
                .is_some_and(|pending| pending.op() == op);
            is_match.then(|| key.clone())
        };
        let Some(key) = self.shards.iter().find_map(is_waiting) else {
            return;
        };
        let Some(mut shard) = self.shards.remove(&key) else {
            return;
        };
        if let Some(pending) = shard.pending.take() {
            self.on_op_reply(now, &mut shard, pending, reply);
        }
        self.shards.insert(key, shard);
    }

    /// Ends that are not recorded yet.
    pub fn unsettled(&self) -> usize {
        let of_shard = |shard: &Shard| {
            let in_flight = match &shard.pending {
                Some(PendingOp::Write { settlements, .. }) => settlements.len(),
                Some(PendingOp::Read { .. }) | None => 0,
            };
            shard.settlements.len() + in_flight
        };
        self.shards.values().map(of_shard).sum()
    }

    /// Records ends without delay from now on, for shutdown.
    pub fn drain(&mut self, now: Instant) {
        self.settings.settle_wait = time::Duration::ZERO;
        for (_, shard) in self.shards.iter_mut() {
            shard.settle_due = shard.settle_due.min(now);
        }
    }

    /// Starts the due store calls. Returns them and the decisions since the
    /// last tick.
    pub fn tick(&mut self, now: Instant) -> (Vec<store::StoreCall>, Vec<Decision>) {
        let reply_timeout = self.settings.reply_timeout;
        let due = |(key, shard): (&store::ObjectKey, &Shard)| {
            (shard.due(reply_timeout) <= now).then(|| key.clone())
        };
        let keys: Vec<_> = self.shards.iter().filter_map(due).collect();
        for key in keys {
            if let Some(mut shard) = self.shards.remove(&key) {
                self.advance(now, &key, &mut shard);
                self.shards.insert(key, shard);
            }
        }
        self.evict();
        let calls = std::mem::take(&mut self.calls);
        (calls, std::mem::take(&mut self.decisions))
    }

    /// When the next tick is due without an event.
    pub fn next_wake(&self) -> Instant {
        if !self.decisions.is_empty() {
            return Instant::ZERO;
        }
        let reply_timeout = self.settings.reply_timeout;
        let due = self.shards.values().map(|shard| shard.due(reply_timeout));
        due.min().unwrap_or(Instant::NEVER)
    }

    pub(super) fn decide(&mut self, request: ClaimRequest, verdict: ClaimVerdict) {
        self.decisions.push(Decision { request, verdict });
    }

    pub(super) fn new_op(&mut self) -> store::OpId {
        self.next_op += 1;
        store::OpId(self.next_op)
    }

    /// Time since the Unix epoch at `now`; `None` before the clock is set.
    pub(super) fn unix(&self, now: Instant) -> Option<time::Duration> {
        self.clock.map(|(then, unix)| unix + now.since(then))
    }

    fn object_of(
        &self,
        service: &ServiceName,
        created: time::Duration,
        key: &str,
    ) -> store::ObjectKey {
        let span = created.as_secs() / self.settings.key_span.as_secs().max(1);
        let shard = xxh3::xxh3_64(key.as_bytes()) % self.settings.shards.max(1);
        store::ObjectKey {
            kind: OBJECT_KIND.into(),
            name: format_compact!("{service}.{span}.{shard}"),
        }
    }

    fn shard(&mut self, now: Instant, object: store::ObjectKey) -> &mut Shard {
        let shard = self.shards.get_or_insert_with(object, Shard::default);
        shard.last_used = now;
        shard
    }

    /// Evicts idle objects beyond the limit, least recently used first.
    fn evict(&mut self) {
        let idle = |(key, shard): (&store::ObjectKey, &Shard)| {
            shard.is_idle().then(|| (shard.last_used, key.clone()))
        };
        let mut keys: Vec<_> = self.shards.iter().filter_map(idle).collect();
        if keys.len() <= self.settings.max_idle {
            return;
        }
        keys.sort();
        let surplus = keys.len() - self.settings.max_idle;
        for (_, key) in keys.into_iter().take(surplus) {
            self.shards.remove(&key);
        }
    }
}

/// Verdict of an existing claim on a request; `None` if the request may replace it.
pub(super) fn verdict_on(
    request: &ClaimRequest,
    record: &claim::Record,
    unix: time::Duration,
) -> Option<ClaimVerdict> {
    if record.digest != request.digest {
        return Some(ClaimVerdict::KeyReused);
    }
    match &record.state {
        claim::State::Done(answer) => Some(ClaimVerdict::Done(answer.clone())),
        claim::State::Unknown => Some(ClaimVerdict::Unknown),
        claim::State::Sent if record.id == request.id => Some(ClaimVerdict::Granted),
        claim::State::Sent if request.replaces == Some(record.id) => None,
        claim::State::Sent => Some(ClaimVerdict::Held {
            runner: record.runner.clone(),
            id: record.id,
            age: unix.saturating_sub(record.claimed_at),
        }),
    }
}

fn record_key(team: &TeamName, key: &IdempotencyKey) -> CompactString {
    format_compact!("{team}/{key}")
}

fn not_run(waiting: &WaitingRequest) -> Settlement {
    Settlement {
        key: waiting.key.clone(),
        id: waiting.request.id,
        settled: claim::Settled::NotRun,
    }
}

fn op_of(reply: &store::StoreReply) -> store::OpId {
    use store::StoreReply;
    match reply {
        StoreReply::Found { op, .. }
        | StoreReply::Updated { op, .. }
        | StoreReply::Conflict { op }
        | StoreReply::Refused { op }
        | StoreReply::Lost { op } => *op,
    }
}
