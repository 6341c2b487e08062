//! Commits claims in groups.

use std::time;

use compact_str::{CompactString, format_compact};
use lentil_types::{AttemptId, IdempotencyKey, Instant, RunnerName, ServiceName, Table, TeamName};
use xxhash_rust::xxh3;

use crate::{claim, protocol, store};

use super::shard::{Flight, Settle, Shard, Waiting};

/// Kind of claim objects.
const KIND: &str = "claims";

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long keys are kept. Older ones are refused.
    pub retention: time::Duration,
    /// Keys made within one span share an object.
    pub key_span: time::Duration,
    /// Objects to a span.
    pub shards: u64,
    /// Least time between two writes of an object: calls meanwhile share one.
    pub write_interval: time::Duration,
    /// Most time that recording an end waits for a write to share.
    pub settle_wait: time::Duration,
    /// Time between two tries to record an end while the store is down.
    pub retry_interval: time::Duration,
    /// How long after its write began a claim may be acted on unread.
    pub grant_validity: time::Duration,
    /// How long an answer of the store is waited for.
    pub reply_timeout: time::Duration,
    /// Objects kept in memory when idle.
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

/// Asks for the right to run a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The attempt that would run.
    pub id: AttemptId,
    /// The service called.
    pub service: ServiceName,
    /// Whose key it is.
    pub team: TeamName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of the call.
    pub digest: u128,
    /// Where it would run.
    pub runner: RunnerName,
    /// The attempt that there is proof never ran, and whose claim this one
    /// replaces.
    pub replaces: Option<AttemptId>,
}

impl ClaimRequest {
    /// Digest of a call: two calls with the same one are the same call.
    pub fn digest_of(call: &protocol::HttpCall) -> u128 {
        let mut hash = xxh3::Xxh3::new();
        for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.digest128()
    }
}

/// What a [`ClaimRequest`] comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is committed: send the call, now.
    Granted,
    /// The call ran; its answer, where it is still kept.
    Done(Option<claim::Answer>),
    /// Another attempt holds the claim.
    Held {
        /// Where it runs.
        runner: RunnerName,
        /// That attempt.
        id: AttemptId,
        /// How long ago it was claimed.
        age: time::Duration,
    },
    /// It may have run, and nobody can tell.
    Unknown,
    /// The key belongs to another call.
    KeyReused,
    /// The key is older than the retention.
    KeyExpired,
    /// The key does not begin with a time.
    KeyInvalid,
    /// The object has no room for more claims.
    Full,
    /// The store cannot be reached. Nothing was sent.
    StoreDown,
}

/// The verdict on one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was asked.
    pub request: ClaimRequest,
    /// The verdict.
    pub verdict: ClaimVerdict,
}

/// The claims that an entry process works on.
#[derive(Debug)]
pub struct Ledger {
    pub(super) settings: Settings,
    pub(super) shards: Table<store::ObjectKey, Shard>,
    /// Time since the Unix epoch at a moment of the monotonic clock.
    pub(super) clock: Option<(Instant, time::Duration)>,
    pub(super) next_op: u64,
    pub(super) calls: Vec<store::StoreCall>,
    pub(super) decisions: Vec<Decision>,
}

impl Ledger {
    /// A ledger that has read nothing yet.
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

    /// The time of day. Without it no call is claimed.
    pub fn set_clock(&mut self, now: Instant, unix: time::Duration) {
        self.clock = Some((now, unix));
    }

