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
    pub span: time::Duration,
    /// Objects to a span.
    pub shards: u64,
    /// Least time between two writes of an object: calls meanwhile share one.
    pub window: time::Duration,
    /// Most time that recording an end waits for a write to share.
    pub settle_wait: time::Duration,
    /// Time between two tries to record an end while the store is down.
    pub retry: time::Duration,
    /// How long after its write began a claim may be acted on unread.
    pub act_within: time::Duration,
    /// How long an answer of the store is waited for.
    pub answer_within: time::Duration,
    /// Objects kept in memory when idle.
    pub cached: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(400 * 24 * 3_600),
            span: time::Duration::from_secs(1),
            shards: 1,
            window: time::Duration::from_millis(50),
            settle_wait: time::Duration::from_secs(1),
            retry: time::Duration::from_millis(500),
            act_within: time::Duration::from_secs(5),
            answer_within: time::Duration::from_secs(2),
            cached: 32,
        }
    }
}

/// Asks for the right to run a call once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
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

impl Ask {
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

/// What an [`Ask`] comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
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
    Reused,
    /// The key is older than the retention.
    Expired,
    /// The key does not begin with a time.
    Unreadable,
    /// The object has no room for more claims.
    Full,
    /// The store cannot be reached. Nothing was sent.
    StoreDown,
}

/// The verdict on one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// What was asked.
    pub ask: Ask,
    /// The verdict.
    pub verdict: Verdict,
}

