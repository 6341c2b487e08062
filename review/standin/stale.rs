//! New weights are named while runners read long prompts, which are saved to the store of
//! KV cache.

use std::{
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Case, Verdict,
    fleet::{self, Addresses, RouterAddresses},
    net::{self, Message, read_message, write_answer},
    now,
    poison::{CONFIG_TAIL, RED},
    runner::{Engine, Handler, Outcome, Part, Runner},
    sleep,
    store::Store,
};

const STABLE: f64 = 3.0;
/// Prompt tokens that a runner reads in a millisecond.
const PREFILL_RATE: f64 = 45.0;
/// Tokens that are read in one piece.
const CHUNK: u64 = 1_024;
const RUNNERS: usize = 6;
const ROUNDS: u64 = 6;
/// Largest shared part on the site's sheet.
const SHARED: u64 = 39_900;
const OWN: u64 = 500;
/// For so long after weights are named, requests with the same shared parts follow.
const FOLLOW_TIME: f64 = 1.8;
const FOLLOW_INTERVAL: f64 = 0.15;

/// The store of KV cache.
#[derive(Default)]
struct CacheStore {
    engine: Mutex<Engine>,
}

impl CacheStore {
    fn start(ip: std::net::IpAddr) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        (store, address)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut from = BufReader::new(copy);
        while let Ok(Some(call)) = read_message(&mut from) {
            let since = call.query("since").and_then(|text| text.parse().ok());
            let since: usize = since.unwrap_or(0);
            let wait = call.field("Wait-Ms").and_then(|text| text.parse().ok());
            let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
            let body = loop {
                let engine = self.engine.lock().expect("no panic");
                if engine.events.len() > since || Instant::now() >= until {
                    break crate::runner::events_text(&engine, since, "model");
                }
                drop(engine);
                sleep(0.01);
            };
            if write_answer(&mut stream, 200, "", &body).is_err() {
                return;
            }
        }
    }
}

/// What the runners share.
struct World {
    cache: Arc<CacheStore>,
    cache_address: SocketAddr,
    /// Uses of a part of other weights: a line each.
    uses: Mutex<Vec<String>>,
    /// Reads of prompts, for the record: a line each.
    reads: Mutex<Vec<String>>,
}

/// Reads a prompt: what is cached under the request's salt is used, the rest is fetched or
/// computed, one request after the other.
fn read_prompt(world: &World, lane: &Mutex<()>, runner: &Runner, request: &Message) {
    let id = request.field("X-Request-Id").unwrap_or_default();
    let salt = request.field("X-Cache-Salt").unwrap_or_default();
    let begun = runner.engine().version;
    let fetches = request.field("X-Kv-Fetch") == Some(&world.cache_address.to_string());
    let saves = request.field("X-Kv-Save") == Some(&world.cache_address.to_string());
    let prefix = request.field("X-Prefix-Hash").unwrap_or_default();
    let mut line = format!("{id} at {} under version {begun}, salt {salt}:", runner.id);
    let _turn = lane.lock().expect("no panic");
    for part in prefix.split(',') {
        let Some((part, tokens)) = part.split_once(':') else {
            continue;
        };
        let tokens: u64 = tokens.parse().unwrap_or(0);
        let key = (salt.to_owned(), part.to_owned());
        let own = runner.engine().parts.get(&key).cloned();
        let stored = || {
            let engine = world.cache.engine.lock().expect("no panic");
            engine.parts.get(&key).cloned().filter(|_| fetches)
        };
        let is_fetched = own.is_none();
        if let Some(known) = own.or_else(stored) {
            let (from, to) = known.versions;
            let source = if is_fetched { "from the store" } else { "kept" };
            line += &format!(" {part} {source}, made under {from} to {to};");
            let now_at = runner.engine().version;
            if now_at == begun && (from != begun || to != begun) {
                world.uses.lock().expect("no panic").push(format!(
                    "at {:.3} request {id} ran under version {begun} on part {part} ({source}), made under versions {from} to {to}",
                    now()
                ));
            }
            if is_fetched {
                runner.engine().add(salt, part, known);
            }
            continue;
        }
        let mut left = tokens;
        while left > 0 {
            let piece = left.min(CHUNK);
            sleep(piece as f64 / PREFILL_RATE / 1e3);
            left -= piece;
        }
        let ended = runner.engine().version;
        let made = Part {
            tenant: String::new(),
            versions: (begun, ended),
            tokens,
        };
        line += &format!(" {part} read under {begun} to {ended}{};", if saves { ", saved" } else { "" });
        runner.engine().add(salt, part, made.clone());
        if saves {
            world.cache.engine.lock().expect("no panic").add(salt, part, made);
        }
    }
    world.reads.lock().expect("no panic").push(format!("until {:.3} {line}", now()));
}

