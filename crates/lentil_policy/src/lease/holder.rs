//! One process's part in a lease.

use std::time;

use lentil_types::{FencingNumber, Instant, NodeName, RegionName};

use super::Record;
use crate::store::{ObjectKey, ObjectVersion, OpId, StoreCall, StoreReply};

/// Settings of a [`Lease`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeName,
    /// Tells this life of the process from others; drawn at random.
    pub nonce: u64,
    /// The lease's object.
    pub key: ObjectKey,
    /// How long a tenure lasts after a renewal.
    pub term: time::Duration,
    /// How long before its end the holder stops.
    pub margin: time::Duration,
    /// Time between two looks at a lease that another process has.
    pub poll_interval: time::Duration,
}

impl Settings {
    /// The usual settings for a lease.
    pub fn new(node: NodeName, nonce: u64, key: ObjectKey) -> Self {
        Self {
            node,
            nonce,
            key,
            term: time::Duration::from_secs(15),
            margin: time::Duration::from_secs(2),
            poll_interval: time::Duration::from_secs(3),
        }
    }
}

/// The object of the lease for orders in a region.
pub fn key(region: &RegionName) -> ObjectKey {
    ObjectKey {
        kind: "leases".into(),
        name: region.as_str().into(),
    }
}

/// What the lease's object was when it was last seen to change.
#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    record: Option<Record>,
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    Read,
    Write { number: FencingNumber },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    op: OpId,
    kind: Pending,
    sent: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    number: FencingNumber,
    until: Instant,
}

/// One process's part in a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    seen: Option<Seen>,
    call: Option<Call>,
    /// A write whose answer was lost, and the tenure that it was for.
    unsettled: Option<(Call, FencingNumber)>,
    tenure: Option<Tenure>,
    next_op: u64,
    next_call: Instant,
    wanted: bool,
}

