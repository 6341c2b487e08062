//! Test harnesses for the entry and sidecar policies.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::time;

use lentil_policy::{entry, protocol, queue, route, sidecar, store};
use lentil_types::{
    AttemptId, BootId, Class, Fingerprint, IdempotencyKey, Instant, ModelName, Outcome, Pieces,
    RequestId, RunnerName, RunnerState, ServiceName, TeamName, Tokens, WeightsVersion,
};
use rand::SeedableRng as _;

/// Unix time of a test's start, in seconds.
pub const UNIX: u64 = 1_800_000_000;
/// First boot of the engine.
pub const BOOT: BootId = BootId(7);
/// Time from arrival to deadline.
pub const BUDGET: time::Duration = time::Duration::from_secs(10);

pub fn name(text: &str) -> RunnerName {
    RunnerName::new(text).expect("a valid name")
}

pub fn load(boot: BootId) -> protocol::Load {
    protocol::Load {
        boot,
        weights: WeightsVersion(1),
        state: RunnerState::Live,
        ..protocol::Load::default()
    }
}

/// Asks the first runner at which the request has not failed.
struct InOrder(Vec<RunnerName>);

impl route::RoutePolicy for InOrder {
    fn set_runners(&mut self, _: Instant, runners: &[route::RunnerInfo]) {
        self.0 = runners.iter().map(|info| info.name.clone()).collect();
    }

    fn on_load(&mut self, _: Instant, _: &RunnerName, _: &protocol::Load) {}

    fn plan(
        &mut self,
        _: Instant,
        _: &protocol::Work,
        exclude: &[RunnerName],
        _: &mut dyn rand::Rng,
    ) -> route::Plan {
        match self.0.iter().find(|name| !exclude.contains(name)) {
            Some(name) => route::Plan::Ask(vec![name.clone()]),
            None => route::Plan::Refuse {
                retry: time::Duration::from_secs(1),
            },
        }
    }

    fn choose(
        &mut self,
        _: Instant,
        _: &protocol::Offer,
        asked: &[RunnerName],
        bids: &[route::RunnerBid],
    ) -> route::Choice {
        route::Choice::Runner {
            name: asked[0].clone(),
            boot: bids.first().map(|bid| bid.bid.load.boot),
        }
    }

    fn on_dispatch(&mut self, _: Instant, _: &RunnerName, _: &protocol::Work) {}
    fn on_verdict(
        &mut self,
        _: Instant,
        _: &RunnerName,
        _: &protocol::Work,
        _: route::AttemptVerdict,
    ) {
    }

    fn dump(&self) -> Vec<String> {
        Vec::new()
    }
}

/// An entry with runners `a` and `b`, which answer offers at once.
pub struct Bench {
    pub policy: entry::EntryPolicy,
    pub now: Instant,
    rng: rand_pcg::Pcg64Mcg,
}

impl Bench {
    pub fn new() -> Self {
        Self::with(entry::Settings::default())
    }

    pub fn with(settings: entry::Settings) -> Self {
        let routing = Box::new(InOrder(vec![name("a"), name("b")]));
        let now = Instant::from_millis(500_000);
        let mut policy = entry::EntryPolicy::new(settings, routing);
        let unix = time::Duration::from_secs(UNIX);
        policy.on_event(now, entry::Event::Clock(unix));
        Self {
            policy,
            now,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(1),
        }
    }

    /// Handles an event, answers offers and returns the other commands.
    pub fn on(&mut self, event: entry::Event) -> Vec<entry::Command> {
        self.policy.on_event(self.now, event);
        self.tick()
    }

    pub fn wait(&mut self, span: time::Duration) -> Vec<entry::Command> {
        self.now = self.now + span;
        self.tick()
    }

    fn tick(&mut self) -> Vec<entry::Command> {
        let mut out = Vec::new();
        let mut commands = self.policy.tick(self.now, &mut self.rng);
        while !commands.is_empty() {
            for command in std::mem::take(&mut commands) {
                let entry::Command::Offer(runner, offer) = command else {
                    out.push(command);
                    continue;
                };
                let bid = protocol::Bid {
                    id: offer.id,
                    cached: Pieces(0),
                    wait: time::Duration::ZERO,
                    load: load(BOOT),
                };
                let bid = route::RunnerBid { runner, bid };
                self.policy.on_event(self.now, entry::Event::Bid(bid));
            }
            commands = self.policy.tick(self.now, &mut self.rng);
        }
        out
    }

    /// Sends a request and returns its dispatch.
    pub fn send(&mut self, arrival: entry::Arrival) -> (RunnerName, Box<protocol::Dispatch>) {
        let commands = self.on(entry::Event::Arrived(Box::new(arrival)));
        dispatch_in(&commands).expect("the request is dispatched")
    }

