//! Runs one case of the review: starts the project's programs beside stand-ins of the
//! platform, its runners and requesters, and judges what these have seen.
//!
//! Usage: `standin CASE FOLDER`, in the repository's root. `REVIEW_SCRATCH` names a temporary
//! folder for settings, logs and the ids of started processes. `TROUBLE=0` leaves the disruption
//! out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drain;
mod fleet;
mod net;
mod poison;
mod runner;
mod stale;
mod store;
mod twice;
mod walls;

use std::{
    fs,
    io::Write,
    net::SocketAddr,
    panic,
    path::{Path, PathBuf},
    process,
    sync::{Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

/// Where a case stands: what it may use, and what it writes.
pub struct Case {
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
    record: Mutex<fs::File>,
}

/// Longest time that a case may take, in seconds.
const LIMIT: f64 = 115.0;

static BEGUN: OnceLock<Instant> = OnceLock::new();

/// Time since the case began.
pub fn now() -> f64 {
    BEGUN.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

impl Case {
    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let mut record = self.record.lock().expect("no panic");
        writeln!(record, "{:8.3} {line}", now()).expect("the record can be written");
    }

    /// Waits until routers say that they are ready; `false` if they do not within 15 s.
    pub fn wait_ready(&self, routers: &[SocketAddr]) -> bool {
        let until = now() + 15.0;
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        routers.iter().all(|ready| {
            while now() < until {
                let answer = net::ask(*ready, request, Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                sleep(0.05);
            }
            false
        })
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// It could not run.
    Failed(&'static str),
}

fn main() {
    now();
    let args: Vec<_> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    let Some(scratch) = std::env::var_os("REVIEW_SCRATCH").map(PathBuf::from) else {
        eprintln!("REVIEW_SCRATCH is not set");
        process::exit(2);
    };
    let record = fs::File::create(Path::new(folder).join("record.txt"));
    let case = Case {
        folder: scratch.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: Mutex::new(record.expect("the record can be written")),
    };
    thread::spawn(|| {
        sleep(LIMIT);
        eprintln!("the case takes too long");
        fleet::kill_all();
        process::exit(2);
    });
    let run = || match name.as_str() {
        "drain" => drain::run(&case),
        "poison" => poison::run(&case),
        "stale" => stale::run(&case),
        "twice" => twice::run(&case),
        "walls" => walls::run(&case),
        _ => Verdict::Failed("there is no such case"),
    };
    let end = panic::catch_unwind(panic::AssertUnwindSafe(run));
    fleet::kill_all();
    let verdict = end.unwrap_or(Verdict::Failed("a stand-in has failed"));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Failed(reason) => (2, reason),
    };
    case.note(text);
    println!("{name}: {text}");
    process::exit(code);
}
