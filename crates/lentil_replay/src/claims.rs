//! Measures what claims cost the store, on a fake clock.

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

/// Unix time at the beginning, in seconds.
const UNIX_BEGIN: u64 = 1_800_000_000;
/// How long an answer takes.
const CALL_TIME: time::Duration = time::Duration::from_millis(200);
/// Most seconds between the making of a key and its call.
const MAX_KEY_AGE: u64 = 2;
/// Bytes of an answer.
const ANSWER_BYTES: usize = 100;

/// Settings of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Calls a second over all entries.
    pub rate: u64,
    /// Entries.
    pub entries: usize,
    /// How long calls come.
    pub span: time::Duration,
    /// Time from a call to the store to its answer.
    pub latency: time::Duration,
    /// Seed of arrivals.
    pub seed: u64,
    /// How claims are kept.
    pub claims: claim::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 10,
            entries: 3,
            span: time::Duration::from_secs(30),
            latency: time::Duration::from_millis(5),
            seed: 1,
            claims: claim::Settings::default(),
        }
    }
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Calls asked for.
    pub calls: u64,
    /// Calls whose claim was committed.
    pub granted: u64,
    /// Writes to the store, those that met a conflict included.
    pub writes: u64,
    /// Writes that met a conflict.
    pub conflicts: u64,
    /// Reads of the store.
    pub reads: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Largest object, in bytes.
    pub largest: usize,
    /// Times from asking to the commit.
    waits: Vec<time::Duration>,
}

impl Figures {
    /// The time within which this share of claims was committed.
    pub fn wait(&self, share: f64) -> time::Duration {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let at = (waits.len() as f64 * share) as usize;
        waits.get(at).or(waits.last()).copied().unwrap_or_default()
    }
}

impl fmt::Display for Figures {
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

/// Something that will happen at an entry.
enum What {
    Ask(Box<claim::ClaimRequest>),
    Settle(Box<claim::ClaimRequest>),
    Reply(StoreReply),
    Wake,
}

struct Due {
    at: Instant,
    number: u64,
    entry: usize,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // The heap gives the greatest first; the earliest is wanted.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct Bench {
    settings: Settings,
    ledgers: Vec<claim::Ledger>,
    objects: Table<ObjectKey, (ObjectVersion, Vec<u8>)>,
    agenda: BinaryHeap<Due>,
    count: u64,
    asked: Table<AttemptId, Instant>,
    figures: Figures,
}

/// Runs one measurement.
pub fn measure(settings: Settings) -> Figures {
    let ledger = |_| {
        let mut ledger = claim::Ledger::new(settings.claims);
        let unix = time::Duration::from_secs(UNIX_BEGIN);
        ledger.set_clock(Instant::ZERO, unix);
        ledger
    };
    let mut bench = Bench {
        settings,
        ledgers: (0..settings.entries).map(ledger).collect(),
        objects: Table::new(),
        agenda: BinaryHeap::new(),
        count: 0,
        asked: Table::new(),
        figures: Figures::default(),
    };
    bench.plan();
    while let Some(due) = bench.agenda.pop() {
        bench.happen(due);
    }
    bench.figures
}

impl Bench {
    fn plan(&mut self) {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(self.settings.seed);
        let calls = self.settings.rate * self.settings.span.as_secs();
        let micros = self.settings.span.as_micros() as u64;
        for number in 1..=calls {
            let at = Instant(rng.random_range(0..micros));
            let made = UNIX_BEGIN + at.0 / 1_000_000 - rng.random_range(0..=MAX_KEY_AGE);
            let ask = claim::ClaimRequest {
                id: AttemptId {
                    request: RequestId(u128::from(number)),
                    attempt: Attempt::FIRST,
                },
                service: ServiceName::new("dockdesk").expect("a name"),
                team: TeamName::new("team").expect("a name"),
                key: IdempotencyKey::new(&format!("{made}-release-{number}")).expect("a key"),
                digest: u128::from(number),
                runner: RunnerName::new("dockdesk-1").expect("a name"),
                replaces: None,
            };
            let entry = rng.random_range(0..self.settings.entries);
            self.push(at, entry, What::Ask(Box::new(ask)));
        }
        self.figures.calls = calls;
    }

    fn push(&mut self, at: Instant, entry: usize, what: What) {
        self.count += 1;
        let number = self.count;
        self.agenda.push(Due {
            at,
            number,
            entry,
            what,
        });
    }

    fn happen(&mut self, due: Due) {
        let Due {
            at, entry, what, ..
        } = due;
        let ledger = &mut self.ledgers[entry];
        match what {
            What::Ask(ask) => {
                self.asked.insert(ask.id, at);
                ledger.request(at, *ask);
            }
            What::Settle(ask) => {
                let answer = claim::Answer {
                    status: 200,
                    headers: Vec::new(),
                    body: vec![b'x'; ANSWER_BYTES],
                };
                let done = claim::Settled::Done(Some(answer));
                ledger.settle(at, &ask, ask.id, done);
            }
            What::Reply(reply) => ledger.on_reply(at, reply),
            What::Wake => {}
        }
        self.tick(at, entry);
    }

    fn tick(&mut self, now: Instant, entry: usize) {
        let (calls, decisions) = self.ledgers[entry].tick(now);
        for call in calls {
            let reply = self.store(call);
            let at = now + self.settings.latency;
            self.push(at, entry, What::Reply(reply));
        }
        for decision in decisions {
            if decision.verdict == claim::ClaimVerdict::Granted {
                self.figures.granted += 1;
                let asked = self.asked.get(&decision.request.id).copied();
                self.figures.waits.push(now.since(asked.unwrap_or(now)));
                let at = now + CALL_TIME;
                self.push(at, entry, What::Settle(Box::new(decision.request)));
            }
        }
        let wake = self.ledgers[entry].next_wake();
        if wake != Instant::NEVER {
            self.push(wake.max(now), entry, What::Wake);
        }
    }

    fn store(&mut self, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Read { op, key } => {
                self.figures.reads += 1;
                let (version, value) = self.objects.get(&key).cloned().unwrap_or_default();
                StoreReply::Found { op, version, value }
            }
            StoreCall::Update {
                op,
                key,
                expect,
                value,
            } => {
                self.figures.writes += 1;
                self.figures.bytes += value.len() as u64;
                self.figures.largest = self.figures.largest.max(value.len());
                let found = self.objects.get(&key).map(|(version, _)| *version);
                if found.unwrap_or_default() != expect {
                    self.figures.conflicts += 1;
                    return StoreReply::Conflict { op };
                }
                let version = ObjectVersion(expect.0 + 1);
                self.objects.insert(key, (version, value));
                StoreReply::Updated { op, version }
            }
        }
    }
}
