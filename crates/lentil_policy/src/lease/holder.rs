//! State machine of one lease contender.

use std::time;

use lentil_types::{FencingNumber, Instant, NodeName, RegionName};

use super::Record;
use crate::store::{ObjectKey, ObjectVersion, OpId, StoreCall, StoreReply};

/// Settings of a [`Lease`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process.
    pub node: NodeName,
    /// Distinguishes starts of this process; drawn at random.
    pub nonce: u64,
    /// Key of the lease's object.
    pub key: ObjectKey,
    /// Duration of a tenure from a renewal.
    pub term: time::Duration,
    /// The holder stops this long before its term ends.
    pub margin: time::Duration,
    /// Time between reads of a lease held elsewhere.
    pub poll_interval: time::Duration,
}

impl Settings {
    /// The default settings for a lease.
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

/// Key of the lease for orders in a region.
pub fn key(region: &RegionName) -> ObjectKey {
    ObjectKey {
        kind: "leases".into(),
        name: region.as_str().into(),
    }
}

/// The lease's object as of its last observed change.
#[derive(Clone, Debug)]
struct Observed {
    version: ObjectVersion,
    /// `None` if absent or malformed.
    record: Option<Record>,
    /// When this process first saw it.
    since: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write { number: FencingNumber },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    op: OpId,
    kind: CallKind,
    sent_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    number: FencingNumber,
    until: Instant,
}

/// Acquires, renews and releases a lease for one process.
#[derive(Clone, Debug)]
pub struct Lease {
    settings: Settings,
    observed: Option<Observed>,
    call: Option<Call>,
    /// A write whose answer was lost, and its fencing number.
    unsettled: Option<(Call, FencingNumber)>,
    tenure: Option<Tenure>,
    next_op: u64,
    next_call: Instant,
    is_wanted: bool,
}

impl Lease {
    /// A contender that has not read the lease yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            observed: None,
            call: None,
            unsettled: None,
            tenure: None,
            next_op: 1,
            next_call: Instant::ZERO,
            is_wanted: true,
        }
    }

    /// The fencing number while the lease is held. Call right before each
    /// order, with the current time.
    pub fn permit(&self, now: Instant) -> Option<FencingNumber> {
        let tenure = self.tenure.filter(|tenure| now < tenure.until)?;
        self.is_wanted.then_some(tenure.number)
    }

    /// Last known number of the lease; 0 if none.
    pub fn number(&self) -> FencingNumber {
        let record = self
            .observed
            .as_ref()
            .and_then(|observed| observed.record.as_ref());
        record.map(|record| record.number).unwrap_or_default()
    }

    /// Stops contending. If the lease is held, the next call releases it.
    pub fn release(&mut self) {
        self.is_wanted = false;
        self.next_call = Instant::ZERO;
    }

    /// Returns the next call to the store, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<StoreCall> {
        if self.tenure.is_some_and(|tenure| now >= tenure.until) {
            // The tenure expired; the object may have changed since.
            self.tenure = None;
            self.next_call = now;
        }
        if self.call.is_some() || now < self.next_call {
            return None;
        }
        if self.unsettled.is_some() {
            return Some(self.read(now));
        }
        match &self.observed {
            None => Some(self.read(now)),
            Some(observed) => self.write(now, &observed.clone()),
        }
    }

    /// Handles an answer of the store; ignores answers to other calls.
    pub fn on_reply(&mut self, now: Instant, reply: &StoreReply) {
        let Some(call) = self.call.filter(|call| call.op == op_of(reply)) else {
            return;
        };
        self.call = None;
        match (call.kind, reply) {
            (_, StoreReply::Found { version, value, .. }) => self.on_found(now, *version, value),
            (CallKind::Write { number }, StoreReply::Updated { version, .. }) => {
                self.on_written(now, call, number, *version);
            }
            (CallKind::Write { number }, StoreReply::Lost { .. }) => {
                self.unsettled = Some((call, number));
                self.next_call = now + self.retry_delay();
            }
            (_, StoreReply::Conflict { .. }) => {
                // Another process wrote it and may be the new holder.
                self.tenure = None;
                self.observed = None;
                self.next_call = now;
            }
            _ => self.next_call = now + self.retry_delay(),
        }
    }

    // -----------------------------------------------------------------------
    // Store replies

    fn on_found(&mut self, now: Instant, version: ObjectVersion, value: &[u8]) {
        let text = str::from_utf8(value).ok();
        let record = text.and_then(|text| text.parse::<Record>().ok());
        let is_new = self
            .observed
            .as_ref()
            .is_none_or(|observed| observed.version < version);
        if is_new {
            self.observed = Some(Observed {
                version,
                record,
                since: now,
            });
        }
        self.settle(now);
        let is_free = self.may_write(now);
        let delay = if is_free {
            time::Duration::ZERO
        } else {
            self.settings.poll_interval
        };
        self.next_call = now + delay;
    }

    /// Checks whether an unanswered write took effect; if so, the tenure counts
    /// from its sending.
    fn settle(&mut self, now: Instant) {
        let Some((call, number)) = self.unsettled.take() else {
            return;
        };
        let record = self
            .observed
            .as_ref()
            .and_then(|observed| observed.record.as_ref());
        let is_this_write = |record: &Record| self.is_mine(record) && record.renewals == call.op.0;
        let until = call.sent_at + (self.settings.term - self.settings.margin);
        if record.is_some_and(is_this_write) && now < until {
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
        self.observed = Some(Observed {
            version,
            record: Some(record),
            since: now,
        });
        if !self.is_wanted {
            self.tenure = None;
            self.next_call = Instant::NEVER;
            return;
        }
        let until = call.sent_at + (self.settings.term - self.settings.margin);
        self.tenure = Some(Tenure { number, until });
        self.next_call = now + self.settings.term / 3;
    }

    // -----------------------------------------------------------------------
    // Store calls

    fn read(&mut self, now: Instant) -> StoreCall {
        let op = self.begin(now, CallKind::Read);
        let key = self.settings.key.clone();
        StoreCall::Read { op, key }
    }

    fn write(&mut self, now: Instant, observed: &Observed) -> Option<StoreCall> {
        if !self.may_write(now) {
            if self.is_wanted {
                return Some(self.read(now));
            }
            return None;
        }
        let number = match self.tenure {
            Some(tenure) => tenure.number,
            None => FencingNumber(self.number().0 + 1),
        };
        let op = self.begin(now, CallKind::Write { number });
        let record = self.record(op, number);
        Some(StoreCall::Update {
            op,
            key: self.settings.key.clone(),
            expect: observed.version,
            value: record.to_string().into_bytes(),
        })
    }

    /// Whether this process may write the lease: to renew, to release, or to
    /// acquire one that is free or was seen unchanged for a whole term.
    fn may_write(&self, now: Instant) -> bool {
        if self.tenure.is_some() {
            return true;
        }
        let Some(observed) = self.observed.as_ref().filter(|_| self.is_wanted) else {
            return false;
        };
        match &observed.record {
            None => true,
            Some(record) if record.holder.is_none() => true,
            // An earlier tenure of this process has expired.
            Some(record) if self.is_mine(record) => true,
            Some(record) => now.since(observed.since) >= record.term,
        }
    }

    fn begin(&mut self, now: Instant, kind: CallKind) -> OpId {
        let op = OpId(self.next_op);
        self.next_op += 1;
        let sent_at = now;
        self.call = Some(Call { op, kind, sent_at });
        op
    }

    /// The record that this process writes.
    fn record(&self, op: OpId, number: FencingNumber) -> Record {
        Record {
            number,
            holder: self.is_wanted.then(|| self.settings.node.clone()),
            nonce: self.settings.nonce,
            term: self.settings.term,
            renewals: op.0,
        }
    }

    fn is_mine(&self, record: &Record) -> bool {
        record.nonce == self.settings.nonce && record.holder.as_ref() == Some(&self.settings.node)
    }

    fn retry_delay(&self) -> time::Duration {
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
