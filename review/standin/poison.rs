//! A request that crashes each runner that runs it comes again and again, while the routers
//! are restarted in turn.

use std::{
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
    runner::{Handler, Outcome, Runner},
    sleep,
    store::Store,
};

const HOST: &str = "desk.example";
const KEY: &str = "key-red-1";
const ROUTERS: usize = 3;
const STABLE: f64 = 3.0;
/// A runner that has crashed is back after this time.
const BACK_AFTER: f64 = 2.0;
/// Three heartbeats, after which the entry of one that has crashed is removed.
const EXPIRY: f64 = 3.6;
/// The request that crashes runners comes this often.
const INTERVAL: f64 = 1.2;
/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub const CONFIG_TAIL: &str = "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}";

/// A configuration with a plain service `desk` of `kind` and a model's service `llm`.
pub fn config(version: u64, kind: &str, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-desk\",\"host\":\"{HOST}\",\"prefix\":\"/desk/\",\"kind\":\"{kind}\",\"timeout_ms\":3000,\"goal_ms\":300,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":false,\"sticky\":false}},\
         {{\"name\":\"r-llm\",\"host\":\"{HOST}\",\"prefix\":\"/llm/\",\"kind\":\"stream\",\"timeout_ms\":10000,\"goal_ms\":800,\"priority\":1,\"service\":\"llm\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200}}],\
         \"services\":[{{\"name\":\"desk\",\"health\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"llm\",\"health\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":151921,\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"max_inflight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"model\"}}]}}}}],\
         {CONFIG_TAIL},\"tenants\":[{tenants}]}}"
    )
}

pub const RED: &str = "{\"name\":\"red\",\"keys\":[\"key-red-1\"],\"priority\":1,\"isolated\":false}";

struct World {
    store: Arc<Store>,
    runners: Mutex<Vec<Arc<Runner>>>,
    /// Runners that the request has crashed.
    crashes: AtomicU64,
    ids: AtomicU64,
    /// Sound requests that have ended with 502: their runner died while they ran.
    lost: AtomicU64,
}

fn handler() -> Handler {
    Arc::new(|runner: &Runner, request: &Message| {
        if request.text() == "crash" {
            return Outcome::Crash;
        }
        sleep(0.06);
        Outcome::Answer(format!("answer of {}", runner.id))
    })
}

fn request(id: &str, path: &str, body: &str) -> Vec<u8> {
    let size = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 3000\r\n\
         X-Credential: {KEY}\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Brings runners back that have crashed, as the platform does.
fn watch_runners(world: &Arc<World>, is_over: &AtomicBool) {
    let mut crashed: Vec<(f64, String)> = Vec::new();
    let mut back: Vec<(f64, SocketAddr)> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let mut runners = world.runners.lock().expect("no panic");
        runners.retain(|runner| {
            if runner.has_ended() {
                crashed.push((now() + EXPIRY, runner.id.clone()));
                back.push((now() + BACK_AFTER, runner.address));
            }
            !runner.has_ended()
        });
        back.retain(|(at, address)| {
            let is_due = now() >= *at;
            if is_due {
                let runner =
                    Runner::start(address.ip(), address.port(), "desk", None, handler());
                runner.register(&world.store);
                runners.push(runner);
            }
            !is_due
        });
        drop(runners);
        crashed.retain(|(at, id)| {
            let is_due = now() >= *at;
            if is_due {
                world.store.write("servers", id, None);
            }
            !is_due
        });
        sleep(0.005);
    }
}

/// Sends sound requests to a router, ten a second.
fn send_sound(world: &World, front: SocketAddr, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("s{:015x}", world.ids.fetch_add(1, Ordering::SeqCst));
        let bytes = request(&id, &format!("/desk/{id}"), &id);
        let answer = net::ask(front, &bytes, Duration::from_secs(4));
        if answer.is_ok_and(|answer| answer.status() == 502) {
            world.lost.fetch_add(1, Ordering::SeqCst);
        }
        sleep(0.1);
    }
}