fn send(front: SocketAddr, shared: &str, tokens: u64) -> thread::JoinHandle<(f64, u16)> {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let number = IDS.fetch_add(1, Ordering::SeqCst);
    let request = format!(
        "POST /llm/chat HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {number:016x}\r\n\
         X-Model: model\r\nX-Token-Count: {},30\r\nX-Prefix-Hash: {shared}:{tokens},{number:08x}:{OWN}\r\n\
         X-Request-Deadline: 10000\r\nX-Credential: key-red-1\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt",
        tokens + OWN
    );
    thread::spawn(move || {
        let answer = net::ask(front, request.as_bytes(), Duration::from_secs(11));
        (now(), answer.map_or(0, |answer| answer.status()))
    })
}

fn config(cache: SocketAddr) -> String {
    format!(
        "{{\"version\":1,\"routes\":[\
         {{\"name\":\"r-llm\",\"host\":\"desk.example\",\"prefix\":\"/llm/\",\"kind\":\"stream\",\"timeout_ms\":10000,\"goal_ms\":800,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200}}],\
         \"services\":[\
         {{\"name\":\"llm\",\"health\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":151921,\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"max_inflight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"model\"}}]}}}},\
         {{\"name\":\"keep\",\"kv_store_addr\":\"{cache}\",\"zone\":\"zone-a\",\"kv_capacity\":1907238,\"link_mbps\":200000.0,\"max_inflight\":12}}],\
         {CONFIG_TAIL},\"tenants\":[{RED}]}}"
    )
}

pub fn run(case: &Case) -> Verdict {
    let store = Arc::new(Store::default());
    let mut addresses = Addresses::new();
    let door = store.open_door(addresses.take());
    let (cache, cache_address) = CacheStore::start(addresses.take());
    store.write("config", "main", Some(&config(cache_address)));
    store.write("versions", "model", Some("{\"model\":\"model\",\"version\":1}"));
    let world = Arc::new(World {
        cache,
        cache_address,
        uses: Mutex::default(),
        reads: Mutex::default(),
    });
    let start_runner = |_| {
        let (world, lane) = (world.clone(), Mutex::new(()));
        let handler: Handler = Arc::new(move |runner: &Runner, request: &Message| {
            read_prompt(&world, &lane, runner, request);
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
    let _agents: Vec<_> = runners.iter().map(start_agent).collect();
    if !case.wait_ready(&[at.ready]) {
        return Verdict::Failed("the router is not ready");
    }
    sleep(STABLE + 1.0);
    for round in 0..ROUNDS {
        let shared: Vec<_> = (0..RUNNERS).map(|part| format!("{round:04x}{part:04x}")).collect();
        let mut requests: Vec<_> = Vec::new();
        for part in &shared {
            requests.push(send(at.front, part, SHARED));
            sleep(0.01);
        }
        if case.has_trouble {
            let version = round + 2;
            let spec = format!("{{\"model\":\"model\",\"version\":{version}}}");
            store.write("versions", "model", Some(&spec));
            case.note(&format!("version {version} of the weights is named"));
        }
        // Further requests with the same shared parts.
        let until = now() + FOLLOW_TIME;
        while now() < until {
            sleep(FOLLOW_INTERVAL);
            for part in &shared {
                requests.push(send(at.front, part, SHARED));
            }
        }
        let count = requests.len();
        let mut answered = 0;
        for request in requests {
            let (_, status) = request.join().expect("no panic");
            answered += usize::from(status == 200);
        }
        case.note(&format!("{count} requests sent in round {round}, {answered} answered with 200"));
        for line in world.reads.lock().expect("no panic").drain(..) {
            case.note(&line);
        }
        sleep(9.0);
    }
    let uses = world.uses.lock().expect("no panic");
    uses.iter().for_each(|line| case.note(line));
    case.note(&format!("{} requests ran on KV cache of other weights", uses.len()));
    if uses.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