    pub fn arrival(&self, number: u128) -> entry::Arrival {
        chat(number, self.now + BUDGET)
    }

    pub fn once(&self, number: u128, key: &str, body: &str) -> entry::Arrival {
        let key = IdempotencyKey::new(key).expect("a valid key");
        let plain = self.plain(number);
        let call = protocol::HttpCall {
            body: body.as_bytes().into(),
            ..plain.call
        };
        entry::Arrival {
            once: true,
            key: Some(key),
            call,
            ..plain
        }
    }

    pub fn plain(&self, number: u128) -> entry::Arrival {
        let chat = chat(number, self.now + BUDGET);
        let work = protocol::Work {
            model: None,
            weights: WeightsVersion(0),
            ..chat.work
        };
        entry::Arrival { work, ..chat }
    }
}

pub fn chat(number: u128, deadline: Instant) -> entry::Arrival {
    entry::Arrival {
        request: RequestId(number),
        work: protocol::Work {
            service: ServiceName::new("s").expect("a valid name"),
            model: Some(ModelName::new("m").expect("a valid name")),
            team: TeamName::new("t").expect("a valid name"),
            class: Class::Normal,
            weights: WeightsVersion(1),
            pieces: Vec::new().into(),
            prompt: Tokens(10),
            output: Tokens(10),
        },
        call: protocol::HttpCall::default(),
        deadline,
        once: false,
        key: None,
        fingerprint: Fingerprint(number as u64),
    }
}

pub fn dispatch_in(commands: &[entry::Command]) -> Option<(RunnerName, Box<protocol::Dispatch>)> {
    commands.iter().find_map(|command| match command {
        entry::Command::Dispatch(runner, dispatch) => Some((runner.clone(), dispatch.clone())),
        _ => None,
    })
}

pub fn ending_in(commands: &[entry::Command]) -> Option<entry::Ending> {
    commands.iter().find_map(|command| match command {
        entry::Command::Finish { ending, .. } => Some(*ending),
        _ => None,
    })
}

/// Outcome and reason of a failed request.
pub fn failure_in(commands: &[entry::Command]) -> Option<(Outcome, lentil_types::FailReason)> {
    match ending_in(commands)? {
        entry::Ending::Failed {
            outcome, reason, ..
        } => Some((outcome, reason)),
        entry::Ending::Whole(_) => None,
    }
}

/// Body bytes that the caller got, as text.
pub fn text_in(commands: &[entry::Command]) -> String {
    let data = commands.iter().filter_map(|command| match command {
        entry::Command::Emit { data, .. } => Some(data.as_slice()),
        _ => None,
    });
    String::from_utf8(data.collect::<Vec<_>>().concat()).expect("UTF-8 text")
}

pub fn started(runner: &str, id: AttemptId) -> entry::Event {
    let started = protocol::Started {
        id,
        cached: Pieces(0),
        status: 200,
        headers: Vec::new(),
        load: load(BOOT),
    };
    entry::Event::Started(name(runner), started)
}

pub fn piece(runner: &str, id: AttemptId, offset: u64, text: &str) -> entry::Event {
    piece_of(BOOT, runner, id, offset, text)
}

pub fn piece_of(
    boot: BootId,
    runner: &str,
    id: AttemptId,
    offset: u64,
    text: &str,
) -> entry::Event {
    let (text, data) = (text.to_owned(), text.as_bytes().to_vec());
    let piece = protocol::Piece {
        id,
        boot,
        offset,
        text,
        data,
    };
    entry::Event::Piece(name(runner), piece)
}

pub fn end(runner: &str, id: AttemptId, offset: u64) -> entry::Event {
    let end = protocol::End {
        id,
        boot: BOOT,
        offset,
        usage: protocol::Usage::default(),
        load: load(BOOT),
    };
    entry::Event::Ended(name(runner), end)
}

pub fn failed(
    runner: &str,
    id: AttemptId,
    outcome: Outcome,
    reason: lentil_types::FailReason,
) -> entry::Event {
    let failed = protocol::Failed {
        id,
        outcome,
        reason,
        retry: None,
        load: load(BOOT),
    };
    entry::Event::Failed(name(runner), failed)
}

pub fn lost(runner: &str, id: AttemptId, sent: bool) -> entry::Event {
    entry::Event::Disconnected {
        runner: name(runner),
        id,
        sent,
    }
}

// ---------------------------------------------------------------------------
// Sidecars

/// A sidecar up for long enough to give proofs.
pub struct SidecarBench {
    pub policy: sidecar::SidecarPolicy,
    pub now: Instant,
}