pub fn run(case: &Case) -> Verdict {
    let store = Arc::new(Store::default());
    let mut addresses = Addresses::new();
    let door = store.open_door(addresses.take());
    store.write("config", "main", Some(&config(1, "non_idempotent", RED)));
    store.write("versions", "model", Some("{\"model\":\"model\",\"version\":1}"));
    let world = Arc::new(World {
        store: store.clone(),
        runners: Mutex::default(),
        crashes: AtomicU64::new(0),
        ids: AtomicU64::new(1),
        lost: AtomicU64::new(0),
    });
    let seen = world.clone();
    // Routers learn of each other through the agents of models' runners.
    let model = Runner::start(addresses.take(), 0, "llm", Some("model"), handler());
    model.register(&store);
    for _ in 0..3 {
        let runner = Runner::start(addresses.take(), 0, "desk", None, handler());
        runner.register(&store);
        world.runners.lock().expect("no panic").push(runner);
    }
    let ats: Vec<_> = (0..ROUTERS)
        .map(|_| RouterAddresses::new(addresses.take()))
        .collect();
    let mut routers: Vec<_> = ats
        .iter()
        .map(|at| fleet::start_router(&case.folder, *at, door.address, &ats))
        .collect();
    let _agent = fleet::start_agent(&case.folder, model.address, "llm", door.address, &ats);
    let ready: Vec<_> = ats.iter().map(|at| at.ready).collect();
    if !case.wait_ready(&ready) {
        return Verdict::Failed("the routers are not ready");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    {
        let (world, is_over) = (world.clone(), is_over.clone());
        thread::spawn(move || watch_runners(&world, &is_over));
    }
    for at in &ats {
        let (world, is_over, front) = (world.clone(), is_over.clone(), at.front);
        thread::spawn(move || send_sound(&world, front, &is_over));
    }
    // All routers are in touch.
    sleep(STABLE + 1.0);

    // Sends the request that crashes runners to a router; notes whether it reached a runner.
    let mut third: Option<f64> = None;
    let mut late = 0;
    let send = |router: usize| -> bool {
        let id = format!("p{router}{:014x}", seen.ids.fetch_add(1, Ordering::SeqCst));
        let before: Vec<_> = live(&seen);
        let sent_at = now();
        let answer = net::ask(
            ats[router].front,
            &request(&id, "/desk/crash", "crash"),
            Duration::from_secs(4),
        );
        let status = answer.map_or(0, |answer| answer.status());
        let crashed = before.iter().filter(|runner| runner.has_ended()).count();
        case.note(&format!(
            "sent {id} to router {router} at {sent_at:.3}: status {status}, runners crashed {crashed}"
        ));
        if crashed > 0 {
            seen.crashes.fetch_add(1, Ordering::SeqCst);
        }
        crashed > 0
    };

    let mut turn = 0;
    while third.is_none() {
        if now() > 45.0 {
            return Verdict::Failed("the request did not crash three runners");
        }
        if send(turn % ROUTERS) && world.crashes.load(Ordering::SeqCst) == 3 {
            third = Some(now());
            case.note("the third runner has crashed");
        }
        turn += 1;
        sleep(INTERVAL);
    }
    let third = third.unwrap_or_default();

    // The request comes again at routers in touch, while one router after the other is
    // stopped and started.
    let until = now() + 8.0;
    let mut is_down = vec![false; ROUTERS];
    let mut next_restart = (0, until);
    let mut pending: Option<(usize, f64)> = None;
    let lost_before = world.lost.load(Ordering::SeqCst);
    let end = until + 12.0 * ROUTERS as f64;
    let mut next_send = now();
    while now() < end {
        if case.has_trouble && next_restart.0 < ROUTERS && pending.is_none() && now() >= next_restart.1
        {
            let router = next_restart.0;
            case.note(&format!("SIGTERM to router {router}"));
            routers[router].terminate();
            is_down[router] = true;
            pending = Some((router, now()));
        }
        if let Some((router, at)) = pending
            && now() >= at + 5.0
        {
            // It has ended by itself before, or ends now.
            routers[router].wait_end(Duration::from_secs(4));
            routers[router].restart();
            case.note(&format!("router {router} started again"));
            is_down[router] = false;
            pending = None;
            next_restart = (router + 1, now() + 6.0);
        }
        if now() >= next_send {
            next_send = now() + INTERVAL;
            let router = turn % ROUTERS;
            turn += 1;
            let age = routers[router].started.elapsed().as_secs_f64();
            let is_in_touch = !is_down[router] && age >= STABLE + 0.2;
            if is_in_touch && send(router) && now() > third + STABLE {
                late += 1;
                case.note(&format!("retry {late} later than stable_ms after the third crash"));
            }
        }
        sleep(0.01);
    }
    is_over.store(true, Ordering::SeqCst);
    let lost = world.lost.load(Ordering::SeqCst) - lost_before;
    case.note(&format!("{lost} sound requests were cut off with their runner since then"));
    case.note(&format!("{late} retries reached runners, {ALLOWED} are allowed"));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn live(world: &World) -> Vec<Arc<Runner>> {
    world.runners.lock().expect("no panic").clone()
}