    /// Asks for a claim. The verdict comes from [`Ledger::tick`].
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
        if let Some(verdict) = self.known_verdict(&object, &key, &request, unix) {
            self.decide(request, verdict);
            return;
        }
        let waiting = Waiting {
            request,
            key,
            asked: now,
            may_stand: false,
        };
        self.shard(now, object).asks.push(waiting);
    }

    /// A verdict that no later version of the object can change.
    fn known_verdict(
        &self,
        object: &store::ObjectKey,
        key: &str,
        request: &ClaimRequest,
        unix: time::Duration,
    ) -> Option<ClaimVerdict> {
        let (_, known) = self.shards.get(object)?.known.as_ref()?;
        let record = known.records.get(key)?;
        let is_over = record.state != claim::State::Sent;
        verdict_on(request, record, unix).filter(|_| is_over)
    }

    /// Takes a request back: its caller no longer waits. A claim that may stand is
    /// freed.
    pub fn abandon(&mut self, id: AttemptId) {
        let mut settles = Vec::new();
        for (_, shard) in self.shards.iter_mut() {
            let mut drop_ask = |waiting: &Waiting| {
                let ours = waiting.request.id == id;
                if ours && waiting.may_stand {
                    settles.push(not_run(waiting));
                }
                !ours
            };
            shard.asks.retain(&mut drop_ask);
            if let Some(Flight::Write { asks, .. }) = &mut shard.flight {
                let gone = asks.extract_if(.., |waiting| waiting.request.id == id);
                settles.extend(gone.map(|waiting| not_run(&waiting)));
            }
            shard.settles.append(&mut settles);
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
        if shard.settles.is_empty() {
            shard.settle_due = due;
        }
        shard.settles.push(Settle { key, id, settled });
    }

    /// Takes in an answer of the store.
    pub fn on_reply(&mut self, now: Instant, reply: store::StoreReply) {
        let op = op_of(&reply);
        let is_asker = |(key, shard): (&store::ObjectKey, &Shard)| {
            let flies = shard
                .flight
                .as_ref()
                .is_some_and(|flight| flight.op() == op);
            flies.then(|| key.clone())
        };
        let Some(key) = self.shards.iter().find_map(is_asker) else {
            return;
        };
        let Some(mut shard) = self.shards.remove(&key) else {
            return;
        };
        if let Some(flight) = shard.flight.take() {
            self.land(now, &mut shard, flight, reply);
        }
        self.shards.insert(key, shard);
    }

    /// Ends that are not recorded yet.
    pub fn unsettled(&self) -> usize {
        let of_shard = |shard: &Shard| {
            let in_flight = match &shard.flight {
                Some(Flight::Write { settles, .. }) => settles.len(),
                Some(Flight::Read { .. }) | None => 0,
            };
            shard.settles.len() + in_flight
        };
        self.shards.values().map(of_shard).sum()
    }

    /// Records ends at once from now on: the process stops.
    pub fn drain(&mut self, now: Instant) {
        self.settings.settle_wait = time::Duration::ZERO;
        for (_, shard) in self.shards.iter_mut() {
            shard.settle_due = shard.settle_due.min(now);
        }
    }

    /// Begins the calls to the store that are due. Returns them and what was
    /// decided since the last tick.
    pub fn tick(&mut self, now: Instant) -> (Vec<store::StoreCall>, Vec<Decision>) {
        let patience = self.settings.reply_timeout;
        let due = |(key, shard): (&store::ObjectKey, &Shard)| {
            (shard.due(patience) <= now).then(|| key.clone())
        };
        let keys: Vec<_> = self.shards.iter().filter_map(due).collect();
        for key in keys {
            if let Some(mut shard) = self.shards.remove(&key) {
                self.run(now, &key, &mut shard);
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
        let patience = self.settings.reply_timeout;
        let due = self.shards.values().map(|shard| shard.due(patience));
        due.min().unwrap_or(Instant::NEVER)
    }

    pub(super) fn decide(&mut self, request: ClaimRequest, verdict: ClaimVerdict) {
        self.decisions.push(Decision { request, verdict });
    }

    pub(super) fn op(&mut self) -> store::OpId {
        self.next_op += 1;
        store::OpId(self.next_op)
    }

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
            kind: KIND.into(),
            name: format_compact!("{service}.{span}.{shard}"),
        }
    }

    fn shard(&mut self, now: Instant, object: store::ObjectKey) -> &mut Shard {
        let shard = self.shards.get_or_insert_with(object, Shard::default);
        shard.used = now;
        shard
    }

    /// Forgets idle objects beyond the limit, oldest first.
    fn evict(&mut self) {
        let idle = |(key, shard): (&store::ObjectKey, &Shard)| {
            shard.is_idle().then(|| (shard.used, key.clone()))
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

/// What a claim that stands says to a request; `None` when the request may replace it.
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

fn not_run(waiting: &Waiting) -> Settle {
    Settle {
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
