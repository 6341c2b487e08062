//! Calls to the store and its answers.

use lentil_types::Instant;

use crate::{claim, store};

use super::{
    ClaimVerdict, Ledger,
    ledger::verdict_on,
    shard::{Flight, Shard, Waiting},
};

impl Ledger {
    /// Begins the shard's next call, or gives up waiting for the last one.
    pub(super) fn run(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
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
                self.decide(waiting.request, ClaimVerdict::Full);
            }
            shard.settle_due = now + self.settings.retry_interval;
            return;
        };
        let op = self.op();
        self.calls.push(store::StoreCall::Update {
            op,
            key: key.clone(),
            expect: version,
            value,
        });
        shard.due = now + self.settings.write_interval;
        shard.flight = Some(Flight::Write {
            op,
            next,
            asks,
            settles: std::mem::take(&mut shard.settles),
        });
        shard.begun = now;
    }

    /// Whether a request meets a claim of another attempt that was read before it
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
            if let Some(verdict) = met.and_then(|record| verdict_on(&waiting.request, record, unix))
            {
                self.decide(waiting.request, verdict);
                continue;
            }
            let record = claim::Record {
                digest: waiting.request.digest,
                id: waiting.request.id,
                runner: waiting.request.runner.clone(),
                claimed_at: unix,
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

    pub(super) fn land(
        &mut self,
        now: Instant,
        shard: &mut Shard,
        flight: Flight,
        reply: store::StoreReply,
    ) {
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
        if now.since(shard.begun) <= self.settings.grant_validity {
            for waiting in asks {
                self.decide(waiting.request, ClaimVerdict::Granted);
            }
            return;
        }
        // This process was paused: its claims are looked at again.
        shard.requeue(asks, Vec::new(), true);
        shard.due = now;
    }

    fn store_down(&mut self, now: Instant, shard: &mut Shard) {
        for waiting in shard.give_up() {
            self.decide(waiting.request, ClaimVerdict::StoreDown);
        }
        shard.settle_due = now + self.settings.retry_interval;
    }
}
