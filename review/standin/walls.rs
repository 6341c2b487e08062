//! A tenant becomes isolated by a new configuration, after it has shared prompts.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    Case, Verdict,
    fleet::{self, Addresses, RouterAddresses},
    net::{self, Message},
    now,
    poison::config,
    runner::{Handler, Outcome, Part, Runner},
    sleep,
    store::Store,
};

const CONFIG_TIME: f64 = 2.0;
const STABLE: f64 = 3.0;
/// Tokens of the part that all requests share.
const SHARED: u64 = 13_300;

fn tenants(is_isolated: bool) -> String {
    format!(
        "{{\"name\":\"red\",\"keys\":[\"key-red-1\"],\"priority\":1,\"isolated\":{is_isolated}}},\
         {{\"name\":\"blue\",\"keys\":[\"key-blue-1\"],\"priority\":1,\"isolated\":false}}"
    )
}

/// What the runners have seen.
#[derive(Default)]
struct Seen {
    /// Uses of a part that another tenant's request has made: time, runner, user and maker.
    shared: Mutex<Vec<(f64, String, String, String)>>,
}

/// Reads the parts of a request's prompt, or finds them under the request's salt.
fn read_prompt(runner: &Runner, request: &Message, seen: &Seen) {
    let salt = request.field("X-Cache-Salt").unwrap_or_default();
    let tenant = request.field("X-Tenant").unwrap_or_default();
    let mut engine = runner.engine();
    let version = engine.version;
    let prefix = request.field("X-Prefix-Hash").unwrap_or_default();
    for part in prefix.split(',') {
        let Some((id, tokens)) = part.split_once(':') else {
            continue;
        };
        let known = engine.parts.get(&(salt.to_owned(), id.to_owned()));
        if let Some(known) = known {
            if known.tenant != tenant {
                let use_of = (now(), runner.id.clone(), tenant.to_owned(), known.tenant.clone());
                seen.shared.lock().expect("no panic").push(use_of);
            }
            continue;
        }
        let made = Part {
            tenant: tenant.to_owned(),
            versions: (version, version),
            tokens: tokens.parse().unwrap_or(0),
        };
        engine.add(salt, id, made);
    }
}

fn ask(at: RouterAddresses, key: &str) -> u16 {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let number = IDS.fetch_add(1, Ordering::SeqCst);
    let request = format!(
        "POST /llm/chat HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {number:016x}\r\n\
         X-Model: model\r\nX-Token-Count: {},30\r\nX-Prefix-Hash: 5c1e07a2:{SHARED},{number:08x}:250\r\n\
         X-Request-Deadline: 8000\r\nX-Credential: {key}\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt",
        SHARED + 250
    );
    let answer = net::ask(at.front, request.as_bytes(), Duration::from_secs(10));
    answer.map_or(0, |answer| answer.status())
}

pub fn run(case: &Case) -> Verdict {
    let store = Arc::new(Store::default());
    let mut addresses = Addresses::new();
    let door = store.open_door(addresses.take());
    store.write("config", "main", Some(&config(1, "non_idempotent", &tenants(false))));
    store.write("versions", "model", Some("{\"model\":\"model\",\"version\":1}"));
    let seen = Arc::new(Seen::default());
    let handler: Handler = {
        let seen = seen.clone();
        Arc::new(move |runner: &Runner, request: &Message| {
            read_prompt(runner, request, &seen);
            Outcome::Answer("id: 1\ndata: a\n\nid: 2\ndata: b\n\n".to_owned())
        })
    };
    let runners: Vec<_> = (0..2)
        .map(|_| Runner::start(addresses.take(), 0, "llm", Some("model"), handler.clone()))
        .collect();
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
    let send = |tenant: &str, count: usize| {
        for _ in 0..count {
            let status = ask(at, &format!("key-{tenant}-1"));
            case.note(&format!("a request of {tenant}: status {status}"));
            sleep(0.05);
        }
    };
    send("red", 6);
    send("blue", 2);
    if case.has_trouble {
        store.write("config", "main", Some(&config(2, "non_idempotent", &tenants(true))));
        case.note("version 2 of the config is acknowledged: red is isolated");
    }
    sleep(CONFIG_TIME + STABLE);
    let isolated_since = now();
    send("blue", 6);
    send("red", 2);
    let uses = seen.shared.lock().expect("no panic");
    let mut broken = 0;
    for (at, runner, user, maker) in uses.iter() {
        case.note(&format!("at {at:.3} runner {runner} used a part of {maker} for {user}"));
        broken += usize::from(case.has_trouble && *at > isolated_since);
    }
    case.note(&format!("{broken} uses of a part across the wall of an isolated tenant"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
