//! The agent beside a runner is killed and started again while the runner reads a long prompt.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    fleet::{self, Addresses, RouterAddresses},
    net::{self, Message},
    now,
    poison::{RED, config},
    runner::{Handler, Outcome, Runner},
    sleep,
    store::Store,
};

const STABLE: f64 = 3.0;
/// Prompt tokens that a runner reads in a millisecond.
const PREFILL_RATE: f64 = 49.6;
const RUNNERS: usize = 3;
const ROUNDS: usize = 8;
/// Tokens of the shared part and of the request's own; the largest are 39,900 and 53,200.
const SHARED: u64 = 39_900;
const OWN: u64 = 46_000;
/// From the begin of a run until the agent beside its runner is killed, and the step from
/// one round to the next.
const KILL_AFTER: (f64, f64) = (0.10, 0.02);
/// A killed process is started again after this time.
const DOWN: f64 = 0.5;
/// A runner must not work on a request so long after another one has begun.
const OVERLAP: f64 = 0.4;

#[derive(Clone)]
struct Run {
    id: String,
    runner: usize,
    began: f64,
    ended: Option<f64>,
}

type Runs = Arc<Mutex<Vec<Run>>>;

/// Runs a request to its end, also when its channel has been closed.
fn work(runner: usize, request: &Message, runs: &Runs) {
    let id = request.field("X-Request-Id").unwrap_or_default().to_owned();
    let began = now();
    let run = Run {
        id: id.clone(),
        runner,
        began,
        ended: None,
    };
    runs.lock().expect("no panic").push(run);
    let prefix = request.field("X-Prefix-Hash").unwrap_or_default();
    let parts = prefix.split(',').filter_map(|part| part.split_once(':'));
    let tokens = parts.filter_map(|(_, tokens)| tokens.parse::<u64>().ok());
    sleep(tokens.sum::<u64>() as f64 / PREFILL_RATE / 1e3);
    let mut runs = runs.lock().expect("no panic");
    let mut own = runs.iter_mut();
    if let Some(run) = own.find(|run| run.id == id && run.runner == runner && run.ended.is_none()) {
        run.ended = Some(now());
    }
}

fn send(front: SocketAddr) -> (String, thread::JoinHandle<u16>) {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let number = IDS.fetch_add(1, Ordering::SeqCst);
    let id = format!("{number:016x}");
    let request = format!(
        "POST /llm/chat HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Model: model\r\nX-Token-Count: {},30\r\nX-Prefix-Hash: {number:08x}:{SHARED},f{number:07x}:{OWN}\r\n\
         X-Request-Deadline: 10000\r\nX-Credential: key-red-1\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt",
        SHARED + OWN
    );
    let asking = thread::spawn(move || {
        let answer = net::ask(front, request.as_bytes(), Duration::from_secs(11));
        answer.map_or(0, |answer| answer.status())
    });
    (id, asking)
}

pub fn run(case: &Case) -> Verdict {
    let store = Arc::new(Store::default());
    let mut addresses = Addresses::new();
    let door = store.open_door(addresses.take());
    store.write("config", "main", Some(&config(1, "non_idempotent", RED)));
    store.write("versions", "model", Some("{\"model\":\"model\",\"version\":1}"));
    let runs = Runs::default();
    let start_runner = |number: usize| {
        let runs = runs.clone();
        let handler: Handler = Arc::new(move |_: &Runner, request: &Message| {
            work(number, request, &runs);
            Outcome::Answer("id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_owned())
        });
        Runner::start(addresses.take(), 0, "llm", Some("model"), handler)
    };
    let runners: Vec<_> = (0..RUNNERS).map(start_runner).collect();
    let at = RouterAddresses::new(addresses.take());
    let _router = fleet::start_router(&case.folder, at, door.address, &[at]);
    let start_agent = |runner: &Arc<Runner>| {
        runner.register(&store);
        fleet::start_agent(&case.folder, runner.address, "llm", door.address, &[at])
    };
    let mut agents: Vec<_> = runners.iter().map(start_agent).collect();
    if !case.wait_ready(&[at.ready]) {
        return Verdict::Failed("the router is not ready");
    }
    sleep(STABLE + 1.0);
    for round in 0..ROUNDS {
        let (id, asking) = send(at.front);
        case.note(&format!("sent {id}"));
        let until = now() + 2.0;
        let first = loop {
            let known = runs.lock().expect("no panic");
            let first = known.iter().find(|run| run.id == id).cloned();
            drop(known);
            if first.is_some() || now() > until {
                break first;
            }
            sleep(0.005);
        };
        let Some(first) = first else {
            return Verdict::Failed("a request was not run");
        };
        if case.has_trouble {
            sleep(KILL_AFTER.0 + KILL_AFTER.1 * round as f64);
            agents[first.runner].kill();
            case.note(&format!("the agent beside runner {} is killed", first.runner));
            sleep(DOWN);
            agents[first.runner].restart();
            case.note("the agent is started again");
        }
        let status = asking.join().expect("no panic");
        case.note(&format!("{id} was answered with status {status}"));
        sleep(STABLE);
    }
    let runs = runs.lock().expect("no panic");
    let mut broken = 0;
    for run in runs.iter() {
        let ended = run.ended.unwrap_or(f64::INFINITY);
        case.note(&format!("{} ran at runner {} from {:.3} to {ended:.3}", run.id, run.runner, run.began));
        let mut others = runs.iter().filter(|other| other.id == run.id && other.runner != run.runner);
        let is_twice = others.any(|other| other.began > run.began && ended > other.began + OVERLAP);
        broken += usize::from(is_twice);
    }
    case.note(&format!(
        "{broken} requests went on at another runner while the one before worked on them 400 ms later"
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
