//! Reads and conditional writes of claim objects, and their replies.

use lentil_types::Instant;

use crate::{claim, store};

use super::{
    ClaimVerdict, Ledger,
    ledger::verdict_on,
    shard::{PendingOp, Shard, WaitingRequest},
};

impl Ledger {
    /// Starts the shard's next call, or gives up on a pending one that timed out.
    pub(super) fn advance(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        match shard.pending.take() {
            Some(pending) => {
                let op = pending.op();
                self.on_op_reply(now, shard, pending, store::StoreReply::Lost { op });
            }
            None => self.start_call(now, key, shard),
        }
    }

    fn start_call(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        let Some((version, object)) = shard.cached.clone() else {
            self.start_read(now, key, shard);
            return;
        };
        if self.needs_read(shard, &object) {
            self.start_read(now, key, shard);
            return;
        }
        let mut next = object.clone();
        for settlement in &shard.settlements {
            next.settle(&settlement.key, settlement.id, settlement.settled.clone());
        }
        let requests = self.add_claims(now, shard, &mut next);
        if next == object {
            shard.settlements.clear();
            return;
        }
        let value = self.encode(&mut next);
        let Some(value) = value else {
            for waiting in requests {
                self.decide(waiting.request, ClaimVerdict::Full);
            }
            shard.settle_due = now + self.settings.retry_interval;
            return;
        };
        let op = self.new_op();
        self.calls.push(store::StoreCall::Update {
            op,
            key: key.clone(),
            expect: version,
            value,
        });
        shard.call_due = now + self.settings.write_interval;
        shard.pending = Some(PendingOp::Write {
            op,
            next,
            requests,
            settlements: std::mem::take(&mut shard.settlements),
        });
        shard.op_started = now;
    }

    /// Whether a request meets a claim that was read before the request arrived.
    fn needs_read(&self, shard: &Shard, object: &claim::Object) -> bool {
        let is_stale = |waiting: &WaitingRequest| {
            let existing = object.records.get(&waiting.key);
            let held = existing.is_some_and(|record| record.state == claim::State::Sent);
            held && shard.read_at < waiting.requested_at
        };
        shard.requests.iter().any(is_stale)
    }

    /// Decides the requests that need no write and adds the claims of the others to
    /// `next`. Returns the others.
    fn add_claims(
        &mut self,
        now: Instant,
        shard: &mut Shard,
        next: &mut claim::Object,
    ) -> Vec<WaitingRequest> {
        let Some(unix) = self.unix(now) else {
            return Vec::new();
        };
        let mut granted = Vec::new();
        for waiting in std::mem::take(&mut shard.requests) {
            let existing = next.records.get(&waiting.key);
            if let Some(verdict) =
                existing.and_then(|record| verdict_on(&waiting.request, record, unix))
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

    /// Serialises an object, without answers if too large with them; `None` if
    /// still too large.
    fn encode(&self, object: &mut claim::Object) -> Option<Vec<u8>> {
        let fits = |value: &Vec<u8>| value.len() <= claim::MAX_OBJECT_BYTES;
        let value = object.to_bytes();
        if fits(&value) {
            return Some(value);
        }
        object.drop_answers();
        Some(object.to_bytes()).filter(fits)
    }

    fn start_read(&mut self, now: Instant, key: &store::ObjectKey, shard: &mut Shard) {
        let op = self.new_op();
        let key = key.clone();
        self.calls.push(store::StoreCall::Read { op, key });
        shard.op_started = now;
        shard.pending = Some(PendingOp::Read { op });
    }

    pub(super) fn on_op_reply(
        &mut self,
        now: Instant,
        shard: &mut Shard,
        pending: PendingOp,
        reply: store::StoreReply,
    ) {
        use store::StoreReply;
        match (pending, reply) {
            (PendingOp::Read { .. }, StoreReply::Found { version, value, .. }) => {
                match claim::Object::parse(&value) {
                    Ok(object) => {
                        shard.cached = Some((version, object));
                        shard.read_at = now;
                    }
                    // A malformed object is never overwritten.
                    Err(_) => self.on_store_down(now, shard),
                }
            }
            (PendingOp::Read { .. }, _) => self.on_store_down(now, shard),
            (PendingOp::Write { next, requests, .. }, StoreReply::Updated { version, .. }) => {
                shard.cached = Some((version, next));
                self.on_committed(now, shard, requests);
            }
            (
                PendingOp::Write {
                    requests,
                    settlements,
                    ..
                },
                StoreReply::Refused { .. },
            ) => {
                shard.requeue(requests, settlements, false);
                self.on_store_down(now, shard);
            }
            (
                PendingOp::Write {
                    requests,
                    settlements,
                    ..
                },
                StoreReply::Conflict { .. },
            ) => {
                shard.requeue(requests, settlements, false);
                shard.call_due = now;
            }
            // The write may have taken effect, so the object is read back.
            (
                PendingOp::Write {
                    requests,
                    settlements,
                    ..
                },
                _,
            ) => {
                shard.requeue(requests, settlements, true);
                shard.call_due = now;
            }
        }
    }

    fn on_committed(&mut self, now: Instant, shard: &mut Shard, requests: Vec<WaitingRequest>) {
        if now.since(shard.op_started) <= self.settings.grant_validity {
            for waiting in requests {
                self.decide(waiting.request, ClaimVerdict::Granted);
            }
            return;
        }
        // Other entries may have replaced this paused process's claims, so they
        // are read again.
        shard.requeue(requests, Vec::new(), true);
        shard.call_due = now;
    }

    fn on_store_down(&mut self, now: Instant, shard: &mut Shard) {
        for waiting in shard.abandon_all() {
            self.decide(waiting.request, ClaimVerdict::StoreDown);
        }
        shard.settle_due = now + self.settings.retry_interval;
    }
}