impl SidecarBench {
    pub fn new() -> Self {
        Self::with(sidecar::Settings::default(), 4)
    }

    pub fn with(settings: sidecar::Settings, slots: u32) -> Self {
        let queue = Box::new(queue::Fifo::new(queue::FifoSettings { slots }));
        let mut bench = Self {
            policy: sidecar::SidecarPolicy::new(settings, queue),
            now: Instant::ZERO,
        };
        bench.on(up(BOOT));
        bench.now = Instant::ZERO + protocol::PROOF_WINDOW;
        bench
    }

    pub fn on(&mut self, event: sidecar::Event) -> Vec<sidecar::Command> {
        self.policy.on_event(self.now, event);
        self.policy.tick(self.now)
    }

    pub fn wait(&mut self, span: time::Duration) -> Vec<sidecar::Command> {
        self.now = self.now + span;
        self.policy.tick(self.now)
    }
}

pub fn up(boot: BootId) -> sidecar::Event {
    let weights = WeightsVersion(1);
    sidecar::Event::EngineUp { boot, weights }
}

pub fn link(number: u64) -> sidecar::LinkId {
    sidecar::LinkId(number)
}

pub fn attempt(request: u128) -> AttemptId {
    AttemptId {
        request: RequestId(request),
        attempt: lentil_types::Attempt::FIRST,
    }
}

pub fn dispatch(request: u128, once: bool) -> Box<protocol::Dispatch> {
    let arrival = chat(request, Instant::ZERO);
    Box::new(protocol::Dispatch {
        offer: protocol::Offer {
            id: attempt(request),
            work: arrival.work,
            budget: BUDGET,
        },
        boot: Some(BOOT),
        call: arrival.call,
        resume: None,
        once,
        key: None,
        fingerprint: arrival.fingerprint,
        isolated: false,
        recover: false,
    })
}

pub fn recover(request: u128) -> Box<protocol::Dispatch> {
    Box::new(protocol::Dispatch {
        recover: true,
        ..*dispatch(request, true)
    })
}

pub fn runs(commands: &[sidecar::Command]) -> Vec<AttemptId> {
    let run = |command: &sidecar::Command| match command {
        sidecar::Command::Run(dispatch) => Some(dispatch.offer.id),
        _ => None,
    };
    commands.iter().filter_map(run).collect()
}

pub fn sidecar_failure(
    commands: &[sidecar::Command],
) -> Option<(Outcome, lentil_types::FailReason)> {
    commands.iter().find_map(|command| match command {
        sidecar::Command::Fail(_, failed) => Some((failed.outcome, failed.reason)),
        _ => None,
    })
}

// ---------------------------------------------------------------------------
// The store

/// An in-memory store that counts calls.
#[derive(Default)]
pub struct MemoryStore {
    pub objects: std::collections::BTreeMap<store::ObjectKey, (store::ObjectVersion, Vec<u8>)>,
    pub writes: u64,
    pub reads: u64,
}

impl MemoryStore {
    pub fn call(&mut self, call: &store::StoreCall) -> store::StoreReply {
        match call.clone() {
            store::StoreCall::Read { op, key } => {
                self.reads += 1;
                let (version, value) = self.objects.get(&key).cloned().unwrap_or_default();
                store::StoreReply::Found { op, version, value }
            }
            store::StoreCall::Update {
                op,
                key,
                expect,
                value,
            } => {
                self.writes += 1;
                let found = self.objects.get(&key).map(|(version, _)| *version);
                if found.unwrap_or_default() != expect {
                    return store::StoreReply::Conflict { op };
                }
                let version = store::ObjectVersion(expect.0 + 1);
                self.objects.insert(key, (version, value));
                store::StoreReply::Updated { op, version }
            }
        }
    }
}

pub fn store_call(commands: &[entry::Command]) -> Option<store::StoreCall> {
    commands.iter().find_map(|command| match command {
        entry::Command::Store(call) => Some(call.clone()),
        _ => None,
    })
}

pub fn op_of(call: &store::StoreCall) -> store::OpId {
    let (store::StoreCall::Read { op, .. } | store::StoreCall::Update { op, .. }) = call;
    *op
}

/// Answers all store calls and returns the other commands.
pub fn settle(
    bench: &mut Bench,
    store: &mut MemoryStore,
    commands: Vec<entry::Command>,
) -> Vec<entry::Command> {
    let mut out = Vec::new();
    let mut pending = commands;
    while !pending.is_empty() {
        for command in std::mem::take(&mut pending) {
            match command {
                entry::Command::Store(call) => {
                    let reply = store.call(&call);
                    pending.extend(bench.on(entry::Event::Store(reply)));
                }
                other => out.push(other),
            }
        }
    }
    out
}