impl Lease {
    /// A process that wants the lease and knows nothing of it.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            seen: None,
            call: None,
            unsettled: None,
            tenure: None,
            next_op: 1,
            next_call: Instant::ZERO,
            wanted: true,
        }
    }

    /// The fencing number, while this process holds the lease. Ask right before
    /// each order, with the time of that moment.
    pub fn permit(&self, now: Instant) -> Option<FencingNumber> {
        let tenure = self.tenure.filter(|tenure| now < tenure.until)?;
        self.wanted.then_some(tenure.number)
    }

    /// The highest number seen in the lease's object.
    pub fn number(&self) -> FencingNumber {
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        record.map(|record| record.number).unwrap_or_default()
    }

    /// Stops holding and wanting the lease. The next call gives it back.
    pub fn release(&mut self) {
        self.wanted = false;
        self.next_call = Instant::ZERO;
    }

    /// The next call to the store, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<StoreCall> {
        if self.tenure.is_some_and(|tenure| now >= tenure.until) {
            // Lapsed: whatever is known of the object is old.
            self.tenure = None;
            self.next_call = now;
        }
        if self.call.is_some() || now < self.next_call {
            return None;
        }
        if self.unsettled.is_some() {
            return Some(self.read(now));
        }
        match &self.seen {
            None => Some(self.read(now)),
            Some(seen) => self.write(now, &seen.clone()),
        }
    }

    /// Takes in an answer of the store. Answers to other calls are ignored.
    pub fn on_reply(&mut self, now: Instant, reply: &StoreReply) {
        let Some(call) = self.call.filter(|call| call.op == op_of(reply)) else {
            return;
        };
        self.call = None;
        match (call.kind, reply) {
            (_, StoreReply::Found { version, value, .. }) => self.on_found(now, *version, value),
            (Pending::Write { number }, StoreReply::Updated { version, .. }) => {
                self.on_written(now, call, number, *version);
            }
            (Pending::Write { number }, StoreReply::Lost { .. }) => {
                self.unsettled = Some((call, number));
                self.next_call = now + self.retry();
            }
            (_, StoreReply::Conflict { .. }) => {
                // Somebody else has written: it may be a new holder.
                self.tenure = None;
                self.seen = None;
                self.next_call = now;
            }
            _ => self.next_call = now + self.retry(),
        }
    }

    // -----------------------------------------------------------------------
    // Answers

    fn on_found(&mut self, now: Instant, version: ObjectVersion, value: &[u8]) {
        let text = str::from_utf8(value).ok();
        let record = text.and_then(|text| text.parse::<Record>().ok());
        let is_new = self.seen.as_ref().is_none_or(|seen| seen.version < version);
        if is_new {
            self.seen = Some(Seen {
                version,
                record,
                since: now,
            });
        }
        self.settle(now);
        let is_free = self.may_write(now);
        let pause = if is_free {
            time::Duration::ZERO
        } else {
            self.settings.poll_interval
        };
        self.next_call = now + pause;
    }

    /// Finds out what became of a write whose answer was lost.
    fn settle(&mut self, now: Instant) {
        let Some((call, number)) = self.unsettled.take() else {
            return;
        };
        let record = self.seen.as_ref().and_then(|seen| seen.record.as_ref());
        let is_it = |record: &Record| self.is_mine(record) && record.renewals == call.op.0;
        let until = call.sent + (self.settings.term - self.settings.margin);
        if record.is_some_and(is_it) && now < until {
            self.tenure = Some(Tenure { number, until });
        }
    }

    fn on_written(
        &mut self,
        now: Instant,
        call: Call,
        number: FencingNumber,
        version: ObjectVersion,
    ) {
        let record = self.record(call.op, number);
        self.seen = Some(Seen {
            version,
            record: Some(record),
            since: now,
        });
        if !self.wanted {
            self.tenure = None;
            self.next_call = Instant::NEVER;
            return;
        }
        let until = call.sent + (self.settings.term - self.settings.margin);
        self.tenure = Some(Tenure { number, until });
        self.next_call = now + self.settings.term / 3;
    }

    // -----------------------------------------------------------------------
    // Calls

    fn read(&mut self, now: Instant) -> StoreCall {
        let op = self.begin(now, Pending::Read);
        let key = self.settings.key.clone();
        StoreCall::Read { op, key }
    }

    fn write(&mut self, now: Instant, seen: &Seen) -> Option<StoreCall> {
        if !self.may_write(now) {
            if self.wanted {
                return Some(self.read(now));
            }
            return None;
        }
        let number = match self.tenure {
            Some(tenure) => tenure.number,
            None => FencingNumber(self.number().0 + 1),
        };
        let op = self.begin(now, Pending::Write { number });
        let record = self.record(op, number);
        Some(StoreCall::Update {
            op,
            key: self.settings.key.clone(),
            expect: seen.version,
            value: record.to_string().into_bytes(),
        })
    }

    /// Whether this process may write the lease: to renew it, to give it back,
    /// or to take one that is free or has not changed for a whole term here.
    fn may_write(&self, now: Instant) -> bool {
        if self.tenure.is_some() {
            return true;
        }
        let Some(seen) = self.seen.as_ref().filter(|_| self.wanted) else {
            return false;
        };
        match &seen.record {
            None => true,
            Some(record) if record.holder.is_none() => true,
            // An earlier tenure of this same process has lapsed.
            Some(record) if self.is_mine(record) => true,
            Some(record) => now.since(seen.since) >= record.term,
        }
    }

    fn begin(&mut self, now: Instant, kind: Pending) -> OpId {
        let op = OpId(self.next_op);
        self.next_op += 1;
        let sent = now;
        self.call = Some(Call { op, kind, sent });
        op
    }

    /// What a write of this process says.
    fn record(&self, op: OpId, number: FencingNumber) -> Record {
        Record {
            number,
            holder: self.wanted.then(|| self.settings.node.clone()),
            nonce: self.settings.nonce,
            term: self.settings.term,
            renewals: op.0,
        }
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.nonce == self.settings.nonce && record.holder.as_ref() == Some(&self.settings.node)
    }

    fn retry(&self) -> time::Duration {
        self.settings.margin / 2
    }
}

fn op_of(reply: &StoreReply) -> OpId {
    match reply {
        StoreReply::Found { op, .. }
        | StoreReply::Updated { op, .. }
        | StoreReply::Conflict { op }
        | StoreReply::Refused { op }
        | StoreReply::Lost { op } => *op,
    }
}
