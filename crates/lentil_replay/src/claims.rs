//! Measures the store traffic that claims cause, on a simulated clock.

use std::{cmp, collections::BinaryHeap, fmt, time};

use lentil_policy::{
    claim,
    store::{ObjectKey, ObjectVersion, StoreCall, StoreReply},
};
use lentil_types::{
    Attempt, AttemptId, IdempotencyKey, Instant, RequestId, RunnerName, ServiceName, Table,
    TeamName,
};
use rand::{RngExt as _, SeedableRng as _};

/// Unix time at the start, in seconds.
const UNIX_START_SECS: u64 = 1_800_000_000;
/// Time from a grant to the answer of the call.
const CALL_DURATION: time::Duration = time::Duration::from_millis(200);
/// Maximum age of a key at its call.
const MAX_KEY_AGE_SECS: u64 = 2;
/// Size of the body of an answer.
const ANSWER_BYTES: usize = 100;

/// Settings of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Calls per second over all entries.
    pub rate: u64,
    /// Number of entries.
    pub entries: usize,
    /// Time over which calls arrive.
    pub duration: time::Duration,
    /// Time from a store call to its reply.
    pub latency: time::Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Settings of the ledgers of claims.
    pub claims: claim::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 10,
            entries: 3,
            duration: time::Duration::from_secs(30),
            latency: time::Duration::from_millis(5),
            seed: 1,
            claims: claim::Settings::default(),
        }
    }
}

/// Results of one measurement.
#[derive(Clone, Debug, Default)]
pub struct Measurement {
    /// Calls that requested a claim.
    pub calls: u64,
    /// Calls whose claim was committed.
    pub granted: u64,
    /// Writes to the store, including conflicts.
    pub writes: u64,
    /// Writes that failed with a conflict.
    pub conflicts: u64,
    /// Reads of the store.
    pub reads: u64,
    /// Bytes of all writes.
    pub bytes: u64,
    /// Largest object, in bytes.
    pub largest: usize,
    /// Times from the request of a claim to its commit.
    waits: Vec<time::Duration>,
}

impl Measurement {
    /// Quantile of the time from the request of a claim to its commit.
    pub fn wait(&self, quantile: f64) -> time::Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let index = (waits.len() as f64 * quantile) as usize;
        waits
            .get(index)
            .or(waits.last())
            .copied()
            .unwrap_or_default()
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_call = |count: u64| count as f64 / self.calls.max(1) as f64;
        write!(
            f,
            "calls {} granted {} writes/call {:.3} conflicts/call {:.3} reads/call {:.3} \
             bytes/call {:.0} largest object {} B wait p50 {:?} p99 {:?}",
            self.calls,
            self.granted,
            per_call(self.writes),
            per_call(self.conflicts),
            per_call(self.reads),
            per_call(self.bytes),
            self.largest,
            self.wait(0.5),
            self.wait(0.99),
        )
    }
}

/// An event at an entry.
enum Event {
    Request(Box<claim::ClaimRequest>),
    Settle(Box<claim::ClaimRequest>),
    Reply(StoreReply),
    Wake,
}

struct Scheduled {
    at: Instant,
    order: u64,
    entry: usize,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // Reversed: the heap pops the greatest, which must be the earliest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Bench {
    settings: Settings,
    ledgers: Vec<claim::Ledger>,
    objects: Table<ObjectKey, (ObjectVersion, Vec<u8>)>,
    queue: BinaryHeap<Scheduled>,
    count: u64,
    requested_at: Table<AttemptId, Instant>,
    measured: Measurement,
}

/// Runs one measurement.
pub fn measure(settings: Settings) -> Measurement {
    let ledger = |_| {
        let mut ledger = claim::Ledger::new(settings.claims);
        let unix = time::Duration::from_secs(UNIX_START_SECS);
        ledger.set_clock(Instant::ZERO, unix);
        ledger
    };
    let mut bench = Bench {
        settings,
        ledgers: (0..settings.entries).map(ledger).collect(),
        objects: Table::new(),
        queue: BinaryHeap::new(),
        count: 0,
        requested_at: Table::new(),
        measured: Measurement::default(),
    };
    bench.schedule_calls();
    while let Some(scheduled) = bench.queue.pop() {
        bench.handle(scheduled);
    }
    bench.measured
}