/// The claims that an entry process works on.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    shards: Table<store::ObjectKey, Shard>,
    /// Time since the Unix epoch at a moment of the monotonic clock.
    clock: Option<(Instant, time::Duration)>,
    next_op: u64,
    calls: Vec<store::StoreCall>,
    decisions: Vec<Decision>,
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
    pub fn ask(&mut self, now: Instant, ask: Ask) {
        let Some(unix) = self.unix(now) else {
            self.decide(ask, Verdict::StoreDown);
            return;
        };
        let made = match claim::age_of(&ask.key, unix, self.settings.retention) {
            claim::KeyAge::Kept(made) => made,
            claim::KeyAge::Expired => return self.decide(ask, Verdict::Expired),
            claim::KeyAge::Unreadable => return self.decide(ask, Verdict::Unreadable),
        };
        let key = record_key(&ask.team, &ask.key);
        let object = self.object_of(&ask.service, made, &key);
        if let Some(verdict) = self.known_verdict(&object, &key, &ask, unix) {
            self.decide(ask, verdict);
            return;
        }
        let waiting = Waiting {
            ask,
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
        ask: &Ask,
        unix: time::Duration,
    ) -> Option<Verdict> {
        let (_, known) = self.shards.get(object)?.known.as_ref()?;
        let record = known.records.get(key)?;
        let is_over = record.state != claim::State::Sent;
        verdict_on(ask, record, unix).filter(|_| is_over)
    }

    /// Takes an ask back: its caller no longer waits. A claim that may stand is
    /// freed.
    pub fn abandon(&mut self, id: AttemptId) {
        let mut settles = Vec::new();
        for (_, shard) in self.shards.iter_mut() {
            let mut drop_ask = |waiting: &Waiting| {
                let ours = waiting.ask.id == id;
                if ours && waiting.may_stand {
                    settles.push(not_run(waiting));
                }
                !ours
            };
            shard.asks.retain(&mut drop_ask);
            if let Some(Flight::Write { asks, .. }) = &mut shard.flight {
                let gone = asks.extract_if(.., |waiting| waiting.ask.id == id);
                settles.extend(gone.map(|waiting| not_run(&waiting)));
            }
            shard.settles.append(&mut settles);
        }
    }

    /// Records how a claimed attempt ended.
    pub fn settle(&mut self, now: Instant, ask: &Ask, id: AttemptId, settled: claim::Settled) {
        let Some(unix) = self.unix(now) else { return };
        let claim::KeyAge::Kept(made) = claim::age_of(&ask.key, unix, self.settings.retention)
        else {
            return;
        };
        let key = record_key(&ask.team, &ask.key);
        let object = self.object_of(&ask.service, made, &key);
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
    pub fn hurry(&mut self, now: Instant) {
        self.settings.settle_wait = time::Duration::ZERO;
        for (_, shard) in self.shards.iter_mut() {
            shard.settle_due = shard.settle_due.min(now);
        }
    }

    /// Begins the calls to the store that are due. Returns them and what was
    /// decided since the last tick.
    pub fn tick(&mut self, now: Instant) -> (Vec<store::StoreCall>, Vec<Decision>) {
        let patience = self.settings.answer_within;
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
        let patience = self.settings.answer_within;
        let due = self.shards.values().map(|shard| shard.due(patience));
        due.min().unwrap_or(Instant::NEVER)
    }

    // -----------------------------------------------------------------------
    // Calls to the store

    /// Begins the shard's next call, or gives up waiting for the last one.
    fn run(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        match shard.flight.take() {
            Some(flight) => {
                let op = flight.op();
                self.land(now, shard, flight, store::StoreReply::Lost { op });
            }
            None => self.begin(now, key, shard),
        }
    }

    fn begin(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        let Some((version, object)) = shard.known.clone() else {
            self.read(now, key, shard);
            return;
        };
        if self.needs_read(shard, &object) {
            self.read(now, key, shard);
            return;
        }
        let mut next = object.clone();
        for settle in &shard.settles {
            next.settle(&settle.key, settle.id, settle.settled.clone());
        }
        let asks = self.grant(now, shard, &mut next);
        if next == object {
            shard.settles.clear();
            return;
        }
        let value = self.fit(&mut next);
        let Some(value) = value else {
            for waiting in asks {
                self.decide(waiting.ask, Verdict::Full);
            }
            shard.settle_due = now + self.settings.retry;
            return;
        };
        let op = self.op();
        self.calls.push(store::StoreCall::Update {
            op,
            key: key.clone(),
            expect: version,
            value,
        });
        shard.due = now + self.settings.window;
        shard.flight = Some(Flight::Write {
            op,
            next,
            asks,
            settles: std::mem::take(&mut shard.settles),
        });
        shard.begun = now;
    }

    /// Whether an ask meets a claim of another attempt that was read before it
    /// asked.
    fn needs_read(&self, shard: &Shard, object: &claim::Object) -> bool {
        let meets_old = |waiting: &Waiting| {
            let met = object.records.get(&waiting.key);
            let held = met.is_some_and(|record| record.state == claim::State::Sent);
            held && shard.read_at < waiting.asked
        };
        shard.asks.iter().any(meets_old)
    }

    /// Decides the asks that need no write and adds the claims of the others to
    /// `next`. Returns the others.
    fn grant(&mut self, now: Instant, shard: &mut Shard, next: &mut claim::Object) -> Vec<Waiting> {
        let Some(unix) = self.unix(now) else {
            return Vec::new();
        };
        let mut granted = Vec::new();
        for waiting in std::mem::take(&mut shard.asks) {
            let met = next.records.get(&waiting.key);
            if let Some(verdict) = met.and_then(|record| verdict_on(&waiting.ask, record, unix)) {
                self.decide(waiting.ask, verdict);
                continue;
            }
            let record = claim::Record {
                digest: waiting.ask.digest,
                id: waiting.ask.id,
                runner: waiting.ask.runner.clone(),
                since: unix,
                state: claim::State::Sent,
            };
            next.records.insert(waiting.key.clone(), record);
            granted.push(waiting);
        }
        granted
    }

    /// The value of an object, without answers when it is too large with them;
    /// `None` when it is too large even so.
    fn fit(&self, object: &mut claim::Object) -> Option<Vec<u8>> {
        let fits = |value: &Vec<u8>| value.len() <= claim::MAX_OBJECT_BYTES;
        let value = object.to_bytes();
        if fits(&value) {
            return Some(value);
        }
        object.drop_answers();
        Some(object.to_bytes()).filter(fits)
    }

    fn read(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        let op = self.op();
        let key = key.clone();
        self.calls.push(store::StoreCall::Read { op, key });
        shard.begun = now;
        shard.flight = Some(Flight::Read { op });
    }

    // -----------------------------------------------------------------------
    // Answers of the store

    fn land(&mut self, now: Instant, shard: &mut Shard, flight: Flight, reply: store::StoreReply) {
        use store::StoreReply;
        match (flight, reply) {
            (Flight::Read { .. }, StoreReply::Found { version, value, .. }) => {
                match claim::Object::parse(&value) {
                    Ok(object) => {
                        shard.known = Some((version, object));
                        shard.read_at = now;
                    }
                    // An object that cannot be read is never overwritten.
                    Err(_) => self.store_down(now, shard),
                }
            }
            (Flight::Read { .. }, _) => self.store_down(now, shard),
            (Flight::Write { next, asks, .. }, StoreReply::Updated { version, .. }) => {
                shard.known = Some((version, next));
                self.committed(now, shard, asks);
            }
            (Flight::Write { asks, settles, .. }, StoreReply::Refused { .. }) => {
                shard.requeue(asks, settles, false);
                self.store_down(now, shard);
            }
            (Flight::Write { asks, settles, .. }, StoreReply::Conflict { .. }) => {
                shard.requeue(asks, settles, false);
                shard.due = now;
            }
            // The write may be in force: the object is read back.
            (Flight::Write { asks, settles, .. }, _) => {
                shard.requeue(asks, settles, true);
                shard.due = now;
            }
        }
    }

    fn committed(&mut self, now: Instant, shard: &mut Shard, asks: Vec<Waiting>) {
        if now.since(shard.begun) <= self.settings.act_within {
            for waiting in asks {
                self.decide(waiting.ask, Verdict::Granted);
            }
            return;
        }
        // This process was paused: its claims are looked at again.
        shard.requeue(asks, Vec::new(), true);
        shard.due = now;
    }

    fn store_down(&mut self, now: Instant, shard: &mut Shard) {
        for waiting in shard.give_up() {
            self.decide(waiting.ask, Verdict::StoreDown);
        }
        shard.settle_due = now + self.settings.retry;
    }

    // -----------------------------------------------------------------------
    // Parts

    fn decide(&mut self, ask: Ask, verdict: Verdict) {
        self.decisions.push(Decision { ask, verdict });
    }

    fn op(&mut self) -> store::OpId {
        self.next_op += 1;
        store::OpId(self.next_op)
    }

    fn unix(&self, now: Instant) -> Option<time::Duration> {
        self.clock.map(|(then, unix)| unix + now.since(then))
    }

    fn object_of(
        &self,
        service: &ServiceName,
        made: time::Duration,
        key: &str,
    ) -> store::ObjectKey {
        let span = made.as_secs() / self.settings.span.as_secs().max(1);
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
        if keys.len() <= self.settings.cached {
            return;
        }
        keys.sort();
        let surplus = keys.len() - self.settings.cached;
        for (_, key) in keys.into_iter().take(surplus) {
            self.shards.remove(&key);
        }
    }
}

/// What a claim that stands says to an ask; `None` when the ask may replace it.
fn verdict_on(ask: &Ask, record: &claim::Record, unix: time::Duration) -> Option<Verdict> {
    if record.digest != ask.digest {
        return Some(Verdict::Reused);
    }
    match &record.state {
        claim::State::Done(answer) => Some(Verdict::Done(answer.clone())),
        claim::State::Unknown => Some(Verdict::Unknown),
        claim::State::Sent if record.id == ask.id => Some(Verdict::Granted),
        claim::State::Sent if ask.replaces == Some(record.id) => None,
        claim::State::Sent => Some(Verdict::Held {
            runner: record.runner.clone(),
            id: record.id,
            age: unix.saturating_sub(record.since),
        }),
    }
}

fn record_key(team: &TeamName, key: &IdempotencyKey) -> CompactString {
    format_compact!("{team}/{key}")
}

fn not_run(waiting: &Waiting) -> Settle {
    Settle {
        key: waiting.key.clone(),
        id: waiting.ask.id,
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
