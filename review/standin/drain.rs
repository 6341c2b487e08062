//! Runners leave without a report just after the store has answered a part of the routers
//! again that it had turned away.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
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

const ROUTERS: usize = 9;
/// Routers that the store turns away in a round: a third.
const SILENT: usize = 3;
const RUNNERS: usize = 4;
/// Requesters of each router, with one request at a time.
const REQUESTERS: usize = 2;
const ROUNDS: usize = 9;
/// Length of the first outage; each further one is a little longer.
const OUTAGE: f64 = 5.0;
const OUTAGE_STEP: f64 = 0.13;
const STABLE: f64 = 3.0;
const DRAIN: f64 = 2.0;
/// How long a runner goes on serving after its entry is gone, beyond `drain_ms`.
const LINGER: f64 = 2.0;
/// From the end of the outage until a runner's entry is removed.
const LEAVES_AFTER: f64 = 0.1;

/// Requests that were sent.
#[derive(Default)]
struct Sent {
    /// The router that each was sent to, and when, by its id.
    requests: Mutex<BTreeMap<String, (usize, f64)>>,
    /// Those that were answered with 200, and all others that have ended.
    ends: [AtomicU64; 2],
}

impl Sent {
    fn count(&self, is_done: bool) {
        self.ends[usize::from(!is_done)].fetch_add(1, Ordering::SeqCst);
    }
}

/// A run at a runner: its time, the runner and the request.
type Runs = Arc<Mutex<Vec<(f64, String, String)>>>;

fn start_runner(addresses: &mut Addresses, store: &Store, runs: &Runs) -> Arc<Runner> {
    let runs = runs.clone();
    let handler: Handler = Arc::new(move |runner: &Runner, request: &Message| {
        let id = request.field("X-Request-Id").unwrap_or_default().to_owned();
        let run = (now(), runner.id.clone(), id);
        runs.lock().expect("no panic").push(run);
        Outcome::Answer("done".to_owned())
    });
    let runner = Runner::start(addresses.take(), 0, "desk", None, handler);
    runner.register(store);
    runner
}

fn send_requests(router: usize, front: SocketAddr, sent: &Sent, is_over: &AtomicBool) {
    static IDS: AtomicU64 = AtomicU64::new(1);
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
        let request = format!(
            "GET /desk/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: 3000\r\nX-Credential: key-red-1\r\nConnection: close\r\n\r\n"
        );
        sent.requests.lock().expect("no panic").insert(id, (router, now()));
        let answer = net::ask(front, request.as_bytes(), Duration::from_secs(4));
        let is_done = answer.is_ok_and(|answer| answer.status() == 200);
        sent.count(is_done);
        sleep(0.02);
    }
}

pub fn run(case: &Case) -> Verdict {
    let store = Arc::new(Store::default());
    let mut addresses = Addresses::new();
    let store_ip = addresses.take();
    let side_door = store.open_door(store_ip);
    let doors: Vec<_> = (0..ROUTERS).map(|_| store.open_door(store_ip)).collect();
    store.write("config", "main", Some(&config(1, "idempotent", RED)));
    store.write("versions", "model", Some("{\"model\":\"model\",\"version\":1}"));
    let runs = Runs::default();
    // Routers learn of each other through the agents of models' runners.
    let idle: Handler = Arc::new(|_: &Runner, _: &Message| Outcome::Answer(String::new()));
    let model = Runner::start(addresses.take(), 0, "llm", Some("model"), idle);
    model.register(&store);
    let mut runners: Vec<_> = (0..RUNNERS)
        .map(|_| start_runner(&mut addresses, &store, &runs))
        .collect();
    let ats: Vec<_> = (0..ROUTERS)
        .map(|_| RouterAddresses::new(addresses.take()))
        .collect();
    let pairs = ats.iter().zip(&doors);
    let _routers: Vec<_> = pairs
        .map(|(at, door)| fleet::start_router(&case.folder, *at, door.address, &ats))
        .collect();
    let _agent = fleet::start_agent(&case.folder, model.address, "llm", side_door.address, &ats);
    let ready: Vec<_> = ats.iter().map(|at| at.ready).collect();
    if !case.wait_ready(&ready) {
        return Verdict::Failed("the routers are not ready");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Sent::default());
    for (router, at) in ats.iter().enumerate() {
        for _ in 0..REQUESTERS {
            let (sent, is_over, front) = (sent.clone(), is_over.clone(), at.front);
            thread::spawn(move || send_requests(router, front, &sent, &is_over));
        }
    }
    sleep(STABLE + 1.0);

    let mut broken = 0;
    for round in 0..ROUNDS {
        let silent = [0, 1, 2].map(|step| (round * SILENT + step) % ROUTERS);
        if case.has_trouble {
            silent.iter().for_each(|router| doors[*router].set_silent(true));
            case.note(&format!("the store does not answer routers {silent:?}"));
        }
        sleep(OUTAGE + OUTAGE_STEP * round as f64);
        silent.iter().for_each(|router| doors[*router].set_silent(false));
        let healed = now();
        case.note("the store answers all routers");
        sleep(LEAVES_AFTER);
        let leaving = runners.remove(0);
        store.write("servers", &leaving.id, None);
        let acked = now();
        case.note(&format!("{} leaves: its entry is removed", leaving.id));
        runners.push(start_runner(&mut addresses, &store, &runs));
        sleep(DRAIN + LINGER);
        leaving.end();
        broken += count_late(case, &runs, &sent, &leaving.id, acked, healed, &silent);
        let [done, others] = sent.ends.each_ref().map(|count| count.load(Ordering::SeqCst));
        let ran = runs.lock().expect("no panic").len();
        case.note(&format!("so far {done} requests were answered with 200, {others} otherwise; {ran} were run"));
        sleep(0.5);
    }
    is_over.store(true, Ordering::SeqCst);
    case.note(&format!("{broken} requests reached a runner that had left, from routers in touch"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Requests that routers in touch sent to a runner later than `drain_ms` after its entry
/// was removed.
fn count_late(
    case: &Case,
    runs: &Runs,
    sent: &Sent,
    leaving: &str,
    acked: f64,
    healed: f64,
    silent: &[usize],
) -> usize {
    let runs = runs.lock().expect("no panic");
    let sent = sent.requests.lock().expect("no panic");
    let mut late = 0;
    for (ran_at, _, id) in runs.iter().filter(|(_, runner, _)| runner == leaving) {
        let Some((router, sent_at)) = sent.get(id) else {
            continue;
        };
        let is_in_touch =
            !case.has_trouble || !silent.contains(router) || *sent_at >= healed + STABLE;
        if is_in_touch && *sent_at > acked + DRAIN {
            late += 1;
            case.note(&format!(
                "request {id}, sent to router {router} {:.0} ms after {leaving} had left, ran there at {ran_at:.3}",
                (sent_at - acked) * 1e3
            ));
        }
    }
    late
}