impl Bench {
    fn schedule_calls(&mut self) {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(self.settings.seed);
        let calls = self.settings.rate * self.settings.duration.as_secs();
        let micros = self.settings.duration.as_micros() as u64;
        for number in 1..=calls {
            let at = Instant(rng.random_range(0..micros));
            let created =
                UNIX_START_SECS + at.0 / 1_000_000 - rng.random_range(0..=MAX_KEY_AGE_SECS);
            let request = claim::ClaimRequest {
                id: AttemptId {
                    request: RequestId(u128::from(number)),
                    attempt: Attempt::FIRST,
                },
                service: ServiceName::new("dockdesk").expect("a name"),
                team: TeamName::new("team").expect("a name"),
                key: IdempotencyKey::new(&format!("{created}-release-{number}")).expect("a key"),
                digest: u128::from(number),
                runner: RunnerName::new("dockdesk-1").expect("a name"),
                replaces: None,
            };
            let entry = rng.random_range(0..self.settings.entries);
            self.push(at, entry, Event::Request(Box::new(request)));
        }
        self.measured.calls = calls;
    }

    fn push(&mut self, at: Instant, entry: usize, event: Event) {
        self.count += 1;
        let order = self.count;
        self.queue.push(Scheduled {
            at,
            order,
            entry,
            event,
        });
    }

    fn handle(&mut self, scheduled: Scheduled) {
        let Scheduled {
            at, entry, event, ..
        } = scheduled;
        let ledger = &mut self.ledgers[entry];
        match event {
            Event::Request(request) => {
                self.requested_at.insert(request.id, at);
                ledger.request(at, *request);
            }
            Event::Settle(request) => {
                let answer = claim::Answer {
                    status: 200,
                    headers: Vec::new(),
                    body: vec![b'x'; ANSWER_BYTES],
                };
                let done = claim::Settled::Done(Some(answer));
                ledger.settle(at, &request, request.id, done);
            }
            Event::Reply(reply) => ledger.on_reply(at, reply),
            Event::Wake => {}
        }
        self.tick(at, entry);
    }

    fn tick(&mut self, now: Instant, entry: usize) {
        let (calls, decisions) = self.ledgers[entry].tick(now);
        for call in calls {
            let reply = self.store(call);
            let at = now + self.settings.latency;
            self.push(at, entry, Event::Reply(reply));
        }
        for decision in decisions {
            if decision.verdict == claim::ClaimVerdict::Granted {
                self.measured.granted += 1;
                let requested_at = self.requested_at.get(&decision.request.id).copied();
                self.measured
                    .waits
                    .push(now.since(requested_at.unwrap_or(now)));
                let at = now + CALL_DURATION;
                self.push(at, entry, Event::Settle(Box::new(decision.request)));
            }
        }
        let wake = self.ledgers[entry].next_wake();
        if wake != Instant::NEVER {
            self.push(wake.max(now), entry, Event::Wake);
        }
    }

    fn store(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { op, key } => {
                self.measured.reads += 1;
                let (version, value) = self.objects.get(&key).cloned().unwrap_or_default();
                StoreReply::Found { op, version, value }
            }
            StoreCall::Update {
                op,
                key,
                expect,
                value,
            } => {
                self.measured.writes += 1;
                self.measured.bytes += value.len() as u64;
                self.measured.largest = self.measured.largest.max(value.len());
                let found = self.objects.get(&key).map(|(version, _)| *version);
                if found.unwrap_or_default() != expect {
                    self.measured.conflicts += 1;
                    return StoreReply::Conflict { op };
                }
                let version = ObjectVersion(expect.0 + 1);
                self.objects.insert(key, (version, value));
                StoreReply::Updated { op, version }
            }
        }
    }
}
