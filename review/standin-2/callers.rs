//! Callers, each request on a connection of its own, and the operator's configuration.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::net::read_message;
use crate::record::Record;
use crate::system::caller_address;

pub const HOST: &str = "one.example";

/// A tenant with its key.
pub const RED: (&str, &str) = ("red", "keyred1");
pub const BLUE: (&str, &str) = ("blue", "keyblue1");

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: &'static str,
    pub key: &'static str,
    pub deadline_ms: u64,
    /// Further header fields, each with its line end.
    pub fields: String,
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: u64,
    /// Status of a whole answer.
    pub status: Option<u16>,
}

impl Asked {
    pub fn is_served(&self) -> bool {
        self.status.is_some_and(|status| (200..300).contains(&status))
    }
}

/// Sends a request to a router and waits for the answer.
pub fn ask(record: &Record, front: Ipv4Addr, request: &Request) -> Asked {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst));
    let at = record.now();
    let Request { method, path, key, deadline_ms, fields } = request;
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&caller_address(front), Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(*deadline_ms))).ok()?;
        let body = if *method == "GET" { "" } else { "Content-Length: 2\r\n" };
        let content = if *method == "GET" { "" } else { "{}" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: {deadline_ms}\r\nX-Credential: {key}\r\n{fields}{body}\r\n{content}"
        );
        stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    };
    let answer = exchange();
    let status = answer.as_ref().and_then(|answer| answer.word(1).parse().ok());
    let came = match (&answer, status) {
        (Some(answer), Some(status)) => {
            let retry = answer.field("Retry-After").map_or(String::new(), |at| format!(", Retry-After {at}"));
            format!("answered {status}{retry}")
        }
        _ => "no whole answer".to_owned(),
    };
    record.note(&format!("caller: {id} {method} {path} to {front} at {at} ms: {came}"));
    Asked { at, status }
}

/// Sends requests at a steady rate, to the routers in turn, until it is dropped.
pub struct Traffic {
    is_over: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    sender: Option<JoinHandle<()>>,
}

impl Traffic {
    pub fn start(record: &Arc<Record>, fronts: &[Ipv4Addr], request: Request, per_second: f64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let asked = Arc::new(Mutex::new(Vec::new()));
        let (end, all, record, fronts) = (is_over.clone(), asked.clone(), record.clone(), fronts.to_vec());
        let sender = thread::spawn(move || {
            let begun = Instant::now();
            let mut callers: Vec<JoinHandle<()>> = Vec::new();
            let mut number = 0;
            while !end.load(Ordering::SeqCst) {
                let due = Duration::from_secs_f64(number as f64 / per_second);
                thread::sleep(due.saturating_sub(begun.elapsed()));
                let front = fronts[number % fronts.len()];
                let (record, all, request) = (record.clone(), all.clone(), request.clone());
                callers.retain(|caller| !caller.is_finished());
                callers.push(thread::spawn(move || {
                    let asked = ask(&record, front, &request);
                    all.lock().unwrap().push(asked);
                }));
                number += 1;
            }
            callers.into_iter().for_each(|caller| drop(caller.join()));
        });
        Self { is_over, asked, sender: Some(sender) }
    }

    /// Stops sending, waits for the last answers and returns all requests.
    pub fn finish(mut self) -> Vec<Asked> {
        self.stop();
        let asked = self.asked.lock().unwrap().clone();
        asked
    }

    fn stop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(sender) = self.sender.take() {
            let _ = sender.join();
        }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Share of the requests that were served.
pub fn served_share<'a>(asked: impl IntoIterator<Item = &'a Asked>) -> f64 {
    let (mut all, mut served) = (0, 0);
    for one in asked {
        all += 1;
        served += usize::from(one.is_served());
    }
    if all == 0 { 1.0 } else { served as f64 / all as f64 }
}

/// How many requests ended with each status, from a time on.
pub fn statuses(asked: &[Asked], from: u64) -> String {
    let mut counts: BTreeMap<Option<u16>, usize> = BTreeMap::new();
    for one in asked.iter().filter(|one| one.at >= from) {
        *counts.entry(one.status).or_default() += 1;
    }
    let words = counts.iter().map(|(status, count)| match status {
        Some(status) => format!("{status}: {count}"),
        None => format!("no answer: {count}"),
    });
    words.collect::<Vec<_>>().join(", ")
}

/// A route of a configuration.
pub fn route(prefix: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{service}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","service":"{service}","timeout_ms":3000,"goal_ms":300,"priority":1,"attempts":2,"public":false,"sticky":{},"resumable":false,"gap_target_ms":250}}"#,
        kind == "stream"
    )
}

/// A service of application runners.
pub fn service(name: &str) -> String {
    format!(r#"{{"name":"{name}","health":"/healthz","max_conns":110}}"#)
}

/// A service of model runners.
pub fn model_service(name: &str) -> String {
    let model = crate::runner::MODEL;
    format!(
        r#"{{"name":"{name}","health":"/healthz","max_conns":370,"engine":{{"slots":64,"kv_capacity":150000,"kv_token_bytes":163840.0,"link_mbps":550000.0,"models":[{{"name":"{model}"}}]}}}}"#
    )
}

/// A configuration. `isolated`: tenants that share no cache.
pub fn config(version: u64, routes: &[String], services: &[String], isolated: &[&str]) -> String {
    let tenants = [RED, BLUE].map(|(name, key)| {
        let is_isolated = isolated.contains(&name);
        format!(r#"{{"name":"{name}","keys":["{key}"],"isolated":{is_isolated}}}"#)
    });
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
